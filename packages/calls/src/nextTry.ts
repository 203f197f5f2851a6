/** Whether a call whose last try failed is sent once more, and what that costs. */
import { resultByCode } from '@cleatquay/errors';
import { type Refusal } from '@cleatquay/protocol';
import { type Repeat } from './retryAllowance.js';

/**
 * What follows a failed try: nothing; a move to another daemon, which costs nothing since no upstream has seen the call;
 * or a repeat, which costs a token of the call and a retry of the fleet's budget.
 */
export type NextTry = 'none' | 'move' | 'repeat';

/** A call after a failed try. */
export interface FailedTry {
  readonly refusal: Refusal;
  readonly idempotent: boolean;
  /** Tokens that are left to the call. */
  readonly tokens: number;
  /** Moves that are left to it. */
  readonly reroutes: number;
}

/** Decides on the next try; `takeRepeat` is asked last, and takes a retry of the budget if there is one. */
export function nextTry(
  { refusal, idempotent, tokens, reroutes: moves }: FailedTry,
  takeRepeat: (before: Repeat['before']) => boolean,
): NextTry {
  if (!refusal.elsewhereHelps) return 'none';
  if (!hasReachedUpstream(refusal)) {
    if (moves > 0) return 'move';
    return tokens > 0 ? 'repeat' : 'none';
  }
  const before = refusal.outcome === 'not-run' ? 'not-run' : 'may-have-run';
  const mayRepeat = tokens > 0 && (before === 'not-run' || idempotent);
  return mayRepeat && takeRepeat(before) ? 'repeat' : 'none';
}

/** Whether the try got as far as an upstream, which then ran it or refused it. */
export function hasReachedUpstream({ code, outcome }: Refusal): boolean {
  return outcome !== 'not-run' || resultByCode(code) === 'shedByUpstream';
}
