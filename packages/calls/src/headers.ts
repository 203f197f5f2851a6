/** HTTP header names of the system, and which headers pass through. */
import { type Header } from '@cleatquay/protocol';

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
  idempotencyKey: 'idempotency-key',
} as const;

const DROPPED = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  ...Object.values(headerNames),
]);

/** Those that are passed on, from node's or undici's headers. */
export function passedHeaders(headers: Record<string, string | string[] | undefined>): Header[] {
  return Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || DROPPED.has(name.toLowerCase())) return [];
    return [value].flat().map(one => ({ name, value: one }));
  });
}

/** Headers as undici and node take them. */
export function headerRecord(headers: readonly Header[]): Record<string, string | string[]> {
  const record: Record<string, string | string[]> = {};
  for (const { name, value } of headers) {
    const known = record[name];
    record[name] = known === undefined ? value : [known, value].flat();
  }
  return record;
}
