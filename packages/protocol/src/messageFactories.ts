/** Factories for common messages. */
import { type Outcome, type ResultName, resultCodes } from '@cleatquay/errors';
import { type AnswerPart, type Load, type Refusal } from './generated/inner.js';

/** Matches any process at an address. */
export const ANY_EPOCH = 0;

/** Load of a daemon that reports none; its admission level refuses no request. */
export function emptyLoad(): Load {
  return {
    inFlight: 0,
    queued: 0,
    limit: 0,
    admissionLevel: Number.MAX_VALUE,
    reported: undefined,
    chain: undefined,
  };
}

/** A refusal with the code of its result, and with the result's outcome unless another is given. */
export function createRefusal(
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

/** The final response part, with a refusal. */
export function refusalPart(
  refusal: Refusal,
  unusedRetryTokens: number,
  load: Load = emptyLoad(),
): AnswerPart {
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
