/**
 * Lets few suspected requests at a time run at an upstream, and the most suspected ones beside no other suspect. If the upstream ends, few are to
 * blame, and at last one: two that always ran side by side could not be told apart, and the innocent one would be held back with the other.
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

interface Ward {
  free: number;
  readonly waiting: Waiter[];
}

/** Places for suspected requests at each start of an upstream, given in the order in which they are asked for. */
export class Isolation {
  private readonly wards = new Map<string, Ward>();

  /** Waits for room; whoever gets it gives it back by disposing of the result. Resolves without room when `signal` aborts. */
  async enter(start: string, room: Room, signal: CancelSignal): Promise<Disposable> {
    const ward = this.wards.get(start) ?? { free: PLACES, waiting: [] };
    this.wards.set(start, ward);
    const places = room === 'all-places' ? PLACES : 1;
    const hasEntered = await entered(ward, places, signal);
    return { [Symbol.dispose]: () => hasEntered && this.leave(start, ward, places) };
  }

  private leave(start: string, ward: Ward, places: number): void {
    ward.free += places;
    admitNext(ward);
    if (ward.free === PLACES && ward.waiting.length === 0) this.wards.delete(start);
  }
}

/** Whether there was room before the signal aborted. */
function entered(ward: Ward, places: number, signal: CancelSignal): Promise<boolean> {
  if (signal.aborted) return Promise.resolve(false);
  return new Promise(resolve => {
    const giveUp = () => {
      ward.waiting.splice(ward.waiting.indexOf(waiter), 1);
      admitNext(ward);
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
    ward.waiting.push(waiter);
    admitNext(ward);
  });
}

function admitNext(ward: Ward): void {
  for (let next = ward.waiting[0]; next && next.places <= ward.free; next = ward.waiting[0]) {
    ward.waiting.shift();
    ward.free -= next.places;
    next.enter();
  }
}
