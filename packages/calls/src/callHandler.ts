/** The one shape that every step of a call has. */
import { type CancelSignal } from '@cleatquay/clock';
import { type AnswerPart, type Load, type Refusal, type RequestHead } from '@cleatquay/protocol';

/** The bytes of a request: the whole of them, or a stream of which not all have come. */
export type CallBody = Buffer | AsyncIterable<Uint8Array>;

/** An answer: its first part, and those that follow unless that is the last. */
export interface CallAnswer {
  readonly first: AnswerPart;
  /** Undefined when the first part has an end or a refusal. Otherwise it has to be read to its end. */
  readonly rest: AsyncIterable<AnswerPart> | undefined;
}

/** Takes a request and gives its answer; the last part has an end or a refusal. */
export type CallHandler = (head: RequestHead, body: CallBody, signal: CancelSignal) => Promise<CallAnswer>;

/** An answer of a single part. */
export function answerOf(part: AnswerPart): CallAnswer {
  return { first: part, rest: undefined };
}

/** Whether nothing follows the part. */
export function isLast(part: AnswerPart): boolean {
  return part.end !== undefined || part.refusal !== undefined;
}

/** All parts of an answer that is still to come. */
export async function* partsOf(response: Promise<CallAnswer>): AsyncGenerator<AnswerPart> {
  const { first, rest } = await response;
  yield first;
  if (rest) yield* rest;
}

/** What a call needs to know of its route. */
export interface CallRoute {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  /** Names of the routes that are called while it runs, as far as is known. */
  readonly calls: readonly string[];
}

/** What a call needs of its route travels with it, so that two daemons need not have the same version in force. */
export function routeOfHead({ service, context }: RequestHead): CallRoute | undefined {
  if (!context) return undefined;
  return { name: context.route, service, idempotent: context.idempotent, calls: [] };
}

/** A try that ended without an answer. */
export interface FailedAttempt {
  readonly refusal: Refusal;
  readonly unusedRetryTokens: number;
  readonly load: Load | undefined;
}

/** A body of no bytes. */
export const EMPTY_BODY: Buffer = Buffer.alloc(0);
