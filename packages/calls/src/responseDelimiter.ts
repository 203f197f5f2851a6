/** How the end of an HTTP response is marked (RFC 9112, section 6.3). */
import { type IncomingHttpHeaders } from 'node:http';

/** By its length, by its last chunk, by the end of its connection, or not at all, since it has no body. */
export type ResponseDelimiter = 'length' | 'chunks' | 'close' | 'no-body';

const BODYLESS_STATUSES = [204, 304];

/** Whether a response has no body, whatever length it states: that would be the one of another response. */
export function isBodyless(method: string, status: number): boolean {
  return method === 'HEAD' || BODYLESS_STATUSES.includes(status);
}

/** How an upstream's response to a request with this method is delimited. */
export function delimiterOf(method: string, status: number, headers: IncomingHttpHeaders): ResponseDelimiter {
  if (isBodyless(method, status)) return 'no-body';
  const codings = headers['transfer-encoding'];
  if (codings !== undefined) return endsInChunked(codings) ? 'chunks' : 'close';
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/** Without chunks as the last coding, the end of the connection delimits the body. undici reports repeated headers as an array. */
function endsInChunked(codings: string | readonly string[]): boolean {
  return String(codings).split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}
