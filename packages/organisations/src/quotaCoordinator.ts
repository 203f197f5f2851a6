/** Grants requests of those shards for which the failure domain's daemons regard this daemon as coordinator. */
import {
  type QuotaAnswer,
  type QuotaAsk,
  type QuotaGrant,
  type QuotaQuestion,
  type ShareLoan,
} from '@cleatquay/protocol';
import { randomInt } from 'node:crypto';
import { type Quota } from './organisation.js';
import { type QuotaDivision, QuotaBuckets } from './quotaBuckets.js';
import { LEASE_MS } from './shareLeases.js';
import { SHARD_COUNT, shardOf } from './shards.js';

/**
 * With a smaller share of its failure domain's quota, as just after it became coordinator, a daemon can't conclude
 * that a quota is exhausted.
 */
const MIN_CONCLUSIVE_SHARE = 1 / 4;

/** The most that the machine's generator gives. */
const MAX_HOLDER = 2 ** 48 - 1;

/** Dependencies of the coordinator. */
export interface QuotaCoordinatorOptions {
  /** Monotonic time that includes suspension of the VM, ms. */
  readonly now: () => number;
  readonly division: QuotaDivision;
  /** Quota by organisation; undefined if the organisation is unknown, 'none' if it has no limit. */
  readonly quotaOf: (organisation: string) => Quota | 'none' | undefined;
  /** Whether a daemon (by gossip address) is in this failure domain, so that its share may be granted here. */
  readonly isInSameDomain: (daemon: string) => boolean;
}

/** The token buckets of all shards; most shards are coordinated by other daemons. */
export class QuotaCoordinator {
  private readonly shards: readonly QuotaBuckets[];
  /** Tells leases for this coordinator from those for an earlier process of its daemon. */
  private readonly holder = randomInt(1, MAX_HOLDER);

  constructor(private readonly options: QuotaCoordinatorOptions) {
    this.shards = Array.from({ length: SHARD_COUNT }, () => new QuotaBuckets(options.division));
  }

  /** Creates buckets for these organisations and removes others. */
  setQuotas(quotas: ReadonlyMap<string, Quota>): void {
    for (const [shard, buckets] of this.shards.entries()) {
      const own = [...quotas].filter(([name]) => shardOf(name) === shard);
      buckets.setQuotas(new Map(own), this.options.now());
    }
  }

  /** Handles a request of another daemon, identified by its gossip address. */
  handleRequest({ number, shard, asks, loan, isTransfer }: QuotaQuestion, from: string): QuotaAnswer {
    const { now, isInSameDomain } = this.options;
    if (loan?.holder === this.holder && isInSameDomain(from))
      this.acceptLease(shard, from, loan.share, loan.until);
    const grants = asks.map(quotaRequest => this.grantFor(quotaRequest, isTransfer));
    const offer: ShareLoan = { holder: this.holder, until: now() + LEASE_MS, share: 0 };
    return { number, shard, grants, offer };
  }

  /** Accepts the lease of a daemon's share of a shard. */
  acceptLease(shard: number, lessor: string, share: number, until: number): void {
    this.shards[shard]?.leases.add(lessor, share, until, this.options.now());
  }

  /** Grants requests of this daemon itself. */
  grant(organisation: string, requests: number): QuotaGrant {
    return this.grantFor({ organisation, requests }, false);
  }

  /** Tokens to request from other failure domains for an organisation; 0 if none are needed. */
  deficit(organisation: string, quota: Quota): number {
    return this.bucketsOf(organisation).deficit(organisation, quota, this.options.now());
  }

  /** Adds tokens from another failure domain. */
  transferIn(organisation: string, tokens: number): void {
    const quota = this.options.quotaOf(organisation);
    if (typeof quota !== 'object') return;
    this.bucketsOf(organisation).transferIn(organisation, quota, tokens, this.options.now());
  }

  /** Share of a shard's quotas that this daemon may grant, 0 to 1. */
  shareOf(shard: number): number {
    return this.shards[shard]?.leases.currentShare(this.options.now()) ?? 0;
  }

  /** Shares of a shard's quotas that are leased to this daemon, by gossip address of the lessor. */
  heldShares(shard: number): ReadonlyMap<string, number> {
    return this.shards[shard]?.leases.held(this.options.now()) ?? new Map();
  }

  private grantFor({ organisation, requests }: QuotaAsk, isTransfer: boolean): QuotaGrant {
    const quota = this.options.quotaOf(organisation);
    const noGrant = { organisation, requests: 0, delayMs: 0, retryAfterMs: 0, unknown: quota === undefined };
    if (quota === undefined || !(requests > 0)) return noGrant;
    if (quota === 'none') return { ...noGrant, requests };
    if (isTransfer) {
      const tokens = this.bucketsOf(organisation).transferOut(
        organisation,
        quota,
        requests,
        this.options.now(),
      );
      return { ...noGrant, requests: tokens };
    }
    const grant = this.bucketsOf(organisation).grant(organisation, quota, requests, this.options.now());
    if (grant.requests < requests && this.shareOf(shardOf(organisation)) < MIN_CONCLUSIVE_SHARE)
      return { ...noGrant, requests: grant.requests, unknown: true };
    const { delayMs, retryAfterMs } = grant;
    return {
      ...noGrant,
      requests: grant.requests,
      delayMs: Math.ceil(delayMs),
      retryAfterMs: Math.ceil(retryAfterMs),
    };
  }

  private bucketsOf(organisation: string): QuotaBuckets {
    const buckets = this.shards[shardOf(organisation)];
    if (!buckets) throw new Error('Shard index is out of range.');
    return buckets;
  }
}
