/**
 * Sends of one call to upstreams that refused it and promised that it has not run. Sending it there again adds no upstream to those
 * that the route's number of attempts bounds, so that it needs only a retry of the fleet's budget and time.
 */
import { type Random } from '@cleatquay/clock';
import { resultByCode } from '@cleatquay/errors';
import { type Refusal } from '@cleatquay/protocol';
import { type Candidate } from '@cleatquay/routing';
import { hasReachedUpstream } from './decideRetry.js';

/** Where 0.55 of all sends are refused, a call fails with this many in 1 of 400 cases, and a chain of eight in 1 of 50. */
const MAX_SENDS = 10;
/** Pauses between sends: an upstream that is full for a moment refuses what arrives in the same millisecond, too. */
const MAX_PAUSE_MS = 6;
/** Ratio of the remaining time that one pause may take. */
const MAX_PAUSE_RATIO = 0.01;

/** The sends of one call that were refused. */
export class CallResends {
  private readonly reached = new Set<string>();
  private refusing: Candidate[] = [];
  private refusals = 0;

  /** `maxUpstreams` bounds the number of different upstreams that may receive the call. */
  constructor(private readonly maxUpstreams: number) {}

  /** Records a failed attempt at the candidate. */
  record(candidate: Candidate, refusal: Refusal): void {
    const { address } = candidate;
    this.refusing = this.refusing.filter(known => known.address !== address);
    if (!hasReachedUpstream(refusal)) return;
    this.reached.add(address);
    this.refusals++;
    if (resultByCode(refusal.code) === 'shedByUpstream') this.refusing.push(candidate);
  }

  /** Whether the call may be sent again to an upstream that refused it. */
  get isPossible(): boolean {
    return this.refusing.length > 0 && this.refusals < MAX_SENDS;
  }

  /** Whether no other upstream may receive the call. */
  get isConfined(): boolean {
    return this.reached.size >= this.maxUpstreams;
  }

  /** An upstream that refused the call; undefined if there is none to which it may be sent again. */
  choose(random: Random): Candidate | undefined {
    return this.isPossible ? this.refusing[Math.floor(random() * this.refusing.length)] : undefined;
  }

  /** The pause before the next send, ms; none until as many sends were refused as upstreams may receive the call. */
  pauseMs(remainingMs: number, random: Random): number {
    if (this.refusals < this.maxUpstreams) return 0;
    return random() * Math.min(MAX_PAUSE_MS, remainingMs * MAX_PAUSE_RATIO);
  }
}
