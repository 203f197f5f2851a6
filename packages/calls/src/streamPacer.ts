/**
 * Lets the event loop serve other requests while long bodies stream. A sender without end fills the sockets faster than they are read, so that each
 * iteration would do nothing but pass its bytes on, and requests would wait behind them.
 */
import { type Clock } from '@cleatquay/clock';
import { StreamMemory } from './streamMemory.js';

/** Bytes per slice, of all streams together: about a millisecond of work. */
const SLICE_BYTES = 256 * 1024;
/** What a piece of any length costs, in bytes that cost the same: bodies may come in chunks of a byte. */
export const PIECE_OVERHEAD_BYTES = 512;
/** A process that is short of processor time still passes streams on, at 256 KiB in this time, ms. */
const MAX_PAUSE_MS = 20;

interface WaitingPiece {
  readonly cost: number;
  readonly resume: () => void;
}

/**
 * Divides the time of a process between streams and everything else: pieces of streams are taken in slices, each in one iteration of the event
 * loop, followed by a pause that is as long as that iteration.
 */
export class StreamPacer {
  /** The memory that the streams share. */
  readonly memory = new StreamMemory();
  private readonly waiting: WaitingPiece[] = [];
  private isSliceOpen = false;
  private openedAt = 0;
  private budget = 0;

  constructor(
    private readonly clock: Clock,
    /** Called at the end of each slice. */
    private readonly onSlice: () => void = () => undefined,
  ) {}

  /** The pieces of a stream, each as soon as it may be taken, in the order in which all streams ask. */
  async *pace<T>(pieces: AsyncIterable<T>, bytesOf: (piece: T) => number): AsyncGenerator<T> {
    for await (const piece of pieces) {
      await this.acquire(bytesOf(piece) + PIECE_OVERHEAD_BYTES);
      yield piece;
    }
  }

  /** Returns undefined if pieces of this cost may be taken at once; otherwise resolves when they may. */
  acquire(cost: number): Promise<void> | undefined {
    if (!this.isSliceOpen) this.openSlice();
    if (this.waiting.length === 0 && this.budget > 0) {
      this.budget -= cost;
      return undefined;
    }
    return new Promise(resume => this.waiting.push({ cost, resume }));
  }

  private openSlice(): void {
    this.isSliceOpen = true;
    this.openedAt = this.clock.now();
    this.budget = SLICE_BYTES;
    setImmediate(() => this.pause());
  }

  private pause(): void {
    this.onSlice();
    const pauseMs = Math.min(this.clock.now() - this.openedAt, MAX_PAUSE_MS);
    if (pauseMs > 0) this.clock.after(pauseMs, () => this.resume());
    else this.resume();
  }

  private resume(): void {
    this.isSliceOpen = false;
    if (this.waiting.length === 0) return;
    this.openSlice();
    while (this.budget > 0) {
      const piece = this.waiting.shift();
      if (!piece) return;
      this.budget -= piece.cost;
      piece.resume();
    }
  }
}
