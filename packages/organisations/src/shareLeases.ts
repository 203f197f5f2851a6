/**
 * The part of its failure domain's quotas that a daemon may grant. Each daemon has an equal share, and leases
 * it for a short time to the coordinator. A share is leased to one daemon at a time, so that the parts never
 * add up to more than the whole, however many daemons regard themselves as coordinator during a partition.
 */

/** Duration of a lease. After a coordinator fails, the next one gets the leases this much later. */
export const LEASE_MS = 800;

interface Lease {
  readonly share: number;
  /** Expiry by the local clock, ms. */
  readonly until: number;
}

/** Shares that are leased to this daemon, by lessor. */
export class ShareLeases {
  private readonly leases = new Map<string, Lease>();
  private accruedMs = 0;
  /** Time up to which the leases are included in `accruedMs`. */
  private accruedTo = Number.NEGATIVE_INFINITY;
  /** No lease ends before that. */
  private nextEnd = Number.POSITIVE_INFINITY;

  /** `onDecrease` receives the new total whenever it has decreased. */
  constructor(private readonly onDecrease: (current: number) => void) {}

  /**
   * Adds a lease or replaces the lessor's previous one. Its end is limited to one lease duration from now, the
   * most that can have been offered.
   */
  add(lessor: string, share: number, until: number, now: number): void {
    this.accrue(now);
    if (!(share > 0) || until <= now) return;
    const previousShare = this.leases.get(lessor)?.share ?? 0;
    const boundedUntil = Math.min(until, now + LEASE_MS);
    this.leases.set(lessor, { share: Math.min(1, share), until: boundedUntil });
    this.nextEnd = Math.min(this.nextEnd, boundedUntil);
    if (share < previousShare) this.onDecrease(this.totalShare());
  }

  /** Shares that are leased to this daemon now, by lessor. */
  held(now: number): ReadonlyMap<string, number> {
    this.accrue(now);
    return new Map([...this.leases].map(([lessor, { share }]) => [lessor, share]));
  }

  /** Share of the quotas that may be granted now, 0 to 1. */
  currentShare(now: number): number {
    this.accrue(now);
    return this.totalShare();
  }

  /** Integral of the total share over time since the start, ms. */
  fullShareMs(now: number): number {
    this.accrue(now);
    return this.accruedMs;
  }

  private totalShare(): number {
    let total = 0;
    for (const { share } of this.leases.values()) total += share;
    return Math.min(1, total);
  }

  /** Lessors whose views differ may lease more than the whole in sum, which then counts as the whole. */
  private accrue(now: number): void {
    const hasExpired = this.nextEnd <= now;
    while (this.nextEnd <= now) this.expire(this.nextEnd);
    this.accrueTo(now);
    if (hasExpired) this.onDecrease(this.totalShare());
  }

  /** Ends the leases that expire at `time`, the earliest. */
  private expire(time: number): void {
    this.accrueTo(time);
    this.nextEnd = Number.POSITIVE_INFINITY;
    for (const [lessor, { until }] of this.leases) {
      if (until <= time) this.leases.delete(lessor);
      else this.nextEnd = Math.min(this.nextEnd, until);
    }
  }

  private accrueTo(time: number): void {
    if (this.leases.size > 0 && time > this.accruedTo)
      this.accruedMs += this.totalShare() * (time - this.accruedTo);
    this.accruedTo = Math.max(this.accruedTo, time);
  }
}
