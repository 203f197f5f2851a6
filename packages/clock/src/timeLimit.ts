/** A timeout of one call, for libraries that take an AbortSignal. */
import { type Clock, type Timer } from './clock.js';

/**
 * Aborts after the timeout, or when `parent` does. The timer keeps a reference to the signal: Node.js loses the timer of `AbortSignal.timeout`
 * to garbage collection if only `AbortSignal.any` refers to the signal, and the call then waits forever.
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

  /** The signal to hand to the library. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the timeout has expired. */
  get isOver(): boolean {
    return this.expired;
  }

  /** To be called when the call has completed. */
  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
    this.parent.removeEventListener('abort', this.abortWithParent);
  }

  private expire(): void {
    this.expired = true;
    this.controller.abort(new DOMException('No response was received within the timeout.', 'TimeoutError'));
  }

  private readonly abortWithParent = (): void => this.controller.abort(this.parent.reason);
}
