/** Parts shared by both sides of a link: batching of items into frames, and flow control of message bodies. */
import { type LinkItem } from '@cleatquay/protocol';
import { UNKNOWN_PROCESS } from './processIdentity.js';

/** Parts of one request that may be sent before the receiver has consumed them: 256 KiB a call with parts of 64 KiB. */
const WINDOW_PARTS = 4;
/**
 * A frame with more body bytes is written before the iteration ends. The receiver keeps a frame for as long as any part in it: with several
 * parts a frame, that of a slow reader would hold the others, too.
 */
const MAX_BATCH_BYTES = 32 * 1024;

/** The default values of an item's fields. */
export const EMPTY_ITEM: LinkItem = {
  call: 0,
  request: undefined,
  answer: undefined,
  cancel: false,
  credit: 0,
  ping: 0,
  pong: 0,
  process: UNKNOWN_PROCESS,
  configurationRequest: undefined,
  configuration: undefined,
};

/** Batches the items of one iteration of the event loop into one frame, which costs a single write. */
export class FrameWriter {
  private pending: LinkItem[] = [];
  private bytes = 0;
  private readonly onIterationEnd = () => this.flush();

  constructor(private readonly write: (items: LinkItem[]) => void) {}

  /** Adds an item to the current frame. */
  send(item: Partial<LinkItem>): void {
    if (this.pending.length === 0) setImmediate(this.onIterationEnd);
    this.pending.push(completeItem(item));
    this.bytes += (item.request ?? item.answer)?.body.length ?? 0;
    if (this.bytes > MAX_BATCH_BYTES) this.flush();
  }

  private flush(): void {
    if (this.pending.length === 0) return;
    const items = this.pending;
    this.pending = [];
    this.bytes = 0;
    this.write(items);
  }
}

/** An item with all fields, always in the same order: objects of one shape cost the encoder less. */
function completeItem(item: Partial<LinkItem>): LinkItem {
  return {
    call: item.call ?? EMPTY_ITEM.call,
    request: item.request,
    answer: item.answer,
    cancel: item.cancel ?? EMPTY_ITEM.cancel,
    credit: item.credit ?? EMPTY_ITEM.credit,
    ping: item.ping ?? EMPTY_ITEM.ping,
    pong: item.pong ?? EMPTY_ITEM.pong,
    process: item.process ?? EMPTY_ITEM.process,
    configurationRequest: item.configurationRequest,
    configuration: item.configuration,
  };
}

/** A queue with one consumer that waits for the next item. */
export class AsyncQueue<T> {
  private readonly items: T[] = [];
  private failure: Error | undefined;
  private wake: (() => void) | undefined;

  push(item: T): void {
    this.items.push(item);
    this.wake?.();
  }

  /** Ends the queue with an error; items that are already queued can still be read. */
  fail(error: Error): void {
    this.failure ??= error;
    this.wake?.();
  }

  /** Waits for the next item; throws the error of a failed queue once it is empty. */
  async next(): Promise<T> {
    for (;;) {
      const item = this.items.shift();
      if (item !== undefined) return item;
      if (this.failure) throw this.failure;
      await new Promise<void>(resolve => (this.wake = resolve));
      this.wake = undefined;
    }
  }
}

/** Credit-based flow control: counts the parts that the receiver is ready to buffer. */
export class SendWindow {
  private closed = false;
  private wake: (() => void) | undefined;

  constructor(private credits = WINDOW_PARTS) {}

  /** Whether the call has ended, so that parts are discarded. */
  get isClosed(): boolean {
    return this.closed;
  }

  /** Waits until a part may be sent or the window is closed. */
  async acquire(): Promise<void> {
    while (this.credits === 0 && !this.closed) {
      await new Promise<void>(resolve => (this.wake = resolve));
      this.wake = undefined;
    }
    this.credits = Math.max(0, this.credits - 1);
  }

  /** Adds credits for parts that the receiver has consumed. */
  release(count: number): void {
    this.credits += count;
    this.wake?.();
  }

  /** Unblocks the sender, whose parts are discarded from now on. */
  close(): void {
    this.closed = true;
    this.wake?.();
  }
}
