/**
 * Counts the daemons of a failure domain that may be using their shares of what is divided among them. A share that is worked out from a view in
 * which some are missing is too large, so that all are counted that are up, may only be partitioned, or are listed but were never met.
 */
import { type Clock } from '@cleatquay/clock';
import { type Membership } from './membership.js';
import { type DiscoveryRow } from './peerDiscovery.js';

/** A daemon that was declared dead, or that is listed and was never met, still counts for this long, ms: it may only be partitioned. */
const PARTITION_GRACE_MS = 60_000;
/** A daemon that left still counts for this long, ms: more than the leases of shares that it granted before, and the time in which all hear of it. */
const LEAVING_GRACE_MS = 2000;
/** How long a count is used, ms: it is asked for with each request. */
const CACHE_MS = 20;

/** Dependencies of the count. */
export interface DomainMembersOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly membership: Pick<Membership, 'me' | 'table' | 'goneForMs'>;
  readonly failureDomain: string;
  /** Whether all daemons that may use shares are known, so that there is a count. */
  readonly isComplete: () => boolean;
}

/** The daemons of one failure domain, including this one. */
export class DomainMembers {
  private rows: readonly DiscoveryRow[] = [];
  /** Clock time at which each daemon of the rows was first listed, by address, ms. */
  private readonly listedAt = new Map<string, number>();
  private cached: { readonly count: number; readonly at: number } | undefined;

  constructor(private readonly options: DomainMembersOptions) {}

  /** Takes the rows of the discovery table, as last read. */
  setRows(rows: readonly DiscoveryRow[]): void {
    const now = this.options.clock.now();
    const listed = new Set(rows.map(({ address }) => address));
    for (const address of this.listedAt.keys()) if (!listed.has(address)) this.listedAt.delete(address);
    for (const address of listed) if (!this.listedAt.has(address)) this.listedAt.set(address, now);
    this.rows = rows;
    this.cached = undefined;
  }

  /** Their number; undefined while this daemon's view is incomplete. */
  get count(): number | undefined {
    const { clock, isComplete } = this.options;
    if (!isComplete()) return undefined;
    const now = clock.now();
    if (!this.cached || now - this.cached.at >= CACHE_MS)
      this.cached = { count: this.countMembers() + this.countUnmet(now), at: now };
    return this.cached.count;
  }

  private countMembers(): number {
    const { membership, failureDomain } = this.options;
    const graceMs = { DEAD: PARTITION_GRACE_MS, LEFT: LEAVING_GRACE_MS };
    let count = 0;
    for (const member of membership.table.all()) {
      if (member.failureDomain !== failureDomain) continue;
      const { state } = member;
      if (state === 'ALIVE' || state === 'SUSPECT' || member === membership.me) count++;
      else if (membership.goneForMs(member.address) < graceMs[state]) count++;
    }
    return count;
  }

  /** Listed daemons that are not in the table of members. Where the row doesn't name the failure domain, it may be this one. */
  private countUnmet(now: number): number {
    const { membership, failureDomain } = this.options;
    return this.rows.filter(
      ({ address, failureDomain: domain }) =>
        (domain === failureDomain || domain === '') &&
        membership.table.get(address) === undefined &&
        now - (this.listedAt.get(address) ?? now) < PARTITION_GRACE_MS,
    ).length;
  }
}
