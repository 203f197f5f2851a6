/**
 * Decides which root requests that make calls are refused where they enter because many of those before them were lost after work was done for
 * them: they timed out, or a call of theirs did. Each daemon on the way adds its lag to a request, and a chain of calls passes each of them many
 * times, so that a lag which a single hop bears is too much for the chain. Each request that is refused here leaves the others the work of a whole
 * chain. Routes whose requests make no calls are left to the admission of their upstreams.
 *
 * For each route and class, the requests that are admitted in a short interval form a cohort. Once all of them have ended, the ratio that was lost
 * lowers or raises the share that is admitted, and the next cohort begins: a change is judged by requests that were admitted after it.
 */
import { strictRequestLevel } from '@cleatquay/admission';
import { type Clock, type Random } from '@cleatquay/clock';
import { type CallContext, type Refusal, createRefusal } from '@cleatquay/protocol';

/** How an admitted request ended: with a response, lost after work was done for it, or in a way that tells nothing of a shortage. */
export type RequestEnd = 'served' | 'lost' | 'other';

/** The share falls above this ratio of lost requests, and rises below the lower one. */
const MAX_LOST_RATIO = 0.25;
const LOW_LOST_RATIO = 0.1;
/** One step lowers the share to this ratio of it at most. */
const MIN_STEP_RATIO = 0.25;
const RISE_FACTOR = 1.2;
/** The same while this process has processor time. */
const FREE_RISE_FACTOR = 1.3;
/** The same from this ratio of the share at which requests were last lost, for some time: the shortage probably lasts. */
const CAREFUL_RISE_FACTOR = 1.02;
const CAREFUL_FROM_RATIO = 0.5;
/** That time, ms; it doubles when requests are lost again soon after it. */
const MIN_CAREFUL_MS = 1000;
const MAX_CAREFUL_MS = 4000;
/** Time for which each factor counts once, ms, where a cohort takes longer since few requests come. */
const RISE_MS = 1000;
/** Share that is always admitted. It shows a recovery. */
const MIN_SHARE = 0.1;
/** Interval in which requests join a cohort, ms, and the longest, where few come. */
const COHORT_MS = 250;
const MAX_COHORT_MS = 1000;
/** Their number at most. */
const MAX_COHORT = 64;
/** A smaller cohort says too little to lower the share. */
const MIN_JUDGED = 5;
/** Time after which the ends of a cohort are no longer waited for, beyond the longest time that one of its requests has, ms. */
const END_TOLERANCE_MS = 200;
const RETRY_AFTER_MS = 1000;
/** Bounds the memory if routes are renamed often. */
const MAX_ROUTES = 256;

interface Cohort {
  readonly startedAt: number;
  /** When the last of its requests has reached its timeout. */
  endsAt: number;
  readonly running: Set<string>;
  joined: number;
  served: number;
  lost: number;
}

interface AdmittedShare {
  value: number;
  /** The share at which requests were last lost, and when that was found, clock time in ms. */
  lostAt: { readonly value: number; readonly time: number; readonly carefulMs: number };
  cohort: Cohort;
}

