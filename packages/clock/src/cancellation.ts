/**
 * Tells work that it is given up. Stands in for AbortController on the path of calls: a call has five of them, and
 * node's cost a good part of its processor time.
 */

/** What work watches. An AbortSignal is one, too. */
export interface CancelSignal {
  readonly aborted: boolean;
  /** Why it was given up. */
  readonly reason: unknown;
  addEventListener(type: 'abort', listener: () => void, options?: { once?: boolean }): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** Both ends of a signal. Listeners are told once, in the order in which they came. */
export class Cancellation implements CancelSignal {
  aborted = false;
  reason: unknown;
  private listeners: (() => void)[] = [];

  /** The end to hand out. */
  get signal(): CancelSignal {
    return this;
  }

  /** Gives the work up; only the first call counts. */
  abort(reason: Error): void {
    if (this.aborted) return;
    this.aborted = true;
    this.reason = reason;
    const listeners = this.listeners;
    this.listeners = [];
    for (const listener of listeners) listener();
  }

  addEventListener(_type: 'abort', listener: () => void): void {
    if (!this.aborted) this.listeners.push(listener);
  }

  removeEventListener(_type: 'abort', listener: () => void): void {
    const index = this.listeners.indexOf(listener);
    if (index >= 0) this.listeners.splice(index, 1);
  }

  /** Aborts when the first of `signals` does. */
  static any(signals: readonly CancelSignal[], reason: Error): CancelSignal {
    const cancellation = new Cancellation();
    for (const signal of signals) {
      if (signal.aborted) cancellation.abort(reason);
      else signal.addEventListener('abort', () => cancellation.abort(reason), { once: true });
    }
    return cancellation;
  }
}

/** Never aborts; keeps no listeners. */
export const NEVER_CANCELLED: CancelSignal = {
  aborted: false,
  reason: undefined,
  addEventListener: () => undefined,
  removeEventListener: () => undefined,
};
