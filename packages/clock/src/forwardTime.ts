/** Time that goes on while the VM is suspended, whatever its clocks tell of that. */
import { type Clock } from './clock.js';

/**
 * Goes on with whichever clock went on more since it was last looked at, and never back. For what has to be over in time: a time of day that is set forward
 * ends it too soon, and nothing ends it too late.
 */
export class ForwardTime {
  private elapsedMs = 0;
  private lastMonotonic: number;
  private lastDate: number;

  constructor(private readonly clock: Clock) {
    this.lastMonotonic = clock.now();
    this.lastDate = clock.date().getTime();
  }

  /** ms; only differences mean anything. */
  now(): number {
    const monotonic = this.clock.now();
    const date = this.clock.date().getTime();
    this.elapsedMs += Math.max(0, monotonic - this.lastMonotonic, date - this.lastDate);
    this.lastMonotonic = monotonic;
    this.lastDate = date;
    return this.elapsedMs;
  }
}
