/** HTTP header names of the system, and which headers pass through. */
/** Headers that callers, upstreams and daemons exchange. */
export const headerNames = {
  /** On requests: the id to be known by; on answers: the id that the request had. */
  requestId: 'cleatquay-request-id',
  /** From an upstream: the request id that it works for. */
  parent: 'cleatquay-parent',
  /** From an upstream: names this call among those it makes for its request. */
  callKey: 'cleatquay-call-key',
  /** Milliseconds that the caller, or the upstream, has. */
  timeoutMs: 'cleatquay-timeout-ms',
  /** answered, not-run, unknown or failed. */
  outcome: 'cleatquay-outcome',
  retryAfterMs: 'cleatquay-retry-after-ms',
  /** From an upstream, on 503: it ran nothing. */
  notRun: 'cleatquay-not-run',
  /** From an upstream: requests a second that it takes from all daemons together, a decimal number. */
  rateLimit: 'cleatquay-rate-limit',
  /** From an upstream, "1": it takes no new work any more. */
  leaving: 'cleatquay-leaving',
  idempotencyKey: 'idempotency-key',
  /** On requests to upstreams: the organisation whose key the request bore. */
  organisation: 'cleatquay-organisation',
} as const;

/** Bears a caller's key, where requests need one. */
export const CREDENTIALS = 'authorization';

/** Headers that concern one connection, or the framing of one message. */
export const CONNECTION_HEADERS: readonly string[] = [
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

/** What our own interface doesn't pass on. */
export const OWN_HEADERS: ReadonlySet<string> = new Set([
  ...CONNECTION_HEADERS,
  'host',
  ...Object.values(headerNames),
]);

/** The same where requests bear keys. */
export const OWN_HEADERS_WITH_KEYS: ReadonlySet<string> = new Set([...OWN_HEADERS, CREDENTIALS]);

/**
 * A list of headers as one text, names and values by turns, each ended by a line feed, which no header can hold. One
 * text costs the inner protocol a tenth of what a message for each header does.
 */
export type HeaderBlock = string;

/** Those that are passed on of node's raw headers; names of `dropped` are in lower case. */
export function passedRawHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string> = OWN_HEADERS,
): HeaderBlock {
  let block = '';
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] ?? '';
    if (!dropped.has(name.toLowerCase())) block += `${name}\n${raw[i + 1] ?? ''}\n`;
  }
  return block;
}

/** Those that are passed on of an answer's headers, as undici gives them. */
export function passedHeaders(
  headers: Record<string, string | string[] | undefined>,
  dropped: ReadonlySet<string> = OWN_HEADERS,
): HeaderBlock {
  let block = '';
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || dropped.has(name)) continue;
    if (typeof value === 'string') block += `${name}\n${value}\n`;
    else for (const one of value) block += `${name}\n${one}\n`;
  }
  return block;
}

/** Names and values by turns, as node and undici take them. */
export function headerList(block: HeaderBlock): string[] {
  const list = block.split('\n');
  list.pop();
  return list;
}
