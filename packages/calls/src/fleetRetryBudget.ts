/**
 * Limits the retries of a whole fleet at each service to a fraction of its requests, in any window, without communication
 * between daemons: each has a budget from the requests that it sent itself. Calls made by a request that is itself a retry
 * have to be sent again; they are charged to the budget, too.
 */
import { type Clock } from '@cleatquay/clock';
import { tightestWindow } from './retryWindows.js';
import { type RetryPlace, positionOf } from './retryPositions.js';
import { type GrantsByPosition, ScarceRetries } from './scarceRetries.js';
import { type Retry, type RetryBudget, type TakenRetry } from './tokenBucketRetryBudget.js';

/**
 * Ratio of the budget that is spent on retries. The rest covers daemons that had to send more retries than others,
 * since requests that are retries, and make their calls again, are not spread evenly over daemons.
 */
const USABLE_RATIO = 0.8;
/** The same after refusals by upstreams: what has not run makes no calls again. */
const USABLE_AFTER_REFUSAL_RATIO = 0.95;
/**
 * Ratios while more retries are requested than the budget has: that of the first call of a request, and the increment for
 * each earlier call. While a service refuses some of its calls, a chain fails with any one of them, so that a retry is worth
 * most for the last calls of a chain.
 */
const SCARCE_BASE_RATIO = 0.2;
const SCARCE_RATIO_PER_CALL = 0.2;
/**
 * Ratio for retries of attempts that may have run. Each makes the calls of its request again, so that the retries of all
 * levels of the call graph add up at the deepest service: with seven levels, to 0.84.
 */
const MAY_HAVE_RUN_RATIO = 0.12;
/**
 * Ratios of the requests of lower classes that are expected to continue while retries are requested: their chains end at their first calls,
 * or are refused where they enter. Lower classes get retries by the more careful one, so that what they use is not missing for
 * the top class later.
 */
const CONTINUING_RATIO = 0.5;
const CONTINUING_RATIO_FOR_LOWER = 0.05;
const BUCKETS_PER_WINDOW = 10;
/** Scarcity is determined over this many of the latest buckets, including the current one. */
const SCARCITY_BUCKETS = 2;
/** Ratio of the fixed allowance that the fleet may spend; the rest covers daemons that this one does not know of. */
const FIXED_RATIO = 0.5;

/** Limits of the whole fleet for one service. */
export interface FleetRetryBounds {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries beyond that, for the whole fleet, in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

interface Bucket {
  readonly index: number;
  requests: number;
  /** Those of lower classes. */
  lowerRequests: number;
  /** Retries of attempts that did not run, and calls made again by requests that are retries. */
  otherRetries: number;
  /** Retries of attempts that may have run. */
  mayHaveRunRetries: number;
  /** Retries requested, whether granted or not. */
  requestedRetries: number;
  /** Retries of attempts that upstreams refused, by the order of the calls. */
  readonly granted: GrantsByPosition;
}

/** The retry budget of one daemon. */
export class FleetRetryBudget implements RetryBudget {
  /** Calls that an upstream refused may be sent to it again, since the budget bounds all sends. */
  readonly allowsResends = true;
  private readonly buckets = new Map<string, Bucket[]>();
  private readonly scarceRetries = new Map<string, ScarceRetries>();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: FleetRetryBounds,
    /** How many daemons, including this one, share the fixed allowance. */
    private readonly daemons: () => number,
  ) {}

  countRequest(service: string, isRepeat: boolean, rank = 0): void {
    const bucket = this.currentBucket(service);
    if (isRepeat) bucket.otherRetries++;
    else bucket.requests++;
    if (!isRepeat && rank > 0) bucket.lowerRequests++;
  }

  countSuccess(): void {
    // The budget depends on requests, whatever their outcome.
  }

  take(service: string, retry: Retry): boolean {
    const current = this.currentBucket(service);
    current.requestedRetries++;
    const buckets = this.buckets.get(service) ?? [];
    const { previousOutcome, callsBefore, order } = retry;
    if (previousOutcome === 'not-run' && order !== undefined) {
      const place = { order, callsBefore };
      if (!this.isGrantedAfterRefusal(service, place, buckets)) return false;
      const position = positionOf(place);
      current.granted.set(position, (current.granted.get(position) ?? 0) + 1);
    } else {
      let requests = 0;
      let otherRetries = 0;
      let mayHaveRunRetries = 0;
      for (const bucket of this.bucketsInWindow(service)) {
        requests += bucket.requests;
        otherRetries += bucket.otherRetries;
        mayHaveRunRetries += bucket.mayHaveRunRetries;
      }
      const maxRetries = requests * this.bounds.ratio + this.extra;
      const usableRatio = this.isScarce(service) ? scarceRatio(callsBefore) : USABLE_RATIO;
      if (otherRetries + mayHaveRunRetries + 1 > maxRetries * usableRatio) return false;
      if (previousOutcome === 'may-have-run' && mayHaveRunRetries + 1 > maxRetries * MAY_HAVE_RUN_RATIO)
        return false;
    }
    if (previousOutcome === 'may-have-run') current.mayHaveRunRetries++;
    else current.otherRetries++;
    return true;
  }

