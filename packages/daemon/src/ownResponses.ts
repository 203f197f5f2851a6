/**
 * Writes the responses that a daemon makes itself. Each has its length: Node.js adds none for HTTP/1.0 or after `writeHead`, and the end of the
 * connection, which the kernel also sends for a process that was killed, would then complete any part.
 */
import { type OutgoingHttpHeaders, type ServerResponse } from 'node:http';

/** Writes a complete response. */
export function writeText(
  response: ServerResponse,
  status: number,
  text: string,
  headers: OutgoingHttpHeaders,
): void {
  response.writeHead(status, { ...headers, 'content-length': String(Buffer.byteLength(text)) });
  response.end(text);
}

/** Writes a complete JSON response. */
export function writeJson(
  response: ServerResponse,
  status: number,
  body: object,
  headers: OutgoingHttpHeaders = {},
): void {
  writeText(response, status, JSON.stringify(body), { 'content-type': 'application/json', ...headers });
}

/** Encodes the result of an action of moleculer-web, whose response it gives its length. */
export function encodeWithLength(_request: unknown, response: ServerResponse, data: unknown): string {
  const text = JSON.stringify(data);
  response.setHeader('content-length', String(Buffer.byteLength(text)));
  return text;
}
