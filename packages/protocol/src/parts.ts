/** Short ways to make the messages that recur. */
import { type Outcome, type ResultName, resultCodes } from '@cleatquay/errors';
import { type AnswerPart, type Load, type Refusal } from './generated/inner.js';

/** Stands for any process at an address. */
export const ANY_EPOCH = 0;

/** The load of a daemon that has nothing to say of it. */
export function noLoad(): Load {
  return { inFlight: 0, queued: 0, limit: 0, admissionLevel: Number.MAX_VALUE };
}

/** A refusal with the wording and outcome of its row, unless an outcome is given. */
export function refusalOf(
  result: ResultName,
  message: string,
  more: { retryAfterMs?: number; elsewhereHelps?: boolean; outcome?: Outcome; endedStart?: string } = {},
): Refusal {
  return {
    code: resultCodes[result].code,
    message,
    retryAfterMs: more.retryAfterMs ?? 0,
    elsewhereHelps: more.elsewhereHelps ?? false,
    outcome: more.outcome ?? resultCodes[result].outcome,
    endedStart: more.endedStart ?? '',
  };
}

/** The part that ends an exchange with a refusal. */
export function endOf(refusal: Refusal, unusedRetryTokens: number, load: Load = noLoad()): AnswerPart {
  return {
    head: undefined,
    body: Buffer.alloc(0),
    end: undefined,
    refusal,
    load,
    unusedRetryTokens,
    notice: undefined,
  };
}
