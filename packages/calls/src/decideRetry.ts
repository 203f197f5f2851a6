/** Decides whether a call whose last attempt failed is sent again, and what that costs. */
import { type ResultName, resultByCode } from '@cleatquay/errors';
import { type ChainOutlook, type Refusal } from '@cleatquay/protocol';
import { type Retry } from './tokenBucketRetryBudget.js';

/**
 * What follows a failed attempt: nothing; a reroute to another daemon, which costs nothing since no upstream has received the call; or a retry,
 * which costs a token of the call and, if an upstream has received the call, a retry of the budget; or a resend to an upstream that
 * refused it without running it, which costs a retry of the budget only.
 */
export type RetryDecision = 'none' | 'reroute' | 'retry' | 'resend';

/** The state of a call after a failed attempt. */
export interface RetryContext {
  readonly refusal: Refusal;
  readonly idempotent: boolean;
  /** Retry tokens that the call has left. */
  readonly tokens: number;
  /** Reroutes that it has left. */
  readonly reroutes: number;
  /** Whether it may be sent again to an upstream that refused it; by default it may not. */
  readonly mayResend?: boolean;
  /** Outlook for the calls that such a call makes itself; absent if it makes none or nothing is known. */
  readonly chain?: ChainOutlook | undefined;
}

/** Below this completion, a call that makes calls itself is not repeated: the retries that these need are worth more further down. */
const MIN_COMPLETION_TO_REPEAT = 0.7;

/** Decides what follows a failed attempt. `takeRetry` is called last, and takes a retry from the budget if it has one. */
export function decideRetry(
  { refusal, idempotent, tokens, reroutes, mayResend = false, chain }: RetryContext,
  takeRetry: (previousOutcome: Retry['previousOutcome']) => boolean,
): RetryDecision {
  if (!refusal.elsewhereHelps) return 'none';
  if (!hasReachedUpstream(refusal)) {
    if (reroutes > 0) return 'reroute';
    return tokens > 0 ? 'retry' : 'none';
  }
  const previousOutcome = refusal.outcome === 'not-run' ? 'not-run' : 'may-have-run';
  const repeatsFailingCalls = chain !== undefined && chain.completion < MIN_COMPLETION_TO_REPEAT;
  if (previousOutcome === 'may-have-run' && repeatsFailingCalls) return 'none';
  const mayRetry = tokens > 0 && (previousOutcome === 'not-run' || idempotent);
  const isResend = !mayRetry && mayResend && previousOutcome === 'not-run';
  if (!(mayRetry || isResend) || !takeRetry(previousOutcome)) return 'none';
  return isResend ? 'resend' : 'retry';
}

/** Whether the attempt reached an upstream, which then ran it, refused it or never responded to it. */
export function hasReachedUpstream({ code, outcome }: Refusal): boolean {
  return outcome !== 'not-run' || REACHED_WITHOUT_RUN.includes(resultByCode(code));
}

/** Whether the attempt reached an upstream, from which no response came. */
export function isLostAttempt(refusal: Refusal): boolean {
  return hasReachedUpstream(refusal) && resultByCode(refusal.code) !== 'shedByUpstream';
}

const REACHED_WITHOUT_RUN: readonly ResultName[] = ['shedByUpstream', 'upstreamUnresponsive'];

/** The outcome over all attempts: a last attempt that did not run does not show that earlier ones did not. */
export function withOverallOutcome(refusal: Refusal, mayHaveRun: boolean): Refusal {
  return mayHaveRun && refusal.outcome === 'not-run' ? { ...refusal, outcome: 'unknown' } : refusal;
}
