/** How far this daemon should doubt itself before it doubts others (after Lifeguard). */

const MAX_SCORE = 8;

/** A score from 0, healthy, upwards; time-outs are stretched by it. */
export class LocalHealth {
  private current = 0;

  get score(): number {
    return this.current;
  }

  /** Factor for time-outs. */
  get multiplier(): number {
    return this.current + 1;
  }

  /** A probe was answered. */
  recordSuccess(): void {
    this.current = Math.max(0, this.current - 1);
  }

  /** A probe failed, or this daemon was itself suspected. */
  recordFailure(): void {
    this.current = Math.min(MAX_SCORE, this.current + 1);
  }
}
