/** Requests that a caller pipelines on one connection. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';

/** Methods of requests that may run in parallel with others on their connection (RFC 9112, section 9.3.2). */
const SAFE_METHODS = ['GET', 'HEAD', 'OPTIONS'];

/** The response to the latest request on each connection, until it is closed. */
const latest = new WeakMap<Socket, ServerResponse>();

/**
 * Resolves once the responses to earlier requests on the connection have ended; undefined if the request need not wait for that. An earlier response
 * that closes the connection leaves those behind it without any, so that a request which changes something must not have run by then.
 */
export function whenEarlierEnded(
  { socket, method = 'GET' }: IncomingMessage,
  response: ServerResponse,
): Promise<void> | undefined {
  const earlier = latest.get(socket);
  latest.set(socket, response);
  response.once('close', () => {
    if (latest.get(socket) === response) latest.delete(socket);
  });
  if (!earlier || SAFE_METHODS.includes(method)) return undefined;
  return new Promise(resolve => earlier.once('close', resolve));
}
