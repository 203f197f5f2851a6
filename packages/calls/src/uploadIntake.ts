/** Uploads at the daemon of the upstream: memory is reserved before admission, and the body is followed on its way to the upstream. */
import { type Random } from '@cleatquay/clock';
import { type RequestHead, type Refusal, refusalPart, createRefusal } from '@cleatquay/protocol';
import { FingerprintHash } from '@cleatquay/quarantine';
import { type CallHandler, type CallResponse, singlePartResponse } from './callHandler.js';
import { type DecisionTrace } from './decisionTrace.js';
import { UPSTREAM_UPLOAD_BYTES, type UploadBudget, type UploadReservation } from './uploadBudget.js';

/** Mean time until an upload is asked to retry: about as long as a typical upload takes, so that memory is free again. */
const MEMORY_RETRY_AFTER_MS = 600;

/** The sender cancelled a call, or lost the connection, before it sent the whole body. */
export class IncompleteBody extends Error {}

/** The body of an upload as its upstream takes it. */
export class IntakeBody implements AsyncIterable<Uint8Array> {
  /** Whether the upstream may have received a part of the request: its head is sent with the first bytes of the body. */
  hasStarted = false;
  /** Whether the body broke off. */
  isBroken = false;
  private readonly hash: FingerprintHash;

  constructor(
    head: RequestHead,
    private readonly source: AsyncIterable<Uint8Array>,
    private readonly onChunk: (bytes: number) => void,
  ) {
    this.hash = new FingerprintHash(head);
  }

  /** The fingerprint by what has been received; undefined before the body, since all uploads with the same path would have it. */
  get fingerprint(): string | undefined {
    return this.hasStarted ? this.hash.value : undefined;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of this.source) {
        this.hasStarted = true;
        this.hash.add(chunk);
        this.onChunk(chunk.length);
        yield chunk;
      }
      this.hasStarted = true;
    } catch (error) {
      this.isBroken = true;
      throw error;
    }
  }
}

/** The refusal of an upload whose body broke off before its upstream responded; undefined for other requests. */
export function brokenIntakeRefusal(body: unknown): Refusal | undefined {
  if (!(body instanceof IntakeBody) || !body.isBroken) return undefined;
  const outcome = body.hasStarted ? 'unknown' : 'not-run';
  return createRefusal('bodyIncomplete', 'The body broke off.', { outcome });
}

/** The refusal of an upload for which a daemon has no memory. */
export function noMemoryRefusal(random: Random, elsewhereHelps: boolean): Refusal {
  return createRefusal('uploadMemoryFull', 'The daemon has no memory for another upload.', {
    elsewhereHelps,
    retryAfterMs: Math.round(MEMORY_RETRY_AFTER_MS * (0.5 + random())),
  });
}

/** Dependencies on the daemon. */
export interface UploadIntakeOptions {
  readonly budget: UploadBudget;
  readonly random: Random;
  readonly decisionTrace: DecisionTrace;
}

/** A handler that reserves memory for uploads before `handle` gets them. It hands on other calls unchanged. */
export function withUploadIntake(
  handle: CallHandler,
  { budget, random, decisionTrace }: UploadIntakeOptions,
): CallHandler {
  return async (head, body, signal) => {
    const { context } = head;
    if (context?.upload !== true || Buffer.isBuffer(body)) return handle(head, body, signal);
    const reservation = budget.reserve(UPSTREAM_UPLOAD_BYTES);
    if (!reservation) {
      const { bytes, uploads } = budget;
      decisionTrace.record(context.requestId, 'Not admitted: no memory for the upload.', { bytes, uploads });
      decisionTrace.requestEnded(context.requestId, true);
      return singlePartResponse(refusalPart(noMemoryRefusal(random, true), context.retryTokens));
    }
    const intake = new IntakeBody(head, body, bytes => reservation.countReceived(bytes));
    let response: CallResponse | undefined;
    try {
      response = await handle(head, intake, signal);
    } finally {
      if (!response?.rest) reservation[Symbol.dispose]();
      if (intake.isBroken) budget.counts.brokenOff++;
    }
    const { rest } = response;
    return rest ? { ...response, rest: releasingAtEnd(rest, reservation) } : response;
  };
}

async function* releasingAtEnd<T>(
  items: AsyncIterable<T>,
  reservation: UploadReservation,
): AsyncGenerator<T> {
  try {
    yield* items;
  } finally {
    reservation[Symbol.dispose]();
  }
}
