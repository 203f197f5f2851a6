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

/** Passes on each report that differs from the last one. */
export class ShareChanges {
  private last = '';

  constructor(private readonly onChange: (report: ShareReport) => void) {}

  /** Takes the present view. */
  observe(report: ShareReport): void {
    const text = JSON.stringify(report);
    if (text === this.last) return;
    this.last = text;
    this.onChange(report);
  }
}
