/** The clock interface and the one that reads the machine's time. */

import { uptime } from 'node:os';
import { type CancelSignal } from './cancellation.js';

/** A timer that can be called off by disposing of it. */
export type Timer = Disposable;

/** Source of time for everything that waits or measures. */
export interface Clock {
  /** Monotonic time in milliseconds, which goes on while the VM is suspended; only differences mean anything. */
  now(): number;
  /** The same for which the VM was awake: how long this process, and whatever else runs on the VM, has had to do something. */
  awake(): number;
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
const COARSE_TIMER_MIN_MS = 100;
const COARSE_TIMER_STEP_MS = 10;

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
  uptime: () => uptime() * MS_PER_SECOND,
};

const MS_PER_SECOND = 1000;

/** A leap of the time of day that is looked into, ms. */
const MIN_DATE_JUMP_MS = 50;
/** Two measures of one sleep agree so far, ms: an uptime is told in hundredths of a second. */
const SUSPENSION_TOLERANCE_MS = 100;
/** An uptime is trusted once it has kept pace with the steady clock for so long, ms: in a container it may be that of another machine. */
const UPTIME_CHECK_MS = 1000;

/**
 * The machine's clock. Timers don't keep the process alive; a task that sleeps does.
 *
 * `now` goes on while the VM is suspended, which the steady clocks of most systems don't: what is left of a caller's time, and how long
 * something has been silent, are told to others and meant by their clocks. A sleep shows as a leap of the time of day that the uptime confirms;
 * one that it doesn't is somebody setting the time. Timers that fell due in the sleep go off at once.
 */
export class SystemClock implements Clock {
  private readonly pendingTimers = new Set<SystemTimer>();
  private readonly startedAt: number;
  private suspendedMs = 0;
  /** Time of day, and uptime, less the steady clock, as they were last looked at. */
  private dateOffset: number;
  private uptimeOffset: number;
  private uptimeState: 'new' | 'trusted' | 'strange' = 'new';

  constructor(private readonly sources = MACHINE_TIME) {
    this.startedAt = sources.steady();
    this.dateOffset = sources.date() - this.startedAt;
    this.uptimeOffset = sources.uptime() - this.startedAt;
  }

  now(): number {
    const { sources } = this;
    const steady = sources.steady();
    const dateOffset = sources.date() - steady;
    if (Math.abs(dateOffset - this.dateOffset) > MIN_DATE_JUMP_MS) this.checkDateJump(dateOffset, steady);
    else if (this.uptimeState === 'new' && steady - this.startedAt > UPTIME_CHECK_MS)
      this.checkUptime(steady);
    return steady + this.suspendedMs;
  }

  awake(): number {
    return this.sources.steady();
  }

  date(): Date {
    return new Date(this.sources.date());
  }

  after(ms: number, action: () => void): Timer {
    const timer = new SystemTimer(this.pendingTimers, this.now() + ms, coarseDelay(ms), action);
    timer.timeout.unref();
    return timer;
  }

  sleep(ms: number, signal?: CancelSignal): Promise<void> {
    return sleepOn(
      (left, action) => new SystemTimer(this.pendingTimers, this.now() + left, left, action),
      ms,
      signal,
    );
  }

  private checkDateJump(dateOffset: number, steady: number): void {
    const leap = dateOffset - this.dateOffset;
    const sleep = this.uptimeDrift(steady);
    this.dateOffset = dateOffset;
    if (
      this.uptimeState === 'strange' ||
      leap < MIN_DATE_JUMP_MS ||
      Math.abs(sleep - leap) > SUSPENSION_TOLERANCE_MS
    )
      return;
    this.suspendedMs += sleep;
    setImmediate(() => this.fireOverdueTimers());
  }

  /** How far the uptime has gone ahead of the steady clock since it was last looked at, ms. */
  private uptimeDrift(steady: number): number {
    const offset = this.sources.uptime() - steady;
    const gained = offset - this.uptimeOffset;
    this.uptimeOffset = offset;
    return gained;
  }

  private checkUptime(steady: number): void {
    this.uptimeState = Math.abs(this.uptimeDrift(steady)) < MIN_DATE_JUMP_MS ? 'trusted' : 'strange';
  }

  /** Timers that fell due while the VM was suspended. */
  private fireOverdueTimers(): void {
    const now = this.now();
    const due = [...this.pendingTimers].filter(({ dueAt: at }) => at <= now);
    for (const timer of due.sort((a, b) => a.dueAt - b.dueAt)) timer.fire();
  }
}

/** A timer among those that have not gone off; one object and no closures, since each call has some. */
class SystemTimer implements Timer {
  readonly timeout: NodeJS.Timeout;

  constructor(
    private readonly pendingTimers: Set<SystemTimer>,
    /** Time by which it should go off, by the clock's `now`, ms. */
    readonly dueAt: number,
    ms: number,
    private readonly action: () => void,
  ) {
    this.timeout = setTimeout(fireTimer, ms, this);
    pendingTimers.add(this);
  }

  fire(): void {
    this[Symbol.dispose]();
    this.action();
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timeout);
    this.pendingTimers.delete(this);
  }
}

function fireTimer(timer: SystemTimer): void {
  timer.fire();
}

function coarseDelay(ms: number): number {
  return ms < COARSE_TIMER_MIN_MS ? ms : Math.ceil(ms / COARSE_TIMER_STEP_MS) * COARSE_TIMER_STEP_MS;
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
