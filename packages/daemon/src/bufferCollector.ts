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

  /** To be called each time that some more of an upload has been received: the buffers of slow ones are no longer young. */
  readonly checkUploads = (): void => {
    if (this.hasGarbage) this.collectAll();
  };

  /** To be called each time that some more of streams has been passed on: most of their buffers are young, and cost little to collect. */
  readonly checkStreams = (): void => {
    if (!this.hasGarbage) return;
    void globalThis.gc?.({ type: 'minor' });
    // What has been promoted still counts as growth, so that it can't add up.
    if (this.hasGarbage) this.collectAll();
  };

  private collectAll(): void {
    // Without arguments, Node.js 20 makes a full collection.
    void globalThis.gc?.();
    this.bytesAfterCollection = getHeapStatistics().external_memory;
  }

  private get hasGarbage(): boolean {
    if (!globalThis.gc) return false;
    const { external_memory: bytes } = getHeapStatistics();
    this.bytesAfterCollection = Math.min(this.bytesAfterCollection, bytes);
    return bytes - this.bytesAfterCollection >= MAX_GARBAGE_BYTES;
  }
}
