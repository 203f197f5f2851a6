/** Lends this daemon's share of its failure domain's quotas to one daemon at a time. */
import { type ShareLoan } from '@cleatquay/protocol';
import { LOAN_MS } from './shareLoans.js';

/** A lender's clock may go faster than the borrower's by so much. */
const CLOCK_MARGIN = 1.04;

interface Offer {
  readonly epoch: number;
  readonly until: number;
  /** By this daemon's clock, ms: the borrower's end comes no later after it than a loan is long. */
  readonly heardAt: number;
}

/** The share of one shard. */
export class ShareLender {
  private readonly offers = new Map<string, Offer>();
  private lentTo: string | undefined;
  private lentUntil: number;

  /** What a former process of this daemon lent is in use for a while yet. */
  constructor(startedAt: number) {
    this.lentUntil = startedAt + LOAN_MS * CLOCK_MARGIN;
  }

  /** A daemon offers to give out with this one's share. */
  offered(borrower: string, { epoch, until }: ShareLoan, now: number): void {
    this.offers.set(borrower, { epoch, until, heardAt: now });
  }

  /** The loan to go with a question to the daemon; undefined while the share is with another, or nothing was offered. */
  loanTo(borrower: string, share: number, now: number): ShareLoan | undefined {
    const offer = this.offers.get(borrower);
    if (!offer || now - offer.heardAt >= LOAN_MS || !this.lend(borrower, offer.heardAt, now))
      return undefined;
    return { epoch: offer.epoch, until: offer.until, share };
  }

  /** Whether the share is with the daemon until a loan's length after `from`; it is not if another has it still. */
  lend(borrower: string, from: number, now: number): boolean {
    if (this.lentTo !== borrower && now < this.lentUntil) return false;
    if (this.lentTo !== borrower)
      this.offers.forEach((_, other) => other !== borrower && this.offers.delete(other));
    this.lentTo = borrower;
    this.lentUntil = Math.max(this.lentUntil, from + LOAN_MS * CLOCK_MARGIN);
    return true;
  }
}
