/** Holds the retries of one daemon to a fraction of its recent successes. */

const TOKENS_PER_SUCCESS = 0.1;
const MAX_TOKENS = 20;

/** A try that is to be sent once more. */
export interface Repeat {
  /** Whether the try before ran nowhere, or may have run. */
  readonly before: 'not-run' | 'may-have-run';
  /** Calls that were made for its request before it: their work is lost if it fails. */
  readonly callsBefore: number;
}

/** Decides which tries may be repeated where the first may have reached an upstream. */
export interface RetryBudget {
  /** A request for the service came; `isRepeat` if it repeats a call that the service had before. */
  readonly requested: (service: string, isRepeat: boolean) => void;
  /** A call was answered. */
  readonly succeeded: () => void;
  /** Takes one retry at the service if there is one. */
  readonly take: (service: string, repeat: Repeat) => boolean;
}

/** A bucket that successes fill and retries empty. */
export class RetryAllowance implements RetryBudget {
  private tokens = MAX_TOKENS;

  requested(): void {
    // Only successes count.
  }

  succeeded(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_SUCCESS);
  }

  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }
}
