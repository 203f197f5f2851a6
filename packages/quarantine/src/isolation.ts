/**
 * Lets few suspected requests at a time run at an upstream, and the most suspected ones beside no other suspect. If the upstream ends, few come
 * into question, and at last one: two that always ran side by side could not be told apart, and the harmless one would be held back with the other.
 */
import { type CancelSignal } from '@cleatquay/clock';

/** Suspects that run side by side at an upstream: few enough for the next end to tell most of them apart, and enough for dozens to get through. */
const PLACES = 4;

/** How much room a suspect takes: one place, or all of them. */
export type Room = 'a-place' | 'all-places';

interface Waiter {
  readonly places: number;
  readonly enter: () => void;
}

interface Places {
  free: number;
  readonly waiting: Waiter[];
}

/** Places for suspected requests at each start of an upstream, given in the order in which they are asked for. */
export class Isolation {
  private readonly byStart = new Map<string, Places>();

  /** Waits for room; whoever gets it gives it back by disposing of the result. Resolves without room when `signal` aborts. */
  async enter(start: string, room: Room, signal: CancelSignal): Promise<Disposable> {
    const there = this.byStart.get(start) ?? { free: PLACES, waiting: [] };
    this.byStart.set(start, there);
    const places = room === 'all-places' ? PLACES : 1;
    const hasEntered = await entered(there, places, signal);
    return { [Symbol.dispose]: () => this.leave(start, there, hasEntered ? places : 0) };
  }

  private leave(start: string, there: Places, places: number): void {
    there.free += places;
    admitNext(there);
    if (there.free === PLACES && there.waiting.length === 0) this.byStart.delete(start);
  }
}

/** Whether there was room before the signal aborted. */
function entered(there: Places, places: number, signal: CancelSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(false);
  return new Promise(resolve => {
    const giveUp = () => {
      there.waiting.splice(there.waiting.indexOf(waiter), 1);
      admitNext(there);
      resolve(false);
    };
    const waiter = {
      places,
      enter: () => {
        signal.removeEventListener('abort', giveUp);
        resolve(true);
      },
    };
    signal.addEventListener('abort', giveUp, { once: true });
    there.waiting.push(waiter);
    admitNext(there);
  });
}

function admitNext(there: Places): void {
  for (let next = there.waiting[0]; next && next.places <= there.free; next = there.waiting[0]) {
    there.waiting.shift();
    there.free -= next.places;
    next.enter();
  }
}
