/**
 * Shares the turns of the event loop between reading what has come and beginning requests.
 *
 * A turn reads one piece from each connection. If it also began every request that it reads, a turn with hundreds of them would take half a
 * second, and only the next one would read that some callers have left meanwhile: upstreams would then work for nobody. So a turn begins
 * requests for a bounded time. The others wait here, not in the buffers of connections, until one more turn has read what came after them:
 * whoever left by then is not served, and what they waited for is known.
 */
import { type Clock } from '@cleatquay/clock';

/**
 * Time of a turn for beginning requests, ms. Some ten requests on a busy VM, so that a turn stays far
 * below the 0.5 s after which work for a caller that left is in vain.
 */
const START_SLICE_MS = 20;

interface Waiter {
  readonly since: number;
  /** The turn in which its request was read. */
  readonly iteration: number;
  /** Told how long it has waited, ms. */
  readonly resume: (waitedMs: number) => void;
}

/** The turns of one process. */
export class WorkTurns {
  private readonly waiting: Waiter[] = [];
  private iteration = 0;
  private isIterationOpen = false;
  private sliceEnd = 0;

  constructor(
    private readonly clock: Clock,
    /** Whether this process is behind with reading: then what it reads now may have waited for long. */
    private readonly isLagging: () => boolean,
  ) {}

  /** Asks for time to begin a request that was just read: undefined if there is some now; else resolves with the wait, ms, when there is. */
  take(): Promise<number> | undefined {
    const now = this.clock.now();
    this.openIteration(now);
    const mayBegin = this.waiting.length === 0 && now < this.sliceEnd && !this.isLagging();
    if (mayBegin) return undefined;
    return new Promise(resume => this.waiting.push({ since: now, iteration: this.iteration, resume }));
  }

  /** How long the first in line has waited, ms. */
  waitMs(): number {
    const [first] = this.waiting;
    return first ? this.clock.now() - first.since : 0;
  }

  private openIteration(now: number): void {
    if (this.isIterationOpen) return;
    this.isIterationOpen = true;
    this.sliceEnd = now + START_SLICE_MS;
    setImmediate(() => void this.closeIteration());
  }

  /** Called when a turn has read everything: begins those that were read before this turn, as far as the time goes. */
  private async closeIteration(): Promise<void> {
    const lastTurn = this.iteration++;
    this.isIterationOpen = false;
    if (this.waiting.length === 0) return;
    this.openIteration(this.clock.now());
    for (let now = this.clock.now(); now < this.sliceEnd; now = this.clock.now()) {
      const [first] = this.waiting;
      if (!first || first.iteration >= lastTurn) return;
      this.waiting.shift();
      first.resume(now - first.since);
      await REQUEST_STARTED;
    }
  }
}

/** What waits for this goes on after the request that was resumed has begun. */
const REQUEST_STARTED = Promise.resolve();
