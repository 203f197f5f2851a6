/** Memory of a process for responses that stream, divided among all streams. */

/** Beside what each stream needs to make progress; leaves a daemon, which needs some 80 MB otherwise, room below 128 MB. */
const STREAM_MEMORY_BYTES = 8 * 1_048_576;

/** The memory of one stream. */
export class StreamReservation implements Disposable {
  private bytes = 0;
  private isReleased = false;

  constructor(private readonly memory: StreamMemory) {}

  /** Adds memory; returns false if there is none, or if the stream has ended. */
  grow(bytes: number): boolean {
    if (this.isReleased || this.memory.isFull) return false;
    this.add(bytes);
    return true;
  }

  /** Counts bytes that are buffered already. */
  add(bytes: number): void {
    if (this.isReleased) return;
    this.bytes += bytes;
    this.memory.usedBytes += bytes;
  }

  /** Returns memory that was added. */
  shrink(bytes: number): void {
    this.add(-bytes);
  }

  /** Returns all memory. */
  [Symbol.dispose](): void {
    this.add(-this.bytes);
    this.isReleased = true;
  }
}

/** While it is full, streams buffer no more than the part that is passed on next. */
export class StreamMemory {
  /** For reservations. */
  usedBytes = 0;

  constructor(private readonly maxBytes = STREAM_MEMORY_BYTES) {}

  get isFull(): boolean {
    return this.usedBytes >= this.maxBytes;
  }

  reserve(): StreamReservation {
    return new StreamReservation(this);
  }
}
