/** The one shape that every step of a call has. */
import { type AnswerPart, type Load, type Refusal, type RequestHead } from '@cleatquay/protocol';

/** Takes a request and gives its answer in parts; the last one has an end or a refusal. */
export type CallHandler = (
  head: RequestHead,
  body: AsyncIterable<Uint8Array>,
  signal: AbortSignal,
) => AsyncIterable<AnswerPart>;

/** A try that ended without an answer. */
export interface RefusedTry {
  readonly refusal: Refusal;
  readonly unusedRetryTokens: number;
  readonly load: Load | undefined;
}

/** A body of no bytes. */
export async function* emptyBody(): AsyncIterable<Uint8Array> {
  // Nothing to give.
}
