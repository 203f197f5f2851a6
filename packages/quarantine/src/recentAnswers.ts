/**
 * Requests that were answered of late. One that upstreams answer does not end them, so that a popular request is cleared at once when it
 * happens to run where upstreams end. Fingerprints are made only when somebody asks.
 */
import { type Clock } from '@cleatquay/clock';
import { type FingerprintHead, fingerprintOf } from './fingerprint.js';

/** Requests that are kept in mind, some 300 bytes each. */
const MAX_REQUESTS = 256;
/** How long an answer speaks for its request, ms: what upstreams bore so long ago they may not bear any more. */
const VALID_FOR_MS = 10_000;
/** Longer bodies are not kept, bytes. */
const MAX_BODY_BYTES = 1024;

interface AnsweredRequest {
  readonly answeredAt: number;
  readonly head: FingerprintHead;
  readonly body: Uint8Array;
  fingerprint: string | undefined;
}

/** The latest answered requests of one daemon. */
export class RecentResponses {
  private readonly requests: AnsweredRequest[] = [];
  private nextIndex = 0;

  constructor(private readonly clock: Clock) {}

  /** An upstream gave a whole answer to the request. */
  add(head: FingerprintHead, body: Uint8Array): void {
    if (body.length > MAX_BODY_BYTES) return;
    this.requests[this.nextIndex] = { answeredAt: this.clock.now(), head, body, fingerprint: undefined };
    this.nextIndex = (this.nextIndex + 1) % MAX_REQUESTS;
  }

  /** Those of the fingerprints that were answered of late. */
  answeredAmong(fingerprints: readonly string[]): string[] {
    if (fingerprints.length === 0) return [];
    const oldest = this.clock.now() - VALID_FOR_MS;
    const answered = new Set<string>();
    for (const one of this.requests) {
      if (one.answeredAt < oldest) continue;
      answered.add((one.fingerprint ??= fingerprintOf(one.head, one.body)));
    }
    return fingerprints.filter(fingerprint => answered.has(fingerprint));
  }
}
