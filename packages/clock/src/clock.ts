/** The clock interface and the one that reads the machine's time. */

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
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The machine's clock. Timers don't keep the process alive; a task that sleeps does. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  date(): Date {
    return new Date();
  }

  after(ms: number, action: () => void): Timer {
    const timeout = setTimeout(action, ms);
    timeout.unref();
    return { [Symbol.dispose]: () => clearTimeout(timeout) };
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return sleepOn(holdingTimer, ms, signal);
  }
}

function holdingTimer(ms: number, action: () => void): Timer {
  const timeout = setTimeout(action, ms);
  return { [Symbol.dispose]: () => clearTimeout(timeout) };
}

/** The `sleep` of any clock, by its timers. */
export function sleepOn(after: Clock['after'], ms: number, signal?: AbortSignal): Promise<void> {
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