  giveBack(service: string, { retry: { previousOutcome, order, callsBefore }, at }: TakenRetry): void {
    const index = this.bucketIndexAt(at);
    const bucket = this.buckets.get(service)?.find(known => known.index === index);
    if (!bucket) return;
    if (previousOutcome === 'may-have-run') bucket.mayHaveRunRetries--;
    else bucket.otherRetries--;
    if (previousOutcome === 'may-have-run' || order === undefined) return;
    const position = positionOf({ order, callsBefore });
    bucket.granted.set(position, (bucket.granted.get(position) ?? 0) - 1);
  }

  private bucketIndexAt(time: number): number {
    return Math.floor((time * BUCKETS_PER_WINDOW) / this.bounds.windowMs);
  }

  /** Retries that this daemon may use in a window beyond those for its requests. */
  private get extra(): number {
    return (this.bounds.extra * FIXED_RATIO) / Math.max(1, this.daemons());
  }

  private isGrantedAfterRefusal(service: string, place: RetryPlace, buckets: readonly Bucket[]): boolean {
    const scarceRetries = this.scarceRetriesOf(service);
    scarceRetries.countDemand(place);
    const { ratio, windowMs } = this.bounds;
    const { used, allowed, from, perBucket } = tightestWindow(buckets, {
      bucketsPerWindow: BUCKETS_PER_WINDOW,
      time: (this.clock.now() * BUCKETS_PER_WINDOW) / windowMs,
      ratio: ratio * USABLE_AFTER_REFUSAL_RATIO,
      extra: this.extra * USABLE_AFTER_REFUSAL_RATIO,
      lowerClasses: place.order < 1 ? CONTINUING_RATIO : CONTINUING_RATIO_FOR_LOWER,
    });
    const usablePerMs = (perBucket * ratio * USABLE_AFTER_REFUSAL_RATIO * BUCKETS_PER_WINDOW) / windowMs;
    if (!scarceRetries.isDemandAbove(usablePerMs)) return used + 1 <= allowed;
    const granted = buckets.filter(({ index }) => index >= from).map(bucket => bucket.granted);
    const latest = this.currentBucket(service).granted;
    return scarceRetries.isGranted(place, {
      used,
      allowed,
      usable: usablePerMs * windowMs,
      granted,
      latest,
      latestPart: 1 / BUCKETS_PER_WINDOW,
    });
  }

  private scarceRetriesOf(service: string): ScarceRetries {
    let scarceRetries = this.scarceRetries.get(service);
    if (!scarceRetries) {
      scarceRetries = new ScarceRetries(this.clock, this.bounds.windowMs);
      this.scarceRetries.set(service, scarceRetries);
    }
    return scarceRetries;
  }

  /** Whether more retries were requested recently than the budget allows. */
  private isScarce(service: string): boolean {
    const latest = (this.buckets.get(service) ?? []).slice(-SCARCITY_BUCKETS);
    const requests = latest.reduce((sum, bucket) => sum + bucket.requests, 0);
    const requestedRetries = latest.reduce((sum, bucket) => sum + bucket.requestedRetries, 0);
    return requestedRetries > requests * this.bounds.ratio * USABLE_RATIO;
  }

  private bucketsInWindow(service: string): readonly Bucket[] {
    const buckets = this.buckets.get(service) ?? [];
    const current = buckets.at(-1)?.index ?? 0;
    return buckets.filter(({ index }) => index >= current - BUCKETS_PER_WINDOW);
  }

  /** The current bucket; removes buckets that have left the preceding window. */
  private currentBucket(service: string): Bucket {
    const index = this.bucketIndexAt(this.clock.now());
    let buckets = this.buckets.get(service);
    if (!buckets) this.buckets.set(service, (buckets = []));
    const last = buckets.at(-1);
    if (last?.index === index) return last;
    while (buckets[0] && buckets[0].index < index - 2 * BUCKETS_PER_WINDOW) buckets.shift();
    const bucket: Bucket = {
      index,
      requests: 0,
      lowerRequests: 0,
      otherRetries: 0,
      mayHaveRunRetries: 0,
      requestedRetries: 0,
      granted: new Map(),
    };
    buckets.push(bucket);
    return bucket;
  }
}

function scarceRatio(callsBefore: number): number {
  return Math.min(USABLE_RATIO, SCARCE_BASE_RATIO + SCARCE_RATIO_PER_CALL * callsBefore);
}
