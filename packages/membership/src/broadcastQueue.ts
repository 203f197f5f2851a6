/** Updates that wait to be piggybacked on gossip datagrams, each a bounded number of times. */

/** Identity and size of the items of one queue. */
export interface ItemType<T> {
  /** A newer item replaces an older one with the same key. */
  readonly keyOf: (item: T) => string;
  /** Encoded size, bytes. */
  readonly sizeOf: (item: T) => number;
}

interface QueuedItem<T> {
  readonly item: T;
  readonly bytes: number;
  sent: number;
}

/** A queue of items of one type; those that were sent least often go first. */
export class BroadcastQueue<T> {
  private readonly entries = new Map<string, QueuedItem<T>>();

  constructor(private readonly itemType: ItemType<T>) {}

  get size(): number {
    return this.entries.size;
  }

  /** Queues an item; it replaces one with the same key. */
  add(item: T): void {
    const { keyOf, sizeOf } = this.itemType;
    this.entries.set(keyOf(item), { item, bytes: sizeOf(item) + FRAMING_BYTES, sent: 0 });
  }

  /** Takes items that fit into `budget` bytes; an item is removed after `limit` transmissions. */
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

/** Tag and length of an item in its message. */
const FRAMING_BYTES = 4;
