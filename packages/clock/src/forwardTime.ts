/** Time that goes on while the VM is suspended, whatever its clocks tell of that. */
import { type Clock } from './clock.js';

/**
 * Goes on with whichever clock went on more since it was last looked at, and never back. For what has to be over in time: a time of day that is set forward
 * ends it too soon, and nothing ends it too late.
 */
export class ForwardTime {
  private time = 0;
  private steady: number;
  private date: number;

  constructor(private readonly clock: Clock) {
    this.steady = clock.now();
    this.date = clock.date().getTime();
  }

  /** ms; only differences mean anything. */
  now(): number {
    const steady = this.clock.now();
    const date = this.clock.date().getTime();
    this.time += Math.max(0, steady - this.steady, date - this.date);
    this.steady = steady;
    this.date = date;
    return this.time;
  }
}
