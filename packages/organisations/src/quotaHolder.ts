/** Gives out the quotas of those shards for which the daemons of the failure domain take this daemon for the one that does. */
import {
  type QuotaAnswer,
  type QuotaAsk,
  type QuotaGrant,
  type QuotaQuestion,
  type ShareLoan,
} from '@cleatquay/protocol';
import { type Quota } from './organisation.js';
import { type QuotaDivision, QuotaPots } from './quotaPots.js';
import { LOAN_MS } from './shareLoans.js';
import { SHARDS, shardOf } from './shards.js';

/** With less of a failure domain's shares, as in the first moments in which others take it for the one that gives out, it can't say that a quota is used up. */
const TELLING_SHARE = 1 / 4;

/** What the holder needs of its daemon. */
export interface QuotaHolderOptions {
  /** Goes on while the VM is suspended, and never back, ms. */
  readonly now: () => number;
  /** Start of this process. */
  readonly epoch: () => number;
  readonly division: QuotaDivision;
  /** By organisation; undefined for one that is not known, 'none' for no limit. */
  readonly quotaOf: (organisation: string) => Quota | 'none' | undefined;
  /** Whether a daemon, by its gossip address, is of this failure domain, so that its share is one of those given out here. */
  readonly isNear: (daemon: string) => boolean;
}

/** The pots of all shards, of which most are in use at other daemons. */
export class QuotaHolder {
  private readonly shards: readonly QuotaPots[];

  constructor(private readonly options: QuotaHolderOptions) {
    this.shards = Array.from({ length: SHARDS }, () => new QuotaPots(options.division));
  }

  /** Has pots for these organisations. */
  keep(quotas: ReadonlyMap<string, Quota>): void {
    for (const [shard, pots] of this.shards.entries()) {
      const own = [...quotas].filter(([name]) => shardOf(name) === shard);
      pots.keep(new Map(own), this.options.now());
    }
  }

  /** Another daemon, by its gossip address, asks. */
  answer({ number, shard, asks, loan, isTransfer }: QuotaQuestion, from: string): QuotaAnswer {
    const { now, epoch, isNear } = this.options;
    if (loan?.epoch === epoch() && isNear(from)) this.lent(shard, from, loan.share, loan.until);
    const grants = asks.map(ask => this.grantOf(ask, isTransfer));
    const offer: ShareLoan = { epoch: epoch(), until: now() + LOAN_MS, share: 0 };
    return { number, shard, grants, offer };
  }

  /** A share of a shard may be given out here for a while. */
  lent(shard: number, lender: string, share: number, until: number): void {
    this.shards[shard]?.loans.take(lender, share, until, this.options.now());
  }

  /** This daemon itself asks. */
  ask(organisation: string, requests: number): QuotaGrant {
    return this.grantOf({ organisation, requests }, false);
  }

  /** What the organisation's pot is short of, so that other failure domains should be asked; 0 if nothing. */
  lack(organisation: string, quota: Quota): number {
    return this.potsOf(organisation).lack(organisation, quota, this.options.now());
  }

  /** Another failure domain handed something over. */
  receive(organisation: string, handed: number): void {
    const quota = this.options.quotaOf(organisation);
    if (typeof quota !== 'object') return;
    this.potsOf(organisation).receive(organisation, quota, handed, this.options.now());
  }

  /** Part of a shard's quotas that is given out here, 0 to 1. */
  shareOf(shard: number): number {
    return this.shards[shard]?.loans.current(this.options.now()) ?? 0;
  }

  private grantOf({ organisation, requests }: QuotaAsk, isTransfer: boolean): QuotaGrant {
    const quota = this.options.quotaOf(organisation);
    const nothing = { organisation, requests: 0, delayMs: 0, retryAfterMs: 0, unknown: quota === undefined };
    if (quota === undefined || !(requests > 0)) return nothing;
    if (quota === 'none') return { ...nothing, requests };
    if (isTransfer) {
      const handed = this.potsOf(organisation).handOver(organisation, quota, requests, this.options.now());
      return { ...nothing, requests: handed };
    }
    const grant = this.potsOf(organisation).grant(organisation, quota, requests, this.options.now());
    if (grant.requests < requests && this.shareOf(shardOf(organisation)) < TELLING_SHARE)
      return { ...nothing, requests: grant.requests, unknown: true };
    const { delayMs, retryAfterMs } = grant;
    return {
      ...nothing,
      requests: grant.requests,
      delayMs: Math.ceil(delayMs),
      retryAfterMs: Math.ceil(retryAfterMs),
    };
  }

  private potsOf(organisation: string): QuotaPots {
    const pots = this.shards[shardOf(organisation)];
    if (!pots) throw new Error('No such shard.');
    return pots;
  }
}
