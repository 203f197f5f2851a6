/**
 * Token buckets from which one daemon grants requests for its failure domain. Each organisation's bucket
 * refills at the quota's rate, scaled by the share that this daemon has leased, up to the quota's burst.
 *
 * One bucket per failure domain lets an organisation whose callers use only a few of many daemons have the
 * domain's entire part of the quota.
 */
import { type Quota } from './organisation.js';
import { ShareLeases } from './shareLeases.js';

/** Requests may be granted ahead and delayed up to this long: a short wait is better than a refusal, and far below any timeout. */
const MAX_DELAY_MS = 150;
/** Retry times of refused requests are spaced by the refill time of a token, up to this: callers wouldn't wait longer. */
const MAX_RETRY_AFTER_MS = 5000;
/** Fraction of a bucket that is not transferred to another failure domain. */
const KEPT_RATIO = 1 / 2;
const MS_PER_SECOND = 1000;

/** Outcome of a request for tokens. */
export interface Grant {
  readonly requests: number;
  /** How long the granted requests have to wait. */
  readonly delayMs: number;
  /** When a refused request may be retried, ms from now; 0 if all were granted. */
  readonly retryAfterMs: number;
}

interface TokenBucket {
  /** Negative if requests were granted ahead. */
  tokens: number;
  /** Capacity if the entire quota of the failure domain is leased to this daemon. */
  capacity: number;
  /** `fullShareMs` of the leases at the last refill. */
  refilledTo: number;
  /** Clock time at which the last refused request may be retried, ms. */
  lastRetryAt: number;
}

/** How quotas are divided among failure domains. */
export interface QuotaDivision {
  /** Number of failure domains; each grants an equal part. */
  readonly failureDomains: number;
  /** Requests of an organisation that may exceed its quota in one window. */
  readonly slack: number;
}

/** The token buckets of one shard of the organisations. */
export class QuotaBuckets {
  /** Shares of the failure domain's quotas that are leased to this daemon. */
  readonly leases = new ShareLeases(current => this.clampTokens(current));
  private readonly buckets = new Map<string, TokenBucket>();

  constructor(private readonly division: QuotaDivision) {}

  /** Keeps exactly one bucket per organisation with a quota; a new bucket starts to refill now. */
  setQuotas(quotas: ReadonlyMap<string, Quota>, now: number): void {
    for (const name of this.buckets.keys()) if (!quotas.has(name)) this.buckets.delete(name);
    for (const [name, quota] of quotas) this.refill(name, quota, now);
  }

  /** Grants as many of the requests as the bucket allows. */
  grant(organisation: string, quota: Quota, requested: number, now: number): Grant {
    const bucket = this.refill(organisation, quota, now);
    const perMs = this.tokensPerMs(quota, now);
    const ahead = perMs * MAX_DELAY_MS;
    const requests = Math.max(0, Math.min(requested, Math.floor(bucket.tokens + ahead)));
    bucket.tokens -= requests;
    const delayMs = requests > 0 && bucket.tokens < 0 ? -bucket.tokens / perMs : 0;
    return {
      requests,
      delayMs,
      retryAfterMs: requests < requested ? this.nextRetryAfterMs(bucket, perMs, now) : 0,
    };
  }

  /** Removes tokens (possibly a fraction) for another failure domain; half of the capacity stays. */
  transferOut(organisation: string, quota: Quota, requested: number, now: number): number {
    const bucket = this.refill(organisation, quota, now);
    const spare = Math.max(0, bucket.tokens - this.leasedCapacity(quota, now) * KEPT_RATIO);
    const transferred = Math.min(requested, spare);
    bucket.tokens -= transferred;
    return transferred;
  }

  /** Adds tokens from another failure domain; those beyond the capacity are lost. */
  transferIn(organisation: string, quota: Quota, transferred: number, now: number): void {
    if (!(transferred > 0)) return;
    const bucket = this.refill(organisation, quota, now);
    bucket.tokens = Math.min(this.leasedCapacity(quota, now), bucket.tokens + transferred);
  }

  /** Tokens missing to the full capacity if the bucket is below the part it keeps, else 0. */
  deficit(organisation: string, quota: Quota, now: number): number {
    const capacity = this.leasedCapacity(quota, now);
    const { tokens } = this.refill(organisation, quota, now);
    return tokens < capacity * KEPT_RATIO ? capacity - tokens : 0;
  }

  /** After a share was leased elsewhere, its tokens are counted in the buckets there. */
  private clampTokens(current: number): void {
    for (const bucket of this.buckets.values())
      bucket.tokens = Math.min(bucket.tokens, bucket.capacity * current);
  }

  /**
   * A new bucket starts empty: after a restart or a change of coordinator, tokens that others have granted must
   * not be granted again.
   */
  private refill(organisation: string, quota: Quota, now: number): TokenBucket {
    const fullShareMs = this.leases.fullShareMs(now);
    let bucket = this.buckets.get(organisation);
    if (!bucket)
      this.buckets.set(
        organisation,
        (bucket = { tokens: 0, capacity: 0, refilledTo: fullShareMs, lastRetryAt: 0 }),
      );
    const added = ((fullShareMs - bucket.refilledTo) / MS_PER_SECOND) * this.domainRate(quota);
    bucket.refilledTo = fullShareMs;
    bucket.capacity = this.domainCapacity(quota);
    bucket.tokens = Math.min(this.leasedCapacity(quota, now), bucket.tokens + added);
    return bucket;
  }

  private domainRate({ perSecond }: Quota): number {
    return perSecond / this.division.failureDomains;
  }

  private tokensPerMs(quota: Quota, now: number): number {
    return (this.domainRate(quota) * this.leases.currentShare(now)) / MS_PER_SECOND;
  }

  private leasedCapacity(quota: Quota, now: number): number {
    return this.domainCapacity(quota) * this.leases.currentShare(now);
  }

  private domainCapacity({ burst }: Quota): number {
    const { failureDomains, slack } = this.division;
    return (burst + slack * BUCKET_SLACK_RATIO) / failureDomains;
  }

  private nextRetryAfterMs(bucket: TokenBucket, perMs: number, now: number): number {
    const intervalMs = perMs > 0 ? 1 / perMs : MAX_RETRY_AFTER_MS;
    bucket.lastRetryAt = Math.min(
      now + MAX_RETRY_AFTER_MS,
      Math.max(now + MAX_DELAY_MS, bucket.lastRetryAt + intervalMs),
    );
    return bucket.lastRetryAt - now;
  }
}

/** Fraction of the slack by which buckets are enlarged; the rest covers tokens in transit between daemons. */
const BUCKET_SLACK_RATIO = 1 / 2;
