/** A clock that is advanced explicitly, for tests and seeded simulations. */
import TinyQueue from 'tinyqueue';
import { type CancelSignal } from './cancellation.js';
import { type Clock, type Timer, sleepOn } from './clock.js';

interface ScheduledTimer {
  dueAt: number;
  order: number;
  action: (() => void) | undefined;
}

const byTime = (a: ScheduledTimer, b: ScheduledTimer) => a.dueAt - b.dueAt || a.order - b.order;

/** Starts at zero; `advance` fires due timers by due time, then by order of creation. */
export class ManualClock implements Clock {
  private elapsedMs = 0;
  private order = 0;
  private readonly timers = new TinyQueue<ScheduledTimer>([], byTime);

  constructor(private readonly start = new Date(0)) {}

  now(): number {
    return this.elapsedMs;
  }

  awake(): number {
    return this.elapsedMs;
  }

  date(): Date {
    return new Date(this.start.getTime() + this.elapsedMs);
  }

  after(ms: number, action: () => void): Timer {
    const timer: ScheduledTimer = { dueAt: this.elapsedMs + Math.max(0, ms), order: this.order++, action };
    this.timers.push(timer);
    return {
      [Symbol.dispose]: () => {
        timer.action = undefined;
      },
    };
  }

  sleep(ms: number, signal?: CancelSignal): Promise<void> {
    return sleepOn(this.after.bind(this), ms, signal);
  }

  /** Advances time by `ms` and fires the timers that fall due. */
  advance(ms: number): void {
    const end = this.elapsedMs + ms;
    for (let next = this.timers.peek(); next && next.dueAt <= end; next = this.timers.peek()) {
      this.timers.pop();
      this.elapsedMs = next.dueAt;
      next.action?.();
    }
    this.elapsedMs = end;
  }
}
