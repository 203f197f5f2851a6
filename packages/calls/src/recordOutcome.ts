/** Records the outcome of a request in the decision trace of its ingress daemon. */
import { type CallResponse } from './callHandler.js';
import { type DecisionTrace } from './decisionTrace.js';

/** Responses with this status or a higher one are failures of the upstream, or of a service that it called. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** Records how a request ended, and that it took `ms`. */
export function recordOutcome(
  decisionTrace: DecisionTrace,
  requestId: string,
  { first }: CallResponse,
  ms: number,
): void {
  const { refusal, head } = first;
  const tookMs = Math.round(ms);
  if (refusal) {
    const { code, outcome, message, retryAfterMs } = refusal;
    decisionTrace.record(requestId, 'Refused or failed.', {
      code,
      outcome,
      why: message,
      retryAfterMs,
      tookMs,
    });
  } else decisionTrace.record(requestId, 'Answered.', { status: head?.status ?? 0, tookMs });
  decisionTrace.requestEnded(
    requestId,
    refusal !== undefined || (head?.status ?? 0) >= MIN_SERVER_ERROR_STATUS,
  );
}
