/**
 * Decides whether an upload may be sent again, and what its caller gets if its body can't be completed.
 *
 * The request head reaches the upstream together with the first bytes of the body. An attempt of which neither bytes nor the end of the
 * body were sent therefore has not run, and never will.
 */
import { type Failure } from '@cleatquay/errors';
import { type Refusal, createRefusal } from '@cleatquay/protocol';
import { type RequestBody } from './requestBody.js';
import { UploadBody, type UploadProgress } from './uploadBody.js';

/** Whether a request may be sent again after a refusal, as far as its body is concerned. */
export function mayBeSentAgain(body: RequestBody, refusal: Refusal): boolean {
  return body instanceof UploadBody ? decideUploadReplay(body, refusal) === 'replay' : body.isReplayable;
}

/** Why an upload is not sent again, or that it may be. */
export type UploadReplay = 'replay' | 'may-have-run' | 'body-incomplete' | 'body-discarded';

/** Whether an upload may be sent again after a refusal. */
export function decideUploadReplay(
  { failure, isReplayable }: UploadProgress,
  { outcome }: Pick<Refusal, 'outcome'>,
): UploadReplay {
  if (outcome !== 'not-run') return 'may-have-run';
  if (failure) return 'body-incomplete';
  return isReplayable ? 'replay' : 'body-discarded';
}

/** The refusal of an attempt whose connection was lost, if the attempt can't have run or its body broke off. */
export function uploadRefusalAfterLoss(body: RequestBody, message: string): Refusal | undefined {
  if (!(body instanceof UploadBody)) return undefined;
  const failed = bodyFailureRefusal(body);
  if (failed) return failed;
  return body.hasSent ? undefined : createRefusal('unreachable', message, { elsewhereHelps: true });
}

/** The refusal of an upload whose body broke off or is too large. */
export function bodyFailureRefusal(body: RequestBody): Refusal | undefined {
  if (!(body instanceof UploadBody) || !body.failure) return undefined;
  return refusalForFailure(body, body.failure);
}

/** The refusal of an upload at its timeout, if the caller has not sent the rest of its body. */
export function stalledBodyRefusal(body: RequestBody): Refusal | undefined {
  if (!(body instanceof UploadBody) || !body.isWaitingForCaller) return undefined;
  return stalledRefusal(body);
}

/** See `stalledBodyRefusal`. */
export function stalledRefusal({ hasSent }: Pick<UploadProgress, 'hasSent'>): Refusal {
  const message = 'The caller did not send the rest of the body in time.';
  // 408 promises that the request has not run.
  return hasSent ? createRefusal('bodyIncomplete', message) : createRefusal('bodyTimedOut', message);
}

/** See `bodyFailureRefusal`. */
export function refusalForFailure(
  progress: Pick<UploadProgress, 'hasSent'>,
  { result, message }: Failure,
): Refusal {
  if (result === 'bodyTimedOut') return stalledRefusal(progress);
  return createRefusal(result, message, { outcome: progress.hasSent ? 'unknown' : 'not-run' });
}
