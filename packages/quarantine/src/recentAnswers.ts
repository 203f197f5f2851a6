/**
 * Requests that were answered of late. One that upstreams answer does not end them, so that a popular request is cleared at once when it
 * happens to run where upstreams end. Fingerprints are made only when somebody asks.
 */
import { type Clock } from '@cleatquay/clock';
import { type AskedHead, fingerprintOf } from './fingerprint.js';

/** Requests that are kept in mind, some 300 bytes each. */
const MOST_ANSWERS = 256;
/** How long an answer speaks for its request, ms: what upstreams bore so long ago they may not bear any more. */
const SPEAKS_FOR_MS = 10_000;
/** Longer bodies are not kept, bytes. */
const MOST_BODY_BYTES = 1024;

interface Answered {
  readonly at: number;
  readonly head: AskedHead;
  readonly body: Uint8Array;
  fingerprint: string | undefined;
}

/** The latest answered requests of one daemon. */
export class RecentAnswers {
  private readonly latest: Answered[] = [];
  private next = 0;

  constructor(private readonly clock: Clock) {}

  /** An upstream gave a whole answer to the request. */
  add(head: AskedHead, body: Uint8Array): void {
    if (body.length > MOST_BODY_BYTES) return;
    this.latest[this.next] = { at: this.clock.now(), head, body, fingerprint: undefined };
    this.next = (this.next + 1) % MOST_ANSWERS;
  }

  /** Those of the fingerprints that were answered of late. */
  among(fingerprints: readonly string[]): string[] {
    if (fingerprints.length === 0) return [];
    const oldest = this.clock.now() - SPEAKS_FOR_MS;
    const answered = new Set<string>();
    for (const one of this.latest) {
      if (one.at < oldest) continue;
      answered.add((one.fingerprint ??= fingerprintOf(one.head, one.body)));
    }
    return fingerprints.filter(fingerprint => answered.has(fingerprint));
  }
}
