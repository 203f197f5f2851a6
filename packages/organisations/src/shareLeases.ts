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
  /** Time up to which the lease is included in `accruedMs`. */
  accruedTo: number;
}

/** Shares that are leased to this daemon, by lessor. */
export class ShareLeases {
  private readonly leases = new Map<string, Lease>();
  private accruedMs = 0;

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
    this.leases.set(lessor, { share: Math.min(1, share), until: boundedUntil, accruedTo: now });
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

  private accrue(now: number): void {
    let hasExpired = false;
    for (const [lessor, lease] of this.leases) {
      const end = Math.min(now, lease.until);
      if (end > lease.accruedTo) this.accruedMs += lease.share * (end - lease.accruedTo);
      lease.accruedTo = Math.max(lease.accruedTo, end);
      if (lease.until > now) continue;
      this.leases.delete(lessor);
      hasExpired = true;
    }
    if (hasExpired) this.onDecrease(this.totalShare());
  }
}
