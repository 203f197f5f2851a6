/**
 * Divides each iteration of the event loop between reading from connections and starting requests.
 *
 * An iteration reads one chunk from each connection. If it also started every request that it reads, an iteration with hundreds of them would
 * take half a second, and only the next one would detect that some callers have disconnected meanwhile: upstreams would do work whose result
 * nobody receives. So an iteration starts requests for a bounded time only. The others are queued here rather than in the buffers of connections,
 * until one more iteration has read what arrived after them: by then, requests of disconnected callers are known and need not run, and the
 * queueing delay of the others can be measured.
 */
import { type Clock } from '@cleatquay/clock';

/**
 * Time per iteration for starting requests: enough for some ten of them on a busy VM, and far below the 0.5 s after which
 * work for a disconnected caller counts as wasted.
 */
const START_SLICE_MS = 20;

interface Waiter {
  readonly since: number;
  /** The iteration that read its request. */
  readonly iteration: number;
  /** Called with the time that the request was queued, ms. */
  readonly resume: (waitedMs: number) => void;
}

/** Decides when a process starts the requests that it has read, in the order in which it read them. */
export class RequestScheduler {
  private readonly waiting: Waiter[] = [];
  private iteration = 0;
  private isIterationOpen = false;
  private sliceEnd = 0;

  constructor(
    private readonly clock: Clock,
    /** Whether the event loop lags: then what it reads now may have been in the socket's buffer for long. */
    private readonly isLagging: () => boolean,
  ) {}

  /**
   * Requests time to start a request that was just read. Returns undefined if it can start at once; otherwise resolves
   * when it can, with the time that it was queued, ms.
   */
  acquire(): Promise<number> | undefined {
    const now = this.clock.now();
    this.openIteration(now);
    const canStart = this.waiting.length === 0 && now < this.sliceEnd && !this.isLagging();
    if (canStart) return undefined;
    return new Promise(resume => this.waiting.push({ since: now, iteration: this.iteration, resume }));
  }

  /** How long the first request of the queue has waited, ms. */
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

  /** Called when an iteration has read everything: starts requests that earlier iterations read, within the time slice. */
  private async closeIteration(): Promise<void> {
    const lastIteration = this.iteration++;
    this.isIterationOpen = false;
    if (this.waiting.length === 0) return;
    this.openIteration(this.clock.now());
    for (let now = this.clock.now(); now < this.sliceEnd; now = this.clock.now()) {
      const [first] = this.waiting;
      if (!first || first.iteration >= lastIteration) return;
      this.waiting.shift();
      first.resume(now - first.since);
      await REQUEST_STARTED;
    }
  }
}

/** Awaited after a request was resumed: its continuation, a microtask that was queued before, has then run. */
const REQUEST_STARTED = Promise.resolve();
