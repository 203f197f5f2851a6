/** Names a request by what it asks, so that it is known again under another id, at another VM. */
import { type RequestHead } from '@cleatquay/protocol';
import { createHash } from 'node:crypto';

/** Digits of a fingerprint: 64 bits of a cryptographic hash, so that nobody can make a request that is taken for another's. */
export const FINGERPRINT_DIGITS = 16;

/** Headers, in lower case, that differ between two attempts of one request, or with the way that it took. */
const PER_ATTEMPT_HEADERS: ReadonlySet<string> = new Set([
  'b3',
  'baggage',
  'content-length',
  'date',
  'forwarded',
  'idempotency-key',
  'traceparent',
  'tracestate',
  'uber-trace-id',
  'via',
  'x-amzn-trace-id',
  'x-b3-parentspanid',
  'x-b3-sampled',
  'x-b3-spanid',
  'x-b3-traceid',
  'x-cloud-trace-context',
  'x-correlation-id',
  'x-forwarded-for',
  'x-request-id',
]);

/** Bytes of a body that name it: of a longer one, daemons have only a stream. */
const MAX_HASHED_BODY_BYTES = 65_536;

/** What of a request says what it asks, and for whom. */
export type FingerprintHead = Pick<RequestHead, 'method' | 'path' | 'headers'>;

/** The fingerprint of a request: its method, path, query and body, and the headers that say for whom it is. Of a long body its beginning does. */
export function fingerprintOf({ method, path, headers }: FingerprintHead, body: Uint8Array): string {
  return createHash('sha256')
    .update(`${method} ${path}\n${stableHeaders(headers)}\n`)
    .update(body.subarray(0, MAX_HASHED_BODY_BYTES))
    .digest('hex')
    .slice(0, FINGERPRINT_DIGITS);
}

/** Those headers of a block of names and values by turns that stay the same when the request is asked again. */
function stableHeaders(block: string): string {
  const lines = block.split('\n');
  let lasting = '';
  for (let i = 0; i + 1 < lines.length; i += 2) {
    const name = (lines[i] ?? '').toLowerCase();
    if (!PER_ATTEMPT_HEADERS.has(name)) lasting += `${name}:${lines[i + 1] ?? ''}\n`;
  }
  return lasting;
}
