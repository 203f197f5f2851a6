/** Elapsed time that includes suspensions of the VM, even where the monotonic clock misses them. */
import { type Clock } from './clock.js';

/**
 * Advances by the larger advance of the monotonic and the wall clock since the last reading, and never goes back. For time limits that must not be
 * exceeded: setting the wall clock forward ends them early, and nothing ends them late.
 */
export class ElapsedTime {
  private elapsedMs = 0;
  private lastMonotonic: number;
  private lastDate: number;

  constructor(private readonly clock: Clock) {
    this.lastMonotonic = clock.now();
    this.lastDate = clock.date().getTime();
  }

  /** Elapsed time, ms; only differences are meaningful. */
  now(): number {
    const monotonic = this.clock.now();
    const date = this.clock.date().getTime();
    this.elapsedMs += Math.max(0, monotonic - this.lastMonotonic, date - this.lastDate);
    this.lastMonotonic = monotonic;
    this.lastDate = date;
    return this.elapsedMs;
  }
}