/** The decisions of one daemon. */
export class LossAdmission {
  readonly counts = { refused: 0 };
  private readonly shares = new Map<string, AdmittedShare>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    /** Whether this process lacks processor time. */
    private readonly isStrained: () => boolean,
  ) {}

  /** Follows the root requests of a route and class from now on, since such requests make calls. The top class is always admitted. */
  follow({ route, class: rank }: CallContext): void {
    const key = keyOf(route, rank);
    if (rank === 0 || this.shares.has(key) || this.shares.size >= MAX_ROUTES) return;
    this.shares.set(key, { value: 1, lostAt: NEVER_LOST, cohort: this.newCohort() });
  }

  /** The refusal of a root request; undefined if it is admitted, whose end has to be recorded then. */
  refusalOf(context: CallContext): Refusal | undefined {
    const { route, class: rank, rootId } = context;
    const share = this.shares.get(keyOf(route, rank));
    if (!share) return undefined;
    this.judge(share);
    if (strictRequestLevel(rank, rootId) - rank < share.value) {
      this.join(share.cohort, context);
      return undefined;
    }
    this.counts.refused++;
    const percent = Math.round(100 * share.value);
    return createRefusal(
      'refusedEarly',
      `Requests of this route are lost after work was done for them: ${String(percent)}% are admitted at present.`,
      { retryAfterMs: Math.round(RETRY_AFTER_MS * (0.5 + this.random())) },
    );
  }

  /** Records the end of a root request that was admitted. */
  recordEnd({ route, class: rank, requestId }: CallContext, end: RequestEnd): void {
    const cohort = this.shares.get(keyOf(route, rank))?.cohort;
    if (!cohort?.running.delete(requestId)) return;
    if (end === 'served') cohort.served++;
    else if (end === 'lost') cohort.lost++;
  }

  /** The shares below 1, by class and route. */
  get reduced(): ReadonlyMap<string, number> {
    const values = [...this.shares].map(([key, { value }]) => [key, value] as const);
    return new Map(values.filter(([, value]) => value < 1));
  }

  private newCohort(): Cohort {
    const now = this.clock.now();
    return { startedAt: now, endsAt: now, running: new Set(), joined: 0, served: 0, lost: 0 };
  }

  private join(cohort: Cohort, { requestId, remainingMs }: CallContext): void {
    const now = this.clock.now();
    if (!isOpen(cohort, now)) return;
    cohort.running.add(requestId);
    cohort.joined++;
    cohort.endsAt = Math.max(cohort.endsAt, now + remainingMs + END_TOLERANCE_MS);
  }

  /** Changes the share by what became of its cohort, once that is known. */
  private judge(share: AdmittedShare): void {
    const { cohort } = share;
    const now = this.clock.now();
    if (isOpen(cohort, now) || (cohort.running.size > 0 && now < cohort.endsAt)) return;
    const judged = cohort.served + cohort.lost;
    const lostRatio = judged === 0 ? 0 : cohort.lost / judged;
    if (lostRatio > MAX_LOST_RATIO && judged >= MIN_JUDGED) lower(share, lostRatio, now);
    else if (!this.isStrained()) raise(share, FREE_RISE_FACTOR, now);
    else if (lostRatio < LOW_LOST_RATIO) raise(share, carefulFactor(share, now), now);
    share.cohort = this.newCohort();
  }
}

const NEVER_LOST = { value: 1, time: Number.NEGATIVE_INFINITY, carefulMs: MIN_CAREFUL_MS };

/** Whether further requests join it. */
function isOpen({ startedAt, joined }: Cohort, now: number): boolean {
  const closesAt = startedAt + (joined < MIN_JUDGED ? MAX_COHORT_MS : COHORT_MS);
  return now < closesAt && joined < MAX_COHORT;
}

function lower(share: AdmittedShare, lostRatio: number, now: number): void {
  const { time, carefulMs } = share.lostAt;
  const isAgain = now - time < 2 * carefulMs + MAX_CAREFUL_MS;
  share.lostAt = {
    value: share.value,
    time: now,
    carefulMs: isAgain ? Math.min(MAX_CAREFUL_MS, 2 * carefulMs) : MIN_CAREFUL_MS,
  };
  share.value = Math.max(MIN_SHARE, share.value * Math.max(MIN_STEP_RATIO, 1 - lostRatio));
}

/** Raises the share by the factor for each `RISE_MS` that its cohort has taken, at least once. */
function raise(share: AdmittedShare, factor: number, now: number): void {
  const steps = Math.max(1, Math.floor((now - share.cohort.startedAt) / RISE_MS));
  share.value = Math.min(1, share.value * factor ** steps);
}

function carefulFactor({ value, lostAt }: AdmittedShare, now: number): number {
  const isCareful = value >= lostAt.value * CAREFUL_FROM_RATIO && now - lostAt.time < lostAt.carefulMs;
  return isCareful ? CAREFUL_RISE_FACTOR : RISE_FACTOR;
}

function keyOf(route: string, rank: number): string {
  return `${String(rank)} ${route}`;
}
