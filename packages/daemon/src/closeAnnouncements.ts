/** Announces to callers that their connections will be closed. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

/** The response on each connection that announces its end. */
const announcing = new WeakMap<Socket, ServerResponse>();

/**
 * Announces the end of the connection with the response to the latest request on it: node closes a connection after the response that
 * says so, and drops the responses to pipelined requests behind it. Returns false if the head of an earlier response has already said
 * so: this request can get no response and must not run.
 */
export function announceClose({ socket }: IncomingMessage, response: ServerResponse): boolean {
  const earlier = announcing.get(socket);
  if (earlier?.headersSent === true) return false;
  earlier?.removeHeader('connection');
  response.setHeader('connection', 'close');
  announcing.set(socket, response);
  return true;
}
