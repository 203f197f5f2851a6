/** The clock interface, and its implementation by the clocks of the machine. */

import { uptime } from 'node:os';
import { type CancelSignal } from './cancellation.js';
import { NO_METER, type WorkMeter } from './measuredWork.js';
import { SharedTimeout, type SharingTimer } from './sharedTimeout.js';

/** A timer; disposing of it cancels it. */
export type Timer = Disposable;

/** Source of time for all code that waits or measures. */
export interface Clock {
  /** Monotonic time that includes suspensions of the VM, ms; only differences are meaningful. */
  now(): number;
  /** Monotonic time without suspensions of the VM, ms: the time in which processes on the VM could run. */
  awake(): number;
  /** Wall-clock time. */
  date(): Date;
  /** Runs `action` once, `ms` milliseconds from now. */
  after(ms: number, action: () => void): Timer;
  /** Resolves `ms` milliseconds from now, or at once when `signal` aborts. */
  sleep(ms: number, signal?: CancelSignal): Promise<void>;
}

/** Timers of at least this delay share one timeout of Node.js: most are deadlines, which are cancelled before they expire. */
const SHARED_TIMEOUT_MIN_MS = 100;

/** Time sources of a machine, each in milliseconds. */
export interface TimeSources {
  /** Monotonic clock. On most systems it stops while the VM is suspended. */
  readonly monotonic: () => number;
  /** Wall clock, as Unix time; may be set forward or back. */
  readonly date: () => number;
  /** Time since boot, including suspensions. */
  readonly uptime: () => number;
}

/** The time sources of this machine. */
export const MACHINE_TIME: TimeSources = {
  monotonic: () => performance.now(),
  date: () => Date.now(),
  uptime: () => uptime() * MS_PER_SECOND,
};

const MS_PER_SECOND = 1000;

/** A smaller jump of the wall clock isn't checked for a suspension. */
const MIN_DATE_JUMP_MS = 50;
/** Maximum difference between the two measures of one suspension: the uptime has a resolution of 10 ms. */
const SUSPENSION_TOLERANCE_MS = 100;
/** Time after which the uptime is compared with the monotonic clock: in a container it may be that of another machine. */
const UPTIME_CHECK_MS = 1000;

/**
 * The clock of the machine. Timers don't keep the process alive; `sleep` does.
 *
 * `now` includes suspensions of the VM, unlike the monotonic clocks of most systems: the remaining time of a caller, and the time since the
 * last heartbeat, are sent to other VMs and measured against their clocks. A suspension is a jump of the wall clock that the uptime confirms;
 * otherwise the wall clock was set. Timers that fell due during the suspension fire at once.
 */
export class SystemClock implements Clock {
  private readonly pendingTimers = new Set<SystemTimer>();
  private readonly sharedTimeout = new SharedTimeout<DeadlineTimer>(() => performance.now());
  private readonly startedAt: number;
  private suspendedMs = 0;
  /** Wall clock and uptime relative to the monotonic clock, as last read. */
  private dateOffset: number;
  private uptimeOffset: number;
  private uptimeState: 'unchecked' | 'trusted' | 'untrusted' = 'unchecked';

  constructor(
    private readonly sources = MACHINE_TIME,
    /** Measures the actions of timers. */
    private readonly meter = NO_METER,
  ) {
    this.startedAt = sources.monotonic();
    this.dateOffset = sources.date() - this.startedAt;
    this.uptimeOffset = sources.uptime() - this.startedAt;
  }

  now(): number {
    const { sources } = this;
    const monotonic = sources.monotonic();
    const dateOffset = sources.date() - monotonic;
    if (Math.abs(dateOffset - this.dateOffset) > MIN_DATE_JUMP_MS) this.checkDateJump(dateOffset, monotonic);
    else if (this.uptimeState === 'unchecked' && monotonic - this.startedAt > UPTIME_CHECK_MS)
      this.checkUptime(monotonic);
    return monotonic + this.suspendedMs;
  }

  awake(): number {
    return this.sources.monotonic();
  }

  date(): Date {
    return new Date(this.sources.date());
  }

