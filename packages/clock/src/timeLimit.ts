/** A time limit of one call, for libraries that take an AbortSignal. */
import { type Clock, type Timer } from './clock.js';

/**
 * Aborts when the time is up, or when `given` does. The timer holds the signal: node drops the timer of `AbortSignal.timeout` when garbage is
 * collected and only `AbortSignal.any` knows the signal, and the call then waits for ever.
 */
export class TimeLimit implements Disposable {
  private readonly controller = new AbortController();
  private readonly timer: Timer;
  private expired = false;

  constructor(
    clock: Clock,
    ms: number,
    private readonly parent: AbortSignal,
  ) {
    this.timer = clock.after(ms, () => this.expire());
    if (parent.aborted) this.abortWithParent();
    else parent.addEventListener('abort', this.abortWithParent, { once: true });
  }

  /** The end to hand out. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the time is up. */
  get isOver(): boolean {
    return this.expired;
  }

  /** To be called when the call has ended. */
  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
    this.parent.removeEventListener('abort', this.abortWithParent);
  }

  private expire(): void {
    this.expired = true;
    this.controller.abort(new DOMException('No answer came in time.', 'TimeoutError'));
  }

  private readonly abortWithParent = (): void => this.controller.abort(this.parent.reason);
}
