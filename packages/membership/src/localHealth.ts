/** Local health score of Lifeguard: a daemon whose own probes fail allows others more time before it suspects them. */

const MAX_SCORE = 8;

/** A score from 0 (healthy) to `MAX_SCORE`, by which timeouts are extended. */
export class LocalHealth {
  private current = 0;

  get score(): number {
    return this.current;
  }

  /** Factor for timeouts. */
  get multiplier(): number {
    return this.current + 1;
  }

  /** A probe was acknowledged. */
  recordSuccess(): void {
    this.current = Math.max(0, this.current - 1);
  }

  /** A probe failed, or other members suspected this daemon. */
  recordFailure(): void {
    this.current = Math.min(MAX_SCORE, this.current + 1);
  }
}
