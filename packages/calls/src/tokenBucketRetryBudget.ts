/** Limits the retries of one daemon to a fraction of its recent successes. */

const TOKENS_PER_SUCCESS = 0.1;
const MAX_TOKENS = 20;

/** A retry that is requested from the budget. */
export interface Retry {
  /** Whether the previous attempt certainly did not run, or may have run. */
  readonly previousOutcome: 'not-run' | 'may-have-run';
  /** Calls made earlier for the same request, whose work is lost if this call fails. */
  readonly callsBefore: number;
  /** Place of the call among those that need retries, lowest first; the integer part is its class. Absent if it is unknown. */
  readonly order?: number;
}

/** A retry that was taken from the budget. */
export interface TakenRetry {
  readonly retry: Retry;
  /** Clock time, ms. */
  readonly at: number;
}

/** Decides which calls may be retried after an attempt that reached an upstream. */
export interface RetryBudget {
  /** Whether calls may be sent again, within the budget, to upstreams that refused them; by default they may not. */
  readonly allowsResends?: boolean;
  /**
   * Counts a request of the class `rank` for the service; `isRepeat` if an earlier attempt of it, or of a request that it is a call for,
   * reached an upstream.
   */
  readonly countRequest: (service: string, isRepeat: boolean, rank?: number) => void;
  /** Counts a successful call. */
  readonly countSuccess: () => void;
  /** Takes one retry at the service; false if the budget has none. */
  readonly take: (service: string, retry: Retry) => boolean;
  /** Gives back a retry that no upstream has received. */
  readonly giveBack: (service: string, taken: TakenRetry) => void;
}

/** A token bucket that successes refill and retries drain. */
export class TokenBucketRetryBudget implements RetryBudget {
  private tokens = MAX_TOKENS;

  countRequest(): void {
    // Only successes refill the bucket.
  }

  countSuccess(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_SUCCESS);
  }

  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens--;
    return true;
  }

  giveBack(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + 1);
  }
}
