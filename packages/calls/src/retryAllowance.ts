/** Holds the retries of one daemon to a fraction of its recent successes. */

const PER_SUCCESS = 0.1;
const RESERVE = 20;

/** A bucket that successes fill and retries empty. */
export class RetryAllowance {
  private tokens = RESERVE;

  /** A call was answered. */
  succeeded(): void {
    this.tokens = Math.min(RESERVE, this.tokens + PER_SUCCESS);
  }

  /** Takes one retry if there is one. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
