/** Frees the buffers of bodies earlier than V8 does. */
import { getHeapStatistics } from 'node:v8';

/** Growth of the memory of buffers after which they are collected. */
const MAX_GARBAGE_BYTES = 16 * 1_048_576;

/**
 * Frees buffers that are no longer referenced once they have grown by some 16 MB. V8 itself begins to collect only when they have grown by
 * 64 MB, which is too much beside the memory of a daemon. Does nothing without `--expose-gc`, with which daemons are deployed.
 */
export class BufferCollector {
  private bytesAfterCollection = Number.POSITIVE_INFINITY;

  /** To be called each time that some more of a body has been received. */
  readonly check = (): void => {
    if (!globalThis.gc || !this.hasGarbage) return;
    // Takes less than a millisecond, and frees the buffers of most streams; those of slow uploads have been promoted.
    void globalThis.gc({ type: 'minor' });
    // Without arguments, Node.js 20 makes a full collection.
    if (this.hasGarbage) void globalThis.gc();
    this.bytesAfterCollection = getHeapStatistics().external_memory;
  };

  private get hasGarbage(): boolean {
    const { external_memory: bytes } = getHeapStatistics();
    this.bytesAfterCollection = Math.min(this.bytesAfterCollection, bytes);
    return bytes - this.bytesAfterCollection >= MAX_GARBAGE_BYTES;
  }
}
