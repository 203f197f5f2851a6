/** Whether the end of a response shows in the response itself, rather than only by the end of its connection. */

const BODYLESS_STATUSES = [204, 304];

/** A response as it is judged here. */
export interface DelimitedResponse {
  readonly statusCode: number;
  readonly headers: Record<string, string | string[] | undefined>;
}

/**
 * Whether the response has a length, is in chunks or can't have a body. The end of a connection proves nothing: kernels also send it for
 * processes that were killed, and undici takes a reset for it.
 */
export function isDelimited(method: string, { statusCode, headers }: DelimitedResponse): boolean {
  if (method === 'HEAD' || BODYLESS_STATUSES.includes(statusCode)) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] === 'chunked';
}