  after(ms: number, action: () => void): Timer {
    if (ms >= SHARED_TIMEOUT_MIN_MS) return this.createSharingTimer(ms, action);
    const timer = this.createTimer(ms, action);
    timer.timeout.unref();
    return timer;
  }

  sleep(ms: number, signal?: CancelSignal): Promise<void> {
    return sleepOn((delayMs, action) => this.createTimer(delayMs, action), ms, signal);
  }

  private createTimer(ms: number, action: () => void): SystemTimer {
    return new SystemTimer(this.pendingTimers, this.now() + ms, ms, action, this.meter);
  }

  private createSharingTimer(ms: number, action: () => void): Timer {
    const { sharedTimeout, meter } = this;
    const timer = new DeadlineTimer(sharedTimeout.pending, this.now() + ms, ms, action, meter);
    sharedTimeout.add(timer);
    return timer;
  }

  private checkDateJump(dateOffset: number, monotonic: number): void {
    const jumpMs = dateOffset - this.dateOffset;
    const suspendedMs = this.uptimeDrift(monotonic);
    this.dateOffset = dateOffset;
    if (
      this.uptimeState === 'untrusted' ||
      jumpMs < MIN_DATE_JUMP_MS ||
      Math.abs(suspendedMs - jumpMs) > SUSPENSION_TOLERANCE_MS
    )
      return;
    this.suspendedMs += suspendedMs;
    setImmediate(() => this.fireOverdueTimers());
  }

  /** How far the uptime has advanced against the monotonic clock since it was last read, ms. */
  private uptimeDrift(monotonic: number): number {
    const offset = this.sources.uptime() - monotonic;
    const driftMs = offset - this.uptimeOffset;
    this.uptimeOffset = offset;
    return driftMs;
  }

  private checkUptime(monotonic: number): void {
    this.uptimeState = Math.abs(this.uptimeDrift(monotonic)) < MIN_DATE_JUMP_MS ? 'trusted' : 'untrusted';
  }

  /** Fires timers that fell due while the VM was suspended. */
  private fireOverdueTimers(): void {
    const now = this.now();
    const due = [...this.pendingTimers, ...this.sharedTimeout.pending].filter(({ dueAt }) => dueAt <= now);
    due.sort((a, b) => a.dueAt - b.dueAt);
    // A timer may cancel another one that is due.
    for (const timer of due) if (timer.isPending) timer.fire();
  }
}

/** A pending timer without a timeout of its own; a single object without closures, since each call creates several. */
class DeadlineTimer implements Timer, SharingTimer {
  readonly timeoutAt: number;

  constructor(
    private readonly pendingTimers: Set<DeadlineTimer>,
    /** Due time by the clock's `now`, ms. */
    readonly dueAt: number,
    ms: number,
    private readonly action: () => void,
    private readonly meter: WorkMeter,
  ) {
    this.timeoutAt = performance.now() + ms;
  }

  get isPending(): boolean {
    return this.pendingTimers.has(this);
  }

  fire(): void {
    this[Symbol.dispose]();
    const isMeasured = this.meter.enter('timers');
    try {
      this.action();
    } finally {
      if (isMeasured) this.meter.leave();
    }
  }

  [Symbol.dispose](): void {
    this.pendingTimers.delete(this);
  }
}

/** A pending timer with a timeout of its own. */
class SystemTimer implements Timer {
  readonly timeout: NodeJS.Timeout;

  constructor(
    private readonly pendingTimers: Set<SystemTimer>,
    /** Due time by the clock's `now`, ms. */
    readonly dueAt: number,
    ms: number,
    private readonly action: () => void,
    private readonly meter: WorkMeter,
  ) {
    this.timeout = setTimeout(fireTimer, ms, this);
    pendingTimers.add(this);
  }

  get isPending(): boolean {
    return this.pendingTimers.has(this);
  }

  fire(): void {
    this[Symbol.dispose]();
    const isMeasured = this.meter.enter('timers');
    try {
      this.action();
    } finally {
      if (isMeasured) this.meter.leave();
    }
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timeout);
    this.pendingTimers.delete(this);
  }
}

function fireTimer(timer: SystemTimer): void {
  timer.fire();
}

/** Implements `sleep` by the timers of a clock. */
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
