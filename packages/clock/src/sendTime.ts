/**
 * When something was sent, for a receiver that compares the times of one sender. Most steady clocks stand still while their VM is suspended;
 * whoever goes by them would seem to have sent all that follows earlier than it did, for good. So each leap of the time of day ahead of the steady
 * clock counts as time that went by, also where it was only set forward: what seems to be sent too late is taken for on time, and the next
 * comparison starts from there. A step back counts for nothing.
 */
import { type Clock } from './clock.js';

/** Leaps up to this are corrections of the time of day, ms: what is held up for so long is borne. */
const LEAP_MS = 50;

/** The time of one sender. Only differences mean anything. */
export class SendTime {
  private leapt = 0;
  private offset: number;

  constructor(private readonly clock: Clock) {
    this.offset = this.offsetNow();
  }

  /** Never less than before, ms. */
  now(): number {
    const offset = this.offsetNow();
    const leap = offset - this.offset;
    this.offset = offset;
    if (leap > LEAP_MS) this.leapt += leap;
    return this.clock.now() + this.leapt;
  }

  private offsetNow(): number {
    return this.clock.date().getTime() - this.clock.now();
  }
}
