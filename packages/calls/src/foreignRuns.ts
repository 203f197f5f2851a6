/** Slots of an upstream that are used by requests for which this daemon does not wait. */

/**
 * How long a request that was given up counts as running, ms. Upstreams cancel the runs of disconnected callers within half a
 * second; a health check ends this earlier.
 */
const GIVEN_UP_MS = 500;

/** What a health check reported, and the bounds of this daemon's part in it. */
export interface OccupancyReport {
  /** Requests at the upstream, running or waiting. */
  readonly total: number;
  /** Requests of this daemon that were at the upstream during the whole check, unless they could not be queued. */
  readonly ownAtLeast: number;
  /** Requests of this daemon that may have been at the upstream at any time during the check. */
  readonly ownAtMost: number;
  /** When the check began, clock time in ms. */
  readonly checkedAt: number;
}

/** Counts runs of an earlier process of this daemon, requests of other processes, and requests that were given up here. */
export class ForeignRuns {
  private reported = 0;
  private givenUpAt: number[] = [];

  /** The slots that they use. */
  count(now: number): number {
    this.expire(now);
    return this.reported + this.givenUpAt.length;
  }

  /** Whether the last report showed such requests. */
  get isReported(): boolean {
    return this.reported > 0;
  }

  private expire(now: number): void {
    while (this.givenUpAt[0] !== undefined && now - this.givenUpAt[0] >= GIVEN_UP_MS) this.givenUpAt.shift();
  }

  /** Records a request that was sent to the upstream and ended here before a response. */
  recordGivenUp(now: number): void {
    this.expire(now);
    this.givenUpAt.push(now);
  }

  /** Applies a report: keeps the present count if the report allows it, and otherwise takes the nearest that it allows. */
  record({ total, ownAtLeast, ownAtMost, checkedAt }: OccupancyReport): void {
    const before = this.givenUpAt.filter(at => at < checkedAt).length;
    this.givenUpAt = this.givenUpAt.slice(before);
    const least = Math.max(0, total - ownAtMost);
    const most = Math.max(0, total - ownAtLeast);
    this.reported = Math.min(most, Math.max(least, this.reported + before));
  }
}
