/** Holds the retries of one daemon to a fraction of its recent successes. */

const PER_SUCCESS = 0.1;
const RESERVE = 20;

/** Decides which tries may be repeated where the first may have reached an upstream. */
export interface RetryBudget {
  /** A request for the service came. */
  readonly requested: (service: string) => void;
  /** A call was answered. */
  readonly succeeded: () => void;
  /** Takes one retry at the service if there is one, after a try that ran nowhere or one that may have run. */
  readonly take: (service: string, before: 'not-run' | 'may-have-run') => boolean;
}

/** A bucket that successes fill and retries empty. */
export class RetryAllowance implements RetryBudget {
  private tokens = RESERVE;

  requested(): void {
    // Only successes count.
  }

  succeeded(): void {
    this.tokens = Math.min(RESERVE, this.tokens + PER_SUCCESS);
  }

  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
