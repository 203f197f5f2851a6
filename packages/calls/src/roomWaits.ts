/**
 * Calls that wait for room. The caller of an idempotent call whose attempt was lost can't be told that it has not run, and has time left: such a call
 * waits until an upstream accepts it, in place of ending because all were full at that instant. It holds no slot and no retry meanwhile.
 */
import { type CancelSignal, type Clock, type Random } from '@cleatquay/clock';

/** Bounds the memory of the bodies that are kept meanwhile. */
const MAX_WAITING_CALLS = 100;
/** A call gives up after this time, ms. */
const MAX_WAIT_MS = 1000;
/** Pauses between two looks at the upstreams, ms; each is twice the one before. */
const MIN_PAUSE_MS = 10;
const MAX_PAUSE_MS = 100;

/** The place of one call among those that wait; disposing of it gives it up. */
export interface RoomWait extends Disposable {
  /** Resolves after a pause, with whether the call may go on waiting. */
  pause(signal: CancelSignal): Promise<boolean>;
}

/** The calls of one daemon that wait for room. */
export class RoomWaits {
  /** Calls that have waited, by what came of it. */
  readonly counts = { waiting: 0, sent: 0, gaveUp: 0, turnedAway: 0 };

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** A place for a call that may wait this long, ms; undefined if it may not, or if too many calls wait. */
  enter(maxWaitMs: number): RoomWait | undefined {
    const { clock, random, counts } = this;
    if (maxWaitMs <= 0) return undefined;
    if (counts.waiting >= MAX_WAITING_CALLS) {
      counts.turnedAway++;
      return undefined;
    }
    counts.waiting++;
    const endsAt = clock.now() + Math.min(MAX_WAIT_MS, maxWaitMs);
    let pauseMs = MIN_PAUSE_MS;
    let isOpen = true;
    return {
      pause: async signal => {
        const jittered = pauseMs * (0.5 + random());
        await clock.sleep(Math.max(1, Math.min(jittered, endsAt - clock.now())), signal);
        pauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
        return !signal.aborted && clock.now() < endsAt;
      },
      [Symbol.dispose]: () => {
        if (isOpen) counts.waiting--;
        isOpen = false;
      },
    };
  }
}
