/** Requests of one daemon that wait for tokens of their organisations' quotas, in order of arrival. */

/** The quota's decision on a request. */
export type QuotaDecision =
  | { readonly kind: 'taken'; readonly at: number }
  /** The quota is exhausted. */
  | { readonly kind: 'over'; readonly retryAfterMs: number }
  /** No coordinator responded in time. */
  | { readonly kind: 'unknown' };

interface Waiter {
  readonly settle: (decision: QuotaDecision) => void;
  readonly enqueuedAt: number;
  /** When tokens for it were last requested. */
  requestedAt: number;
}

const NEVER = Number.NEGATIVE_INFINITY;
/** Organisations per datagram: as many names of the usual length fit in. */
const MAX_ORGANISATIONS = 25;

/** The queues of all organisations of one shard. */
export class QuotaQueue {
  private readonly waiting = new Map<string, Waiter[]>();

  get isEmpty(): boolean {
    return this.waiting.size === 0;
  }

  /** Queues a request until a decision about it is known. */
  enqueue(organisation: string, now: number): Promise<QuotaDecision> {
    return new Promise(settle => {
      const queue = this.waiting.get(organisation) ?? [];
      queue.push({ settle, enqueuedAt: now, requestedAt: NEVER });
      this.waiting.set(organisation, queue);
    });
  }

  /**
   * Counts the waiting requests per organisation whose tokens were not requested after `before`, and marks them
   * as requested now. The number of organisations is limited by the size of a datagram.
   */
  takeUnrequested(before: number, now: number): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [organisation, queue] of this.waiting) {
      if (counts.size === MAX_ORGANISATIONS) break;
      const unrequested = queue.filter(({ requestedAt }) => requestedAt <= before);
      for (const waiter of unrequested) waiter.requestedAt = now;
      if (unrequested.length > 0) counts.set(organisation, unrequested.length);
    }
    return counts;
  }

  /** Removes an organisation's first `count` requests and returns the callbacks that settle them. */
  dequeue(organisation: string, count: number): ((decision: QuotaDecision) => void)[] {
    const queue = this.waiting.get(organisation) ?? [];
    const first = queue.splice(0, count);
    if (queue.length === 0) this.waiting.delete(organisation);
    return first.map(({ settle }) => settle);
  }

  /** Settles requests queued before `before` as `unknown`. */
  expire(before: number): void {
    for (const [organisation, queue] of [...this.waiting]) {
      const expired = queue.filter(({ enqueuedAt }) => enqueuedAt < before).length;
      for (const settle of this.dequeue(organisation, expired)) settle({ kind: 'unknown' });
    }
  }
}
