/** What is noted of a request at the daemon where it entered. */
import { type CallAnswer } from './callHandler.js';
import { type Journal } from './journal.js';

/** Answers from this status on are failures of the upstream, or of something that it called. */
export const MIN_SERVER_ERROR_STATUS = 500;

/** How it ended, so many ms after it came. */
export function recordOutcome(journal: Journal, requestId: string, { first }: CallAnswer, ms: number): void {
  const { refusal, head } = first;
  const tookMs = Math.round(ms);
  if (refusal) {
    const { code, outcome, message, retryAfterMs } = refusal;
    journal.note(requestId, 'Refused or failed.', { code, outcome, why: message, retryAfterMs, tookMs });
  } else journal.note(requestId, 'Answered.', { status: head?.status ?? 0, tookMs });
  journal.ended(requestId, refusal !== undefined || (head?.status ?? 0) >= MIN_SERVER_ERROR_STATUS);
}
