/** A time limit of one call, for libraries that take an AbortSignal. */
import { type Clock, type Timer } from './clock.js';

/**
 * Aborts when the time is up, or when `given` does. The timer holds the signal: node drops the timer of `AbortSignal.timeout` when garbage is
 * collected and only `AbortSignal.any` knows the signal, and the call then waits for ever.
 */
export class TimeLimit implements Disposable {
  private readonly controller = new AbortController();
  private readonly timer: Timer;
  private over = false;

  constructor(
    clock: Clock,
    ms: number,
    private readonly given: AbortSignal,
  ) {
    this.timer = clock.after(ms, () => this.end());
    if (given.aborted) this.giveUp();
    else given.addEventListener('abort', this.giveUp, { once: true });
  }

  /** The end to hand out. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the time is up. */
  get isOver(): boolean {
    return this.over;
  }

  /** To be called when the call has ended. */
  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
    this.given.removeEventListener('abort', this.giveUp);
  }

  private end(): void {
    this.over = true;
    this.controller.abort(new DOMException('No answer came in time.', 'TimeoutError'));
  }

  private readonly giveUp = (): void => this.controller.abort(this.given.reason);
}
