/**
 * Lets few suspected requests at a time run at an upstream, and the most suspected ones beside no other suspect. If the upstream ends, few come
 * into question, and at last one: two that always ran side by side could not be told apart, and the harmless one would be held back with the other.
 */
import { type CancelSignal } from '@cleatquay/clock';

/** Suspects that run side by side at an upstream: few enough for the next end to tell most of them apart, and enough for dozens to get through. */
const PERMITS_PER_INSTANCE = 4;

/** How much room a suspect takes: one place, or all of them. */
export type Permits = 'a-place' | 'all-places';

interface Waiter {
  readonly permits: number;
  readonly admit: () => void;
}

interface Semaphore {
  available: number;
  readonly queue: Waiter[];
}

/** Places for suspected requests at each start of an upstream, given in the order in which they are asked for. */
export class Isolation {
  private readonly byStart = new Map<string, Semaphore>();

  /** Waits for room; whoever gets it gives it back by disposing of the result. Resolves without room when `signal` aborts. */
  async enter(start: string, room: Permits, signal: CancelSignal): Promise<Disposable> {
    const there = this.byStart.get(start) ?? { available: PERMITS_PER_INSTANCE, queue: [] };
    this.byStart.set(start, there);
    const places = room === 'all-places' ? PERMITS_PER_INSTANCE : 1;
    const hasEntered = await acquired(there, places, signal);
    return { [Symbol.dispose]: () => this.release(start, there, hasEntered ? places : 0) };
  }

  private release(start: string, there: Semaphore, places: number): void {
    there.available += places;
    admitNext(there);
    if (there.available === PERMITS_PER_INSTANCE && there.queue.length === 0) this.byStart.delete(start);
  }
}

/** Whether there was room before the signal aborted. */
function acquired(there: Semaphore, places: number, signal: CancelSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(false);
  return new Promise(resolve => {
    const giveUp = () => {
      there.queue.splice(there.queue.indexOf(waiter), 1);
      admitNext(there);
      resolve(false);
    };
    const waiter = {
      permits: places,
      admit: () => {
        signal.removeEventListener('abort', giveUp);
        resolve(true);
      },
    };
    signal.addEventListener('abort', giveUp, { once: true });
    there.queue.push(waiter);
    admitNext(there);
  });
}

function admitNext(there: Semaphore): void {
  for (let next = there.queue[0]; next && next.permits <= there.available; next = there.queue[0]) {
    there.queue.shift();
    there.available -= next.permits;
    next.admit();
  }
}
