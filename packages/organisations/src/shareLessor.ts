/** Leases this daemon's share of its failure domain's quotas to one coordinator at a time. */
import { type ShareLoan } from '@cleatquay/protocol';
import { LEASE_MS } from './shareLeases.js';

/** Tolerated ratio of the lessor's clock rate to the coordinator's. */
const CLOCK_MARGIN = 1.04;

interface Offer {
  readonly holder: number;
  readonly until: number;
  /** Local receive time, ms: the offered lease ends at most one lease duration after it. */
  readonly receivedAt: number;
}

/** The share of one shard. */
export class ShareLessor {
  private readonly offers = new Map<string, Offer>();
  private leasedTo: string | undefined;
  private leasedUntil: number;

  /** A lease that a previous process of this daemon granted may still be in use. */
  constructor(startedAt: number) {
    this.leasedUntil = startedAt + LEASE_MS * CLOCK_MARGIN;
  }

  /** Records that a daemon offers to be coordinator for this daemon's share. */
  recordOffer(coordinator: string, { holder, until }: ShareLoan, now: number): void {
    this.offers.set(coordinator, { holder, until, receivedAt: now });
  }

  /** The lease to send with a request; undefined while another daemon holds it, or without a recent offer. */
  leaseTo(coordinator: string, share: number, now: number): ShareLoan | undefined {
    const offer = this.offers.get(coordinator);
    if (!offer || now - offer.receivedAt >= LEASE_MS || !this.lease(coordinator, offer.receivedAt, now))
      return undefined;
    return { holder: offer.holder, until: offer.until, share };
  }

  /** Extends the coordinator's lease to one lease duration after `from`; returns false while another daemon's lease is valid. */
  lease(coordinator: string, from: number, now: number): boolean {
    if (this.leasedTo !== coordinator && now < this.leasedUntil) return false;
    if (this.leasedTo !== coordinator)
      this.offers.forEach((_, other) => other !== coordinator && this.offers.delete(other));
    this.leasedTo = coordinator;
    this.leasedUntil = Math.max(this.leasedUntil, from + LEASE_MS * CLOCK_MARGIN);
    return true;
  }
}
