/**
 * Cancellation signals. Used instead of AbortController on the call path: each call creates five signals, and those of
 * Node.js take a large part of its processor time.
 */

/** The part of AbortSignal that cancellable work uses. */
export interface CancelSignal {
  readonly aborted: boolean;
  /** Reason of the cancellation. */
  readonly reason: unknown;
  addEventListener(type: 'abort', listener: () => void, options?: { once?: boolean }): void;
  removeEventListener(type: 'abort', listener: () => void): void;
}

/** A signal with its controller. Listeners are called once, in the order of registration. */
export class Cancellation implements CancelSignal {
  aborted = false;
  reason: unknown;
  private listeners: (() => void)[] = [];

  /** The signal to hand to the cancellable work. */
  get signal(): CancelSignal {
    return this;
  }

  /** Cancels the work; only the first call has an effect. */
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

  /** Returns a signal that aborts when the first of `signals` does. */
  static any(signals: readonly CancelSignal[], reason: Error): CancelSignal {
    const cancellation = new Cancellation();
    for (const signal of signals) {
      if (signal.aborted) cancellation.abort(reason);
      else signal.addEventListener('abort', () => cancellation.abort(reason), { once: true });
    }
    return cancellation;
  }
}

/** A signal that never aborts and keeps no listeners. */
export const NEVER_CANCELLED: CancelSignal = {
  aborted: false,
  reason: undefined,
  addEventListener: () => undefined,
  removeEventListener: () => undefined,
};
