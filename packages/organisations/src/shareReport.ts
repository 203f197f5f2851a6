/** Who holds which shares of a failure domain's quotas, as one daemon sees it. */

/** The shares of one shard of the organisations. */
export interface ShardShares {
  /** Gossip address of the daemon to which this one leases its share. */
  readonly coordinator: string;
  /** Shares that are leased to this daemon, 0 to 1, by gossip address of the lessor. */
  readonly held: Readonly<Record<string, number>>;
}

/** The view of one daemon. */
export interface ShareReport {
  /** Number of shares into which the domain's quotas are split, as this daemon believes; undefined while unknown. */
  readonly shareCount: number | undefined;
  readonly shards: readonly ShardShares[];
}

/** Interval of reports, ms: as often as leases are renewed. */
const INTERVAL_MS = 250;
const DECIMALS = 1e4;

/** The shares as reports have them. */
export function roundedShares(shares: ReadonlyMap<string, number>): Record<string, number> {
  return Object.fromEntries(
    [...shares].map(([lessor, share]) => [lessor, Math.round(share * DECIMALS) / DECIMALS]),
  );
}

/** Passes on each report that differs from the last one. */
export class ShareChanges {
  private last = '';
  private observedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly onChange: (report: ShareReport) => void) {}

  /** Takes the view at `now`, unless one was taken just before. */
  observe(view: () => ShareReport, now: number): void {
    if (now - this.observedAt < INTERVAL_MS) return;
    this.observedAt = now;
    const report = view();
    const text = JSON.stringify(report);
    if (text === this.last) return;
    this.last = text;
    this.onChange(report);
  }
}
