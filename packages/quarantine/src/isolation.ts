/**
 * Lets one suspected request at a time run at an upstream. If the upstream ends, that is the one to blame: two that always run side by side
 * could not be told apart, and the innocent one would be held back with the other.
 */
import { type CancelSignal } from '@cleatquay/clock';

/** One place for a suspected request at each start of an upstream. */
export class Isolation {
  private readonly last = new Map<string, Promise<void>>();

  /** Waits for the place; whoever gets it gives it back by disposing of the result. Resolves also when `signal` aborts. */
  async enter(start: string, signal: CancelSignal): Promise<Disposable> {
    let leave: () => void = () => undefined;
    const before = this.last.get(start) ?? Promise.resolve();
    const left = before.then(() => new Promise<void>(resolve => (leave = resolve)));
    this.last.set(start, left);
    void left.then(() => this.forget(start, left));
    await Promise.race([before, aborted(signal)]);
    return { [Symbol.dispose]: () => void before.then(() => leave()) };
  }

  private forget(start: string, left: Promise<void>): void {
    if (this.last.get(start) === left) this.last.delete(start);
  }
}

function aborted(signal: CancelSignal): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve => signal.addEventListener('abort', () => resolve(), { once: true }));
}
