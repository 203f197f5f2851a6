/** What this daemon's calls tell of the platform: since when it is lost, or back. All tasks that call it report here. */
import { type Clock } from '@cleatquay/clock';

/** One daemon's contact with the platform. */
export class PlatformContact {
  private lostAt: number | undefined;
  private backAt: number | undefined;
  private failures = 0;

  /** `onBack` is called at the first success after a failure. */
  constructor(
    private readonly clock: Pick<Clock, 'now'>,
    private readonly onBack: () => void,
  ) {}

  /** Records the end of a call. */
  record(hasSucceeded: boolean): void {
    const now = this.clock.now();
    if (!hasSucceeded) {
      this.lostAt ??= now;
      this.failures++;
    } else if (this.lostAt !== undefined) {
      this.lostAt = undefined;
      this.backAt = now;
      this.onBack();
    }
  }

  /**
   * For log lines: how long ago the first call after an outage succeeded, or the first failed, ms, and the failed calls so far. Empty for a daemon
   * that has not lost the platform.
   */
  get facts(): { readonly backForMs?: number; readonly lostForMs?: number; readonly failedCalls?: number } {
    const now = this.clock.now();
    const { lostAt, backAt, failures: failedCalls } = this;
    if (lostAt !== undefined) return { lostForMs: Math.round(now - lostAt), failedCalls };
    return backAt === undefined ? {} : { backForMs: Math.round(now - backAt), failedCalls };
  }
}
