/** Tells the log when requests begin to wait for the processor, and when they no longer do. */
import { type Clock } from '@cleatquay/clock';

/** Without a lag for so long the wait is over, ms. Bounds the log to two lines in that time. */
const CALM_MS = 1000;

/** A wait for the processor, from its first sample that lagged to its last. */
interface Wait {
  readonly since: number;
  lastAt: number;
  longestMs: number;
}

/** Follows the samples of one process. */
export class PressureLog {
  private wait: Wait | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: (message: string, facts: object) => void,
  ) {}

  /** Takes a sample of the lag, ms, and whether it is more than is borne. */
  sampled(lagMs: number, isLagging: boolean): void {
    if (isLagging) this.lagged(lagMs);
    else if (this.wait && this.clock.now() - this.wait.lastAt >= CALM_MS) this.ended(this.wait);
  }

  private lagged(lagMs: number): void {
    const now = this.clock.now();
    if (!this.wait) {
      this.wait = { since: now, lastAt: now, longestMs: lagMs };
      this.log('Requests wait for the processor.', { lagMs: Math.round(lagMs) });
    }
    this.wait.lastAt = now;
    this.wait.longestMs = Math.max(this.wait.longestMs, lagMs);
  }

  private ended({ since, lastAt, longestMs }: Wait): void {
    this.wait = undefined;
    this.log('Requests no longer wait for the processor.', {
      longestLagMs: Math.round(longestMs),
      forMs: Math.round(lastAt - since),
    });
  }
}
