/**
 * Which part of its failure domain's quotas a daemon may give out. Each daemon has an equal share, and lends it for a moment to the one that gives out for
 * all of them. A share is used in one place at a time, so that however many daemons take themselves for the one that gives out, and
 * whoever is cut off from whom, the parts never add up to more than the whole.
 */

/** How long a share is lent, ms. When the daemon that gives out is lost, the next one has the shares so much later. */
export const LOAN_MS = 800;

interface Loan {
  readonly share: number;
  /** By the clock of the borrower, ms. */
  readonly until: number;
  /** Up to where it is in the sum. */
  countedTo: number;
}

/** Shares that this daemon may use, by their lenders. */
export class ShareLoans {
  private readonly loans = new Map<string, Loan>();
  private sum = 0;

  /** `onDrop` is told that less may be given out than before, and how much. */
  constructor(private readonly onDrop: (current: number) => void) {}

  /** A loan, or a longer one in place of the lender's last. One that lasts longer than it can have been offered is cut. */
  take(lender: string, share: number, until: number, now: number): void {
    this.count(now);
    if (!(share > 0) || until <= now) return;
    const before = this.loans.get(lender)?.share ?? 0;
    const bounded = Math.min(until, now + LOAN_MS);
    this.loans.set(lender, { share: Math.min(1, share), until: bounded, countedTo: now });
    if (share < before) this.onDrop(this.shares());
  }

  /** Part of the quotas that may be given out now, 0 to 1. */
  current(now: number): number {
    this.count(now);
    return this.shares();
  }

  /** Time for which the whole could have been given out since the start, ms. */
  wholeMs(now: number): number {
    this.count(now);
    return this.sum;
  }

  private shares(): number {
    let shares = 0;
    for (const { share } of this.loans.values()) shares += share;
    return Math.min(1, shares);
  }

  private count(now: number): void {
    let hasDropped = false;
    for (const [lender, loan] of this.loans) {
      const end = Math.min(now, loan.until);
      if (end > loan.countedTo) this.sum += loan.share * (end - loan.countedTo);
      loan.countedTo = Math.max(loan.countedTo, end);
      if (loan.until > now) continue;
      this.loans.delete(lender);
      hasDropped = true;
    }
    if (hasDropped) this.onDrop(this.shares());
  }
}
