/**
 * When something was sent, for a receiver that compares the times of one sender. Most steady clocks stand still while their VM is suspended;
 * whoever goes by them would seem to have sent all that follows earlier than it did, for good. So each leap of the time of day ahead of the steady
 * clock counts as time that went by, also where it was only set forward: what seems to be sent too late is taken for on time, and the next
 * comparison starts from there. A step back counts for nothing.
 */
import { type Clock } from './clock.js';

/** Leaps up to this are corrections of the time of day, ms: what is held up for so long is borne. */
const MIN_DATE_JUMP_MS = 50;

/** The time of one sender. Only differences mean anything. */
export class SendTime {
  private jumpedMs = 0;
  private dateOffset: number;

  constructor(private readonly clock: Clock) {
    this.dateOffset = this.currentDateOffset();
  }

  /** Never less than before, ms. */
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
