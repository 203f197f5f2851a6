/** What both ends of a link need: frames that gather items, queues of parts, and windows that hold senders back. */
import { type LinkItem } from '@cleatquay/protocol';

/** Parts of one call that may be under way without having been taken; with 64 KiB parts, 256 KiB a call. */
const WINDOW_PARTS = 4;
/** A frame is written early beyond so many bytes, well below the longest that a peer takes. */
const MAX_GATHERED_BYTES = 512 * 1024;

/** An item that says nothing; what is sent is added to it. */
export const EMPTY_ITEM: LinkItem = {
  call: 0,
  request: undefined,
  answer: undefined,
  cancel: false,
  credit: 0,
  ping: 0,
  pong: 0,
  configurationRequest: undefined,
  configuration: undefined,
};

/** Gathers the items of one turn of the event loop into one frame, which costs one write. */
export class FrameWriter {
  private pending: LinkItem[] = [];
  private bytes = 0;

  constructor(private readonly write: (items: LinkItem[]) => void) {}

  /** Queues an item for the frame of this turn. */
  send(item: Partial<LinkItem>): void {
    if (this.pending.length === 0) setImmediate(() => this.flush());
    this.pending.push({ ...EMPTY_ITEM, ...item });
    this.bytes += (item.request ?? item.answer)?.body.length ?? 0;
    if (this.bytes > MAX_GATHERED_BYTES) this.flush();
  }

  private flush(): void {
    if (this.pending.length === 0) return;
    const items = this.pending;
    this.pending = [];
    this.bytes = 0;
    this.write(items);
  }
}

/** Parts that came and were not taken yet. */
export class AsyncQueue<T> {
  private readonly items: T[] = [];
  private failure: Error | undefined;
  private wake: (() => void) | undefined;

  push(part: T): void {
    this.items.push(part);
    this.wake?.();
  }

  /** Nothing more comes; what came can still be taken. */
  fail(error: Error): void {
    this.failure ??= error;
    this.wake?.();
  }

  /** The next part; throws the failure once all that came before it is taken. */
  async next(): Promise<T> {
    for (;;) {
      const part = this.items.shift();
      if (part !== undefined) return part;
      if (this.failure) throw this.failure;
      await new Promise<void>(resolve => (this.wake = resolve));
      this.wake = undefined;
    }
  }
}

/** How many more parts the other end is ready to hold. */
export class SendWindow {
  private credits = WINDOW_PARTS;
  private closed = false;
  private wake: (() => void) | undefined;

  /** Waits until a part may be sent, or the window was closed. */
  async acquire(): Promise<void> {
    while (this.credits === 0 && !this.closed) {
      await new Promise<void>(resolve => (this.wake = resolve));
      this.wake = undefined;
    }
    this.credits = Math.max(0, this.credits - 1);
  }

  /** The other end took some. */
  release(count: number): void {
    this.credits += count;
    this.wake?.();
  }

  /** Lets senders through: nobody listens any more. */
  close(): void {
    this.closed = true;
    this.wake?.();
  }
}
