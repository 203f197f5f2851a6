/**
 * Limits how many suspects run at an upstream at a time; strong suspects run without any other suspect. A crash
 * then has few suspects, and finally one: of two that always ran together, the harmless one would be
 * quarantined, too.
 */
import { type CancelSignal } from '@cleatquay/clock';

/**
 * Concurrent suspects per process start of an upstream: few enough that the next crash clears most suspects, and enough
 * for dozens to get through.
 */
const PERMITS_PER_START = 4;

/** Permits that a suspect needs: one, or all of them. */
export type Permits = 'one' | 'all';

interface Waiter {
  readonly permits: number;
  readonly admit: () => void;
}

interface Semaphore {
  available: number;
  readonly queue: Waiter[];
}

/** A semaphore for suspects at each process start of an upstream; permits are granted in FIFO order. */
export class SuspectSemaphore {
  private readonly byStart = new Map<string, Semaphore>();

  /** Waits for permits, which disposing of the result releases. Resolves without permits when `signal` aborts. */
  async acquire(start: string, wanted: Permits, signal: CancelSignal): Promise<Disposable> {
    const semaphore = this.byStart.get(start) ?? { available: PERMITS_PER_START, queue: [] };
    this.byStart.set(start, semaphore);
    const permits = wanted === 'all' ? PERMITS_PER_START : 1;
    const hasPermits = await waitForPermits(semaphore, permits, signal);
    return { [Symbol.dispose]: () => this.release(start, semaphore, hasPermits ? permits : 0) };
  }

  private release(start: string, semaphore: Semaphore, permits: number): void {
    semaphore.available += permits;
    admitNext(semaphore);
    if (semaphore.available === PERMITS_PER_START && semaphore.queue.length === 0) this.byStart.delete(start);
  }
}

/** Resolves to whether the permits were granted before the signal aborted. */
function waitForPermits(semaphore: Semaphore, permits: number, signal: CancelSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(false);
  return new Promise(resolve => {
    const cancel = () => {
      semaphore.queue.splice(semaphore.queue.indexOf(waiter), 1);
      admitNext(semaphore);
      resolve(false);
    };
    const waiter = {
      permits,
      admit: () => {
        signal.removeEventListener('abort', cancel);
        resolve(true);
      },
    };
    signal.addEventListener('abort', cancel, { once: true });
    semaphore.queue.push(waiter);
    admitNext(semaphore);
  });
}

function admitNext(semaphore: Semaphore): void {
  for (
    let next = semaphore.queue[0];
    next && next.permits <= semaphore.available;
    next = semaphore.queue[0]
  ) {
    semaphore.queue.shift();
    semaphore.available -= next.permits;
    next.admit();
  }
}
