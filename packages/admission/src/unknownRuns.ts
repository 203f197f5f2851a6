/**
 * Estimates how many requests an upstream has that this daemon does not know of, by what the upstream reports: those that an earlier process
 * of the daemon sent, and those that were cancelled and continue.
 */
import { type Clock } from '@cleatquay/clock';

/** Without a newer report the number halves in this time, so that a wrong report or the last one of many cannot block an upstream. */
const HALF_LIFE_MS = 1000;
/**
 * An own request that ended within this time may have been in progress when the upstream wrote its report: responses on different connections
 * overtake each other.
 */
const PEAK_WINDOW_MS = 50;

/** The requests of one upstream. */
export class UnknownRuns {
  private reported = 0;
  private reportedAt = 0;
  /** Largest number of own requests in progress within the current window, and within the one before. */
  private peak = 0;
  private earlierPeak = 0;
  private windowStart = 0;

  constructor(private readonly clock: Clock) {}

  /** Records how many own requests are in progress; called whenever the number has risen, and before it falls. */
  recordOwn(inFlight: number): void {
    const age = this.clock.now() - this.windowStart;
    if (age >= PEAK_WINDOW_MS) {
      this.earlierPeak = age >= 2 * PEAK_WINDOW_MS ? inFlight : this.peak;
      this.peak = inFlight;
      this.windowStart = this.clock.now();
    }
    this.peak = Math.max(this.peak, inFlight);
  }

  /** Records a report of running and waiting requests, while `inFlight` own requests are in progress. At most `max` count. */
  recordReport(requests: number, inFlight: number, max: number): void {
    this.recordOwn(inFlight);
    this.reported = Math.min(max, Math.max(0, requests - Math.max(this.peak, this.earlierPeak)));
    this.reportedAt = this.clock.now();
  }

  /** Estimated number now; not necessarily whole. */
  get count(): number {
    if (this.reported === 0) return 0;
    return this.reported * 0.5 ** ((this.clock.now() - this.reportedAt) / HALF_LIFE_MS);
  }
}
