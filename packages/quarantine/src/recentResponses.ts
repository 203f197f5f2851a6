/**
 * Requests that got a complete response recently. Since upstreams ran them without a crash, a frequent request is
 * cleared at once when it happens to be in flight at a crash. Fingerprints are computed on demand.
 */
import { type Clock } from '@cleatquay/clock';
import { type FingerprintHead, fingerprintOf } from './fingerprint.js';

/** Number of retained requests, of about 300 bytes each. */
const MAX_REQUESTS = 256;
/** How long a response clears its request; a request that completed earlier may crash upstreams now. */
const VALID_FOR_MS = 10_000;
/** Requests with longer bodies are not retained. */
const MAX_BODY_BYTES = 1024;

interface AnsweredRequest {
  readonly answeredAt: number;
  readonly head: FingerprintHead;
  readonly body: Uint8Array;
  fingerprint: string | undefined;
}

/** The requests that one daemon answered most recently. */
export class RecentResponses {
  private readonly requests: AnsweredRequest[] = [];
  private nextIndex = 0;

  constructor(private readonly clock: Clock) {}

  /** Records a request that got a complete response. */
  add(head: FingerprintHead, body: Uint8Array): void {
    if (body.length > MAX_BODY_BYTES) return;
    this.requests[this.nextIndex] = { answeredAt: this.clock.now(), head, body, fingerprint: undefined };
    this.nextIndex = (this.nextIndex + 1) % MAX_REQUESTS;
  }

  /** Filters the fingerprints by whether their requests were answered recently. */
  completedAmong(fingerprints: readonly string[]): string[] {
    if (fingerprints.length === 0) return [];
    const oldest = this.clock.now() - VALID_FOR_MS;
    const answered = new Set<string>();
    for (const request of this.requests) {
      if (request.answeredAt < oldest) continue;
      answered.add((request.fingerprint ??= fingerprintOf(request.head, request.body)));
    }
    return fingerprints.filter(fingerprint => answered.has(fingerprint));
  }
}
