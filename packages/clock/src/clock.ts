/** The clock interface and the one that reads the machine's time. */

import { uptime } from 'node:os';
import { type CancelSignal } from './cancellation.js';

/** A timer that can be called off by disposing of it. */
export type Timer = Disposable;

/** Source of time for everything that waits or measures. */
export interface Clock {
  /** Monotonic time in milliseconds; only differences mean anything. */
  now(): number;
  /** Calendar time. */
  date(): Date;
  /** Runs `action` once, `ms` milliseconds from now. */
  after(ms: number, action: () => void): Timer;
  /** Resolves `ms` milliseconds from now, or at once when `signal` aborts. */
  sleep(ms: number, signal?: CancelSignal): Promise<void>;
}

/**
 * Timers from so many ms on are rounded up to whole steps. Node keeps one list for each duration, so that deadlines,
 * which are all different, would each need a list of their own; few are ever waited for to the end.
 */
const COARSE_FROM_MS = 100;
const COARSE_MS = 10;

/** What a machine tells of time, each in milliseconds. */
export interface TimeSources {
  /** Never goes back. On most systems it stands still while the VM is suspended. */
  readonly steady: () => number;
  /** Time of day, Unix time: may be set forward or back. */
  readonly date: () => number;
  /** Since the VM was started, with the time for which it was suspended. */
  readonly uptime: () => number;
}

/** Those of this machine. */
export const MACHINE_TIME: TimeSources = {
  steady: () => performance.now(),
  date: () => Date.now(),
  uptime: () => uptime() * MS_A_SECOND,
};

const MS_A_SECOND = 1000;

/** The machine's clock. Timers don't keep the process alive; a task that sleeps does. */
export class SystemClock implements Clock {
  constructor(private readonly sources = MACHINE_TIME) {}

  now(): number {
    return this.sources.steady();
  }

  date(): Date {
    return new Date(this.sources.date());
  }

  after(ms: number, action: () => void): Timer {
    const timeout = setTimeout(action, ms < COARSE_FROM_MS ? ms : Math.ceil(ms / COARSE_MS) * COARSE_MS);
    timeout.unref();
    return { [Symbol.dispose]: () => clearTimeout(timeout) };
  }

  sleep(ms: number, signal?: CancelSignal): Promise<void> {
    return sleepOn(holdingTimer, ms, signal);
  }
}

function holdingTimer(ms: number, action: () => void): Timer {
  const timeout = setTimeout(action, ms);
  return { [Symbol.dispose]: () => clearTimeout(timeout) };
}

/** The `sleep` of any clock, by its timers. */
export function sleepOn(after: Clock['after'], ms: number, signal?: CancelSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise(resolve => {
    const finish = () => {
      timer[Symbol.dispose]();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = after(ms, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}
