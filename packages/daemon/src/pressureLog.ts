/** Logs the beginning and the end of periods in which event-loop lag delays requests. */
import { type Clock } from '@cleatquay/clock';

/** A period ends after this time without lag, ms. This also limits the log to two lines in that time. */
const RECOVERY_MS = 1000;

/** A period of event-loop lag, from its first lagging sample to its last. */
interface LagPeriod {
  readonly since: number;
  lastLagAt: number;
  maxLagMs: number;
}

/** Tracks the lag samples of one process. */
export class PressureLog {
  private period: LagPeriod | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: (message: string, facts: object) => void,
  ) {}

  /** Adds a sample. `isLagging` tells whether `lagMs` exceeds the threshold. */
  addSample(lagMs: number, isLagging: boolean): void {
    if (isLagging) this.recordLag(lagMs);
    else if (this.period && this.clock.now() - this.period.lastLagAt >= RECOVERY_MS)
      this.endPeriod(this.period);
  }

  private recordLag(lagMs: number): void {
    const now = this.clock.now();
    if (!this.period) {
      this.period = { since: now, lastLagAt: now, maxLagMs: lagMs };
      this.log('Requests are delayed by event-loop lag.', { lagMs: Math.round(lagMs) });
    }
    this.period.lastLagAt = now;
    this.period.maxLagMs = Math.max(this.period.maxLagMs, lagMs);
  }

  private endPeriod({ since, lastLagAt, maxLagMs }: LagPeriod): void {
    this.period = undefined;
    this.log('Requests are no longer delayed by event-loop lag.', {
      longestLagMs: Math.round(maxLagMs),
      forMs: Math.round(lastLagAt - since),
    });
  }
}
