/** A clock that moves only when told to, for tests and seeded runs. */
import { type Clock, type Timer, sleepOn } from './clock.js';

interface Alarm {
  at: number;
  order: number;
  action: () => void;
}

/** Starts at zero; `advance` fires due timers in order of time, then of creation. */
export class ManualClock implements Clock {
  private current = 0;
  private order = 0;
  private alarms: Alarm[] = [];

  constructor(private readonly start = new Date(0)) {}

  now(): number {
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
        this.alarms = this.alarms.filter(a => a !== alarm);
      },
    };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(this, ms, signal);
  }

  /** Moves time on by `ms` and fires what falls due on the way. */
  advance(ms: number): void {
    const end = this.current + ms;
    for (let due = this.nextDue(end); due; due = this.nextDue(end)) {
      const fired = due;
      this.current = fired.at;
      this.alarms = this.alarms.filter(a => a !== fired);
      fired.action();
    }
    this.current = end;
  }

  private nextDue(end: number): Alarm | undefined {
    const due = this.alarms.filter(a => a.at <= end);
    return due.sort((a, b) => a.at - b.at || a.order - b.order)[0];
  }
}
