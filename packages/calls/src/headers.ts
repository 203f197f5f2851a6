/** The HTTP headers that callers, upstreams and daemons exchange, and the rules for forwarding all others. */

/** Headers that are defined by cleatquay, or have a meaning for it. */
export const headerNames = {
  /** On requests of callers: the id that a daemon issued for it, if it is sent again or its id was issued in advance; elsewhere: the id of the request. */
  requestId: 'cleatquay-request-id',
  /** From an upstream, on calls that it makes: the id of the request that it is processing. */
  parent: 'cleatquay-parent',
  /** From an upstream: identifies the call among those that it makes for the same request. */
  callKey: 'cleatquay-call-key',
  /** On requests from callers and to upstreams: the time left, in milliseconds. */
  timeoutMs: 'cleatquay-timeout-ms',
  /** One of `answered`, `not-run`, `unknown` and `failed`. */
  outcome: 'cleatquay-outcome',
  retryAfterMs: 'cleatquay-retry-after-ms',
  /** From an upstream, on 429 or 503: it did not run the request. */
  notRun: 'cleatquay-not-run',
  /** From an upstream: requests per second that it accepts from all daemons together, a decimal number. */
  rateLimit: 'cleatquay-rate-limit',
  /** From an upstream, `1`: it is shutting down and accepts no new requests. */
  leaving: 'cleatquay-leaving',
  /** From an upstream: `running,waiting,slots` or `running,waiting,slots,workTime`, its load by its own count. */
  load: 'cleatquay-load',
  idempotencyKey: 'idempotency-key',
  /** On requests to upstreams: the organisation whose key the request was sent with. */
  organisation: 'cleatquay-organisation',
} as const;

/** Carries a caller's key, where requests need one. */
export const AUTHORIZATION_HEADER = 'authorization';

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that concern the framing of one message. */
export const HOP_BY_HOP_HEADERS: readonly string[] = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
];

/** Headers that the native interface does not forward; lower case. */
export const STRIPPED_HEADERS: ReadonlySet<string> = new Set([
  ...HOP_BY_HOP_HEADERS,
  'host',
  ...Object.values(headerNames),
]);

/** The same for requests that carry keys, which must not reach upstreams. */
export const STRIPPED_HEADERS_WITH_AUTHORIZATION: ReadonlySet<string> = new Set([
  ...STRIPPED_HEADERS,
  AUTHORIZATION_HEADER,
]);

/**
 * A list of headers as one string of alternating names and values, each terminated by a line feed, which no header can
 * contain. One string costs the peer protocol a tenth of what a message per header does.
 */
export type HeaderBlock = string;

/** The forwarded headers among node's raw headers; names in `stripped` are in lower case. */
export function forwardedRawHeaders(
  raw: readonly string[],
  stripped: ReadonlySet<string> = STRIPPED_HEADERS,
): HeaderBlock {
  let block = '';
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? '';
    if (!stripped.has(name.toLowerCase())) block += `${name}\n${raw[i + 1] ?? ''}\n`;
  }
  return block;
}

/** The forwarded headers of a response, as represented by undici. */
export function forwardedHeaders(
  headers: Record<string, string | string[] | undefined>,
  stripped: ReadonlySet<string> = STRIPPED_HEADERS,
): HeaderBlock {
  let block = '';
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || stripped.has(name)) continue;
    if (typeof value === 'string') block += `${name}\n${value}\n`;
    else for (const item of value) block += `${name}\n${item}\n`;
  }
  return block;
}

/** Alternating names and values, as node and undici accept them. */
export function parseHeaderBlock(block: HeaderBlock): string[] {
  const list = block.split('\n');
  list.pop();
  return list;
}
