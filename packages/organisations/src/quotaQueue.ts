/** Requests of one daemon that wait for room in their organisations' quotas, in the order in which they came. */

/** How a request may go on. */
export type Taken =
  | { readonly kind: 'taken'; readonly at: number }
  /** The quota has no room. */
  | { readonly kind: 'over'; readonly retryAfterMs: number }
  /** Nobody could be asked in time. */
  | { readonly kind: 'unknown' };

interface Waiter {
  readonly settle: (taken: Taken) => void;
  readonly since: number;
  /** When it was last asked for. */
  askedAt: number;
}

const NEVER = Number.NEGATIVE_INFINITY;
/** Organisations in one question: a datagram has room for so many names of the usual length. */
const MOST_ASKS = 25;

/** The queues of all organisations of one shard. */
export class QuotaQueue {
  private readonly waiting = new Map<string, Waiter[]>();

  /** Whether nobody waits. */
  get isEmpty(): boolean {
    return this.waiting.size === 0;
  }

  /** A request waits. */
  enter(organisation: string, now: number): Promise<Taken> {
    return new Promise(settle => {
      const queue = this.waiting.get(organisation) ?? [];
      queue.push({ settle, since: now, askedAt: NEVER });
      this.waiting.set(organisation, queue);
    });
  }

  /**
   * How many have to be asked for, by organisation: those that were not since `before`. They count as asked for now. Of few organisations at a time: questions
   * are short.
   */
  toAsk(before: number, now: number): Map<string, number> {
    const asks = new Map<string, number>();
    for (const [organisation, queue] of this.waiting) {
      if (asks.size === MOST_ASKS) break;
      const unasked = queue.filter(({ askedAt }) => askedAt <= before);
      for (const waiter of unasked) waiter.askedAt = now;
      if (unasked.length > 0) asks.set(organisation, unasked.length);
    }
    return asks;
  }

  /** Takes the first `count` of an organisation's out; gives what lets each go on. */
  leave(organisation: string, count: number): ((taken: Taken) => void)[] {
    const queue = this.waiting.get(organisation) ?? [];
    const first = queue.splice(0, count);
    if (queue.length === 0) this.waiting.delete(organisation);
    return first.map(({ settle }) => settle);
  }

  /** Those that have waited since before then go on without an answer. */
  giveUp(before: number): void {
    for (const [organisation, queue] of [...this.waiting]) {
      const late = queue.filter(({ since }) => since < before).length;
      for (const settle of this.leave(organisation, late)) settle({ kind: 'unknown' });
    }
  }
}
