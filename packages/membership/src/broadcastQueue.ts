/** News waiting to be passed on, each piece a bounded number of times. */

/** How pieces of one kind are told apart, and how long they are. */
export interface ItemType<T> {
  /** A newer piece with the same key takes the place of the older one. */
  readonly keyOf: (news: T) => string;
  /** Encoded size, bytes. */
  readonly sizeOf: (news: T) => number;
}

interface QueuedItem<T> {
  readonly item: T;
  readonly bytes: number;
  sent: number;
}

/** The queue of one kind of news; the least often sent goes first. */
export class BroadcastQueue<T> {
  private readonly entries = new Map<string, QueuedItem<T>>();

  constructor(private readonly kind: ItemType<T>) {}

  get size(): number {
    return this.entries.size;
  }

  /** Queues a piece in place of an older one with the same key. */
  add(news: T): void {
    const { keyOf, sizeOf } = this.kind;
    this.entries.set(keyOf(news), { item: news, bytes: sizeOf(news) + FRAMING_BYTES, sent: 0 });
  }

  /** Takes what fits into `budget` bytes; an entry goes for good after `limit` times. */
  take(budget: number, limit: number): T[] {
    const taken: T[] = [];
    let left = budget;
    for (const [key, entry] of [...this.entries].sort(([, a], [, b]) => a.sent - b.sent)) {
      if (entry.bytes > left) break;
      left -= entry.bytes;
      entry.sent++;
      taken.push(entry.item);
      if (entry.sent >= limit) this.entries.delete(key);
    }
    return taken;
  }
}

/** Tag and length of a piece in its message. */
const FRAMING_BYTES = 4;
