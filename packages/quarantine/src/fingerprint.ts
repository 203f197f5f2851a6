/** Fingerprints identify a request by its content, across request ids and VMs. */
import { type RequestHead } from '@cleatquay/protocol';
import { createHash } from 'node:crypto';

/** 64 bits of a cryptographic hash, so that nobody can craft a request with another one's fingerprint. */
export const FINGERPRINT_DIGITS = 16;

/** Headers (lower case) that differ between attempts of one request or depend on its route. */
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

/** Daemons buffer no more of a body; the rest is only streamed. */
const MAX_HASHED_BODY_BYTES = 65_536;

/** The parts of a request's head that enter its fingerprint. */
export type FingerprintHead = Pick<RequestHead, 'method' | 'path' | 'headers'>;

/** Hashes method, path, query, the headers that stay the same in every attempt, and the body up to a maximum length. */
export function fingerprintOf(head: FingerprintHead, body: Uint8Array): string {
  const hash = new FingerprintHash(head);
  hash.add(body);
  return hash.value;
}

/** Computes a fingerprint while the body is received. */
export class FingerprintHash {
  private readonly hash = createHash('sha256');
  private bodyBytes = 0;

  constructor({ method, path, headers }: FingerprintHead) {
    this.hash.update(`${method} ${path}\n${stableHeaders(headers)}\n`);
  }

  /** Adds the next bytes of the body. */
  add(chunk: Uint8Array): void {
    if (this.bodyBytes >= MAX_HASHED_BODY_BYTES) return;
    this.hash.update(chunk.subarray(0, MAX_HASHED_BODY_BYTES - this.bodyBytes));
    this.bodyBytes += chunk.length;
  }

  /** The fingerprint of what was added so far. */
  get value(): string {
    return this.hash.copy().digest('hex').slice(0, FINGERPRINT_DIGITS);
  }
}

/** The headers that stay the same in every attempt, from a block of alternating names and values. */
function stableHeaders(block: string): string {
  const lines = block.split('\n');
  let stable = '';
  for (let i = 0; i + 1 < lines.length; i += 2) {
    const name = (lines[i] ?? '').toLowerCase();
    if (!PER_ATTEMPT_HEADERS.has(name)) stable += `${name}:${lines[i + 1] ?? ''}\n`;
  }
  return stable;
}
