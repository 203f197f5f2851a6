/** Follows one request to the upstream, so that a request that the upstream does not have can be ended. */
import { type Refusal, createRefusal } from '@cleatquay/protocol';
import { type CallBody } from './callHandler.js';

/** Ends the exchange of a request that the upstream could neither run nor queue. Its socket is destroyed. */
export class UnqueuedRequest extends Error {}

/** Called at the steps of one request. */
export interface RequestProgress {
  /** The request has been sent completely. `abort` ends the exchange. */
  onSent(abort: (error: Error) => void): void;
  /** The head of the response has arrived. `ran` is false if the upstream reports that it did not run the request. */
  onResponse(ran: boolean): void;
  /** The exchange ended without a response, because the request was retired or for another reason. */
  onEnd(isRetired: boolean): void;
}

/** Passes a body on, and calls `onEnd` when all of it has been taken. */
export async function* withEnd(
  body: Exclude<CallBody, Buffer>,
  onEnd: () => void,
): AsyncGenerator<Uint8Array> {
  yield* body;
  onEnd();
}

/**
 * The refusal for such a request. That it has not run rests on what the upstream reports of itself, which is proof enough where a run in spite of it
 * does no harm: for an idempotent request. For any other one the outcome is unknown.
 */
export function unqueuedRefusal({ message }: UnqueuedRequest, isIdempotent: boolean): Refusal {
  const outcome = isIdempotent ? 'not-run' : 'unknown';
  return createRefusal('upstreamUnresponsive', message, { elsewhereHelps: true, outcome });
}
