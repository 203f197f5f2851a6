/**
 * Send timestamps, for a receiver that compares the timestamps of one sender. Most monotonic clocks stop while the VM is suspended, so that
 * after a suspension all timestamps would be too early for good. Therefore each forward jump of the wall clock against the monotonic clock
 * counts as elapsed time, even if the wall clock was only set forward: a message whose timestamp is too late counts as on time, and later
 * comparisons start from there. Backward jumps are ignored.
 */
import { type Clock } from './clock.js';

/** Jumps up to this are wall-clock corrections; delays of this length are tolerated. */
const MIN_DATE_JUMP_MS = 50;

/** Timestamps of one sender; only differences are meaningful. */
export class SendTime {
  private jumpedMs = 0;
  private dateOffset: number;

  constructor(private readonly clock: Clock) {
    this.dateOffset = this.currentDateOffset();
  }

  /** Current timestamp, ms; never decreases. */
  now(): number {
    const offset = this.currentDateOffset();
    const jumpMs = offset - this.dateOffset;
    this.dateOffset = offset;
    if (jumpMs > MIN_DATE_JUMP_MS) this.jumpedMs += jumpMs;
    return this.clock.now() + this.jumpedMs;
  }

  private currentDateOffset(): number {
    return this.clock.date().getTime() - this.clock.now();
  }
}
