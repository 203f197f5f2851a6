/** Answers: cut into parts with length and check, verified, kept, and given again. */
import { type AnswerHead, type AnswerPart, type Load, noLoad } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';
import { type CallAnswer, answerOf } from './callHandler.js';

/** Answers up to this size travel in one part, and can be tried again if they break off. */
export const PART_BYTES = 65_536;
/** Larger answers of non-idempotent requests are not kept. */
export const MAX_RECORDED_BYTES = 1_048_576;

/** An answer kept whole. */
export interface RecordedAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Adds up length and check of a body. */
export class BodyCheck {
  private length = 0;
  private crc = 0;

  add(chunk: Uint8Array): void {
    // Node's crc32 of a buffer without memory is 0, whatever sum it is to go on from.
    if (chunk.length === 0) return;
    this.length += chunk.length;
    this.crc = crc32(chunk, this.crc);
  }

  /** What the sender says at the end. */
  get end(): { length: number; crc32: number } {
    return { length: this.length, crc32: this.crc };
  }

  /** Whether the sender saw the same body. */
  agrees(end: { length: number; crc32: number }): boolean {
    return end.length === this.length && end.crc32 === this.crc;
  }
}

const NO_BYTES = Buffer.alloc(0);

/** One part of an answer. */
export function createPart(part: Partial<AnswerPart>): AnswerPart {
  return {
    head: undefined,
    body: NO_BYTES,
    end: undefined,
    refusal: undefined,
    load: undefined,
    unusedRetryTokens: 0,
    notice: undefined,
    ...part,
  };
}

/** Cuts an answer into parts; a small one is a single part. `finish` is asked at the very end. */
export function toAnswer(
  head: AnswerHead,
  start: Buffer,
  rest: AsyncIterable<Buffer> | undefined,
  finish: () => { load: Load; unusedRetryTokens: number },
): CallAnswer {
  const check = new BodyCheck();
  check.add(start);
  if (!rest) return answerOf(createPart({ head, body: start, end: check.end, ...finish() }));
  return { first: createPart({ head, body: start }), rest: splitBody(check, rest, finish) };
}

async function* splitBody(
  check: BodyCheck,
  body: AsyncIterable<Buffer>,
  finish: () => { load: Load; unusedRetryTokens: number },
): AsyncGenerator<AnswerPart> {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  for await (const chunk of body) {
    check.add(chunk);
    pending.push(chunk);
    pendingBytes += chunk.length;
    if (pendingBytes < PART_BYTES) continue;
    yield createPart({ body: Buffer.concat(pending) });
    pending = [];
    pendingBytes = 0;
  }
  yield createPart({ body: Buffer.concat(pending), end: check.end, ...finish() });
}

/** A kept answer as its single part. */
export function replay({ head, body }: RecordedAnswer): AnswerPart {
  const check = new BodyCheck();
  check.add(body);
  return createPart({ head, body, end: check.end, load: noLoad() });
}

/** Collects parts; gives the whole answer once its end has come and agrees. */
export class AnswerRecorder {
  private head: AnswerHead | undefined;
  private chunks: Buffer[] = [];
  private bytes = 0;
  private readonly check = new BodyCheck();

  /** Undefined until the end, for refusals, and for answers too large to keep. */
  add(part: AnswerPart): RecordedAnswer | undefined {
    this.head ??= part.head;
    this.check.add(part.body);
    this.bytes += part.body.length;
    if (this.bytes <= MAX_RECORDED_BYTES) this.chunks.push(part.body);
    else this.chunks = [];
    const isWhole = part.end !== undefined && this.check.agrees(part.end) && this.bytes <= MAX_RECORDED_BYTES;
    return isWhole && this.head ? { head: this.head, body: Buffer.concat(this.chunks) } : undefined;
  }
}
