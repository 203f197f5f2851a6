/** A clock that moves only when told to, for tests and seeded runs. */
import TinyQueue from 'tinyqueue';
import { type CancelSignal } from './cancellation.js';
import { type Clock, type Timer, sleepOn } from './clock.js';

interface Alarm {
  at: number;
  order: number;
  action: (() => void) | undefined;
}

const byTime = (a: Alarm, b: Alarm) => a.at - b.at || a.order - b.order;

/** Starts at zero; `advance` fires due timers in order of time, then of creation. */
export class ManualClock implements Clock {
  private current = 0;
  private order = 0;
  private readonly alarms = new TinyQueue<Alarm>([], byTime);

  constructor(private readonly start = new Date(0)) {}

  now(): number {
    return this.current;
  }

  awake(): number {
    return this.current;
  }

  date(): Date {
    return new Date(this.start.getTime() + this.current);
  }

  after(ms: number, action: () => void): Timer {
    const alarm: Alarm = { at: this.current + Math.max(0, ms), order: this.order++, action };
    this.alarms.push(alarm);
    return {
      [Symbol.dispose]: () => {
        alarm.action = undefined;
      },
    };
  }

  sleep(ms: number, signal?: CancelSignal): Promise<void> {
    return sleepOn(this.after.bind(this), ms, signal);
  }

  /** Moves time on by `ms` and fires what falls due on the way. */
  advance(ms: number): void {
    const end = this.current + ms;
    for (let next = this.alarms.peek(); next && next.at <= end; next = this.alarms.peek()) {
      this.alarms.pop();
      this.current = next.at;
      next.action?.();
    }
    this.current = end;
  }
}
