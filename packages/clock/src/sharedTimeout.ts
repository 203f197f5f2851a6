/**
 * Lets many timers share one timeout of Node.js, which is set for the earliest of them. Most timers of requests are deadlines that are cancelled
 * long before they are due: setting and clearing a timeout for each takes several times as long as adding it to a set.
 */

/** Longest delay of a timeout of Node.js; a longer one would be 1 ms. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** A timer that shares the timeout. */
export interface SharingTimer {
  /** When the timeout fires it, by the clock that the timeout was created with, ms. */
  readonly timeoutAt: number;
  /** Removes the timer and runs its action. */
  fire(): void;
}

/** The timers of one clock. */
export class SharedTimeout<T extends SharingTimer> {
  /** Pending timers, which don't keep the process alive. One that is deleted does not fire any more. */
  readonly pending = new Set<T>();
  private timeout: NodeJS.Timeout | undefined;
  private setFor = Number.POSITIVE_INFINITY;
  private readonly onTimeout = () => this.fireDue();

  constructor(
    /** The clock by which Node.js measures timeouts, ms. */
    private readonly now: () => number,
  ) {}

  add(timer: T): void {
    this.pending.add(timer);
    if (timer.timeoutAt < this.setFor) this.setTimeout(timer.timeoutAt);
  }

  /** Fires the timers that are due, in the order of their due times. */
  fireDue(): void {
    const now = this.now();
    const due: T[] = [];
    let next = Number.POSITIVE_INFINITY;
    for (const timer of this.pending) {
      if (timer.timeoutAt <= now) due.push(timer);
      else next = Math.min(next, timer.timeoutAt);
    }
    // Before any timer fires: what it adds may be due earlier than those that are pending now.
    this.setTimeout(next);
    due.sort((a, b) => a.timeoutAt - b.timeoutAt);
    try {
      // A timer may cancel another one that is due.
      for (const timer of due) if (this.pending.has(timer)) timer.fire();
    } finally {
      // One that throws must not hold up the others.
      if (due.some(timer => this.pending.has(timer))) this.setTimeout(now);
    }
  }

  private setTimeout(timeoutAt: number): void {
    clearTimeout(this.timeout);
    this.setFor = timeoutAt;
    if (timeoutAt === Number.POSITIVE_INFINITY) return;
    this.timeout = setTimeout(this.onTimeout, Math.min(Math.ceil(timeoutAt - this.now()), MAX_TIMEOUT_MS));
    this.timeout.unref();
  }
}
