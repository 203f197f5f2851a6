/**
 * Holds the repeats of a whole fleet at each service to a fraction of its requests, in any window. No daemon asks
 * another: each spends its own part, worked out from the requests that it sent itself, and less by what it had to send
 * though it repeats something: a call of a run that is a repeat.
 */
import { type Clock } from '@cleatquay/clock';
import { type Repeat, type RetryBudget } from './retryAllowance.js';

/**
 * Part of the fraction that is spent. The rest is for daemons that had to send more repeats than their part, since the
 * runs that call again are not spread evenly.
 */
const USABLE_RATIO = 0.8;
/**
 * Parts while more tries ask to be repeated than can be: for the first call of a request, and more for each call that was
 * made before. Answers to: a service that refuses a share of all its calls. A chain is lost with any of its calls, so that
 * repeats are worth most for its last ones.
 */
const SCARCE_BASE_RATIO = 0.2;
const SCARCE_RATIO_PER_CALL = 0.2;
/**
 * Part for tries that may have run. Each repeats the calls of its run, so that the repeats of all levels above add up at
 * the deepest service: with seven levels they make 0.84.
 */
const MAY_HAVE_RUN_RATIO = 0.12;
/** The window is counted in so many steps. */
const BUCKETS_PER_WINDOW = 10;
/** Whether repeats are scarce is told by so many steps, one of them not over yet. */
const SCARCITY_BUCKETS = 2;
/** Part of the fixed allowance that the fleet may spend; the rest covers daemons that this one does not know of. */
const FIXED_RATIO = 0.5;

/** Bounds of the fleet for one service. */
export interface FleetRetryBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that, for the whole fleet, in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

interface Bucket {
  readonly index: number;
  requests: number;
  /** Repeats of tries that ran nowhere, and calls that runs which are repeats made again. */
  otherRetries: number;
  /** Repeats of tries that may have run. */
  mayHaveRunRetries: number;
  /** Tries that were to be repeated, whether they could be or not. */
  wantedRetries: number;
}

/** The budget of one daemon. */
export class FleetRetryBudget implements RetryBudget {
  private readonly buckets = new Map<string, Bucket[]>();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: FleetRetryBounds,
    /** How many daemons share the fixed allowance, this one included. */
    private readonly daemons: () => number,
  ) {}

  requested(service: string, isRepeat: boolean): void {
    const bucket = this.currentBucket(service);
    if (isRepeat) bucket.otherRetries++;
    else bucket.requests++;
  }

  succeeded(): void {
    // Requests count, however they end.
  }

  take(service: string, { before, callsBefore }: Repeat): boolean {
    const current = this.currentBucket(service);
    current.wantedRetries++;
    const { ratio, extra } = this.bounds;
    let requests = 0;
    let otherRetries = 0;
    let mayHaveRunRetries = 0;
    for (const bucket of this.buckets.get(service) ?? []) {
      requests += bucket.requests;
      otherRetries += bucket.otherRetries;
      mayHaveRunRetries += bucket.mayHaveRunRetries;
    }
    const maxRetries = requests * ratio + (extra * FIXED_RATIO) / Math.max(1, this.daemons());
    const share = this.isScarce(service) ? scarceRatio(callsBefore) : USABLE_RATIO;
    if (otherRetries + mayHaveRunRetries + 1 > maxRetries * share) return false;
    if (before === 'may-have-run' && mayHaveRunRetries + 1 > maxRetries * MAY_HAVE_RUN_RATIO) return false;
    if (before === 'may-have-run') current.mayHaveRunRetries++;
    else current.otherRetries++;
    return true;
  }

  /** Whether more tries were to be repeated of late than the fraction allows. */
  private isScarce(service: string): boolean {
    const latest = (this.buckets.get(service) ?? []).slice(-SCARCITY_BUCKETS);
    const requests = latest.reduce((sum, bucket) => sum + bucket.requests, 0);
    const wantedRetries = latest.reduce((sum, bucket) => sum + bucket.wantedRetries, 0);
    return wantedRetries > requests * this.bounds.ratio * USABLE_RATIO;
  }

  /** The bucket of now; those that have left the window are dropped. */
  private currentBucket(service: string): Bucket {
    const index = Math.floor((this.clock.now() * BUCKETS_PER_WINDOW) / this.bounds.windowMs);
    let buckets = this.buckets.get(service);
    if (!buckets) this.buckets.set(service, (buckets = []));
    const last = buckets.at(-1);
    if (last?.index === index) return last;
    while (buckets[0] && buckets[0].index < index - BUCKETS_PER_WINDOW) buckets.shift();
    const bucket: Bucket = { index, requests: 0, otherRetries: 0, mayHaveRunRetries: 0, wantedRetries: 0 };
    buckets.push(bucket);
    return bucket;
  }
}

function scarceRatio(callsBefore: number): number {
  return Math.min(USABLE_RATIO, SCARCE_BASE_RATIO + SCARCE_RATIO_PER_CALL * callsBefore);
}
