/** The signature that every stage of a call implements, and the types of its request and response. */
import { type CancelSignal } from '@cleatquay/clock';
import { type AnswerPart, type Load, type Refusal, type RequestHead } from '@cleatquay/protocol';

/** A request body: complete, or a stream that is still being received. */
export type CallBody = Buffer | AsyncIterable<Uint8Array>;

/** A response: its first part, and the parts that follow unless that is the final one. */
export interface CallResponse {
  readonly first: AnswerPart;
  /** Undefined when the first part has an end or a refusal. Otherwise it has to be consumed to its end. */
  readonly rest: AsyncIterable<AnswerPart> | undefined;
}

/** Handles a request; the final part of the response has an end or a refusal. */
export type CallHandler = (head: RequestHead, body: CallBody, signal: CancelSignal) => Promise<CallResponse>;

/** A response of a single part. */
export function singlePartResponse(part: AnswerPart): CallResponse {
  return { first: part, rest: undefined };
}

/** Whether no part follows this one. */
export function isFinalPart(part: AnswerPart): boolean {
  return part.end !== undefined || part.refusal !== undefined;
}

/** All parts of a pending response. */
export async function* responseParts(response: Promise<CallResponse>): AsyncGenerator<AnswerPart> {
  const { first, rest } = await response;
  yield first;
  if (rest) yield* rest;
}

/** The properties of a route that a call depends on. */
export interface CallRoute {
  readonly name: string;
  readonly service: string;
  readonly idempotent: boolean;
  /** Names of the routes that it is known to call. */
  readonly calls: readonly string[];
}

/** The route by the call's own context, so that two daemons need not have the same configuration version active. */
export function routeFromHead({ service, context }: RequestHead): CallRoute | undefined {
  if (!context) return undefined;
  return { name: context.route, service, idempotent: context.idempotent, calls: [] };
}

/** An attempt that ended without a response. */
export interface FailedAttempt {
  readonly refusal: Refusal;
  readonly unusedRetryTokens: number;
  readonly load: Load | undefined;
}

export const EMPTY_BODY: Buffer = Buffer.alloc(0);

/** Whether the body of a request with this method is sent to the upstream. */
export function mayHaveBody(method: string): boolean {
  return method !== 'GET' && method !== 'HEAD';
}
