/**
 * Decides which root requests are refused where they enter because the calls that they make have no chance at the moment. The share of
 * the requests of a route and class that is admitted falls with each outlook below what is wanted, and rises by itself.
 * Requests are admitted in the order of a hash of their id, which is the order in which chains get retries, so that the
 * share settles where those that are admitted are mostly complete.
 */
import { strictRequestLevel } from '@cleatquay/admission';
import { type Clock, type Random } from '@cleatquay/clock';
import { type CallContext, type ChainOutlook, type Refusal, createRefusal } from '@cleatquay/protocol';
import { isPlausible } from './chainOutlooks.js';

/** Requests of a route begin to be refused below this completion: they have practically no chance. */
const REFUSE_BELOW = 0.15;
/** The completion that is wanted of those that are still admitted. */
const WANTED = 0.3;
/**
 * Share that is always admitted. It shows a recovery. The retries that the fleet may use follow from the requests that the service gets:
 * with a much smaller share, fewer would be allowed than have been used before the share was lowered.
 */
const MIN_SHARE = 0.25;
/** What each unit of completion adds to that share: where only late calls get retries, the completion stays below what is wanted, however few are admitted. */
const SHARE_PER_COMPLETION = 1.5;
/** Upper bound of the share that is always admitted. */
const MAX_LEAST_SHARE = 0.39;
/** The share stays for this long after an outlook has lowered it, and then doubles in each `DOUBLING_MS`, ms. */
const HOLD_MS = 300;
const DOUBLING_MS = 400;
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 5000;
/** Bounds the memory if routes are renamed often. */
const MAX_ROUTES = 256;

interface Share {
  value: number;
  loweredAt: number;
  readonly since: number;
  completion: number;
}

/** The decisions of one daemon. */
export class ChainAdmission {
  readonly counts = { refused: 0 };
  private readonly shares = new Map<string, Share>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The refusal of a root request; undefined if it is admitted. */
  refusalOf({ route, class: rank, rootId }: CallContext): Refusal | undefined {
    if (this.shares.size === 0) return undefined;
    const share = this.shares.get(keyOf(route, rank));
    if (!share) return undefined;
    const admitted = this.valueAt(share);
    if (strictRequestLevel(rank, rootId) - rank < admitted) return undefined;
    this.counts.refused++;
    const lastedMs = this.clock.now() - share.since;
    const base = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, lastedMs));
    const percent = Math.round(100 * share.completion);
    return createRefusal(
      'refusedEarly',
      `Calls that the request makes fail: ${String(percent)}% of such requests are complete at present.`,
      { retryAfterMs: Math.round(base * (0.5 + this.random())) },
    );
  }

  /**
   * Records the outlook that came with the response to a root request; undefined if there was none. The top class is never refused for its
   * outlook: it gets the retries first.
   */
  record({ route, class: rank }: CallContext, outlook: ChainOutlook | undefined): void {
    if (rank === 0 || !outlook || !isPlausible(outlook)) return;
    const key = keyOf(route, rank);
    const now = this.clock.now();
    const known = this.shares.get(key);
    const value = known ? this.valueAt(known) : 1;
    if (known && value >= 1) this.shares.delete(key);
    const { completion } = outlook;
    const floor = value < 1 ? WANTED : REFUSE_BELOW;
    if (completion >= floor) return;
    if (!this.shares.has(key) && this.shares.size >= MAX_ROUTES) this.removeComplete();
    if (!this.shares.has(key) && this.shares.size >= MAX_ROUTES) return;
    const least = Math.min(MAX_LEAST_SHARE, MIN_SHARE + completion * SHARE_PER_COMPLETION);
    const lowered = Math.max(least, (value * completion) / WANTED);
    const since = value < 1 && known ? known.since : now;
    this.shares.set(key, { value: lowered, loweredAt: now, since, completion });
  }

  /** The shares below 1 that are admitted at present, by class and route. */
  get reduced(): ReadonlyMap<string, number> {
    const values = [...this.shares].map(([key, share]) => [key, this.valueAt(share)] as const);
    return new Map(values.filter(([, value]) => value < 1));
  }

  private removeComplete(): void {
    for (const [key, share] of this.shares) if (this.valueAt(share) >= 1) this.shares.delete(key);
  }

  private valueAt({ value, loweredAt }: Share): number {
    const risingMs = Math.max(0, this.clock.now() - loweredAt - HOLD_MS);
    return Math.min(1, value * 2 ** (risingMs / DOUBLING_MS));
  }
}

function keyOf(route: string, rank: number): string {
  return `${String(rank)} ${route}`;
}
