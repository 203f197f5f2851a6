/** Splits responses into parts, verifies them by length and checksum, and records and replays complete ones. */
import { type AnswerHead, type AnswerPart, type Load, emptyLoad } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';
import { BodyPieces } from './bodyPieces.js';
import { type CallResponse, singlePartResponse } from './callHandler.js';

/**
 * Body bytes from which a part is sent. A response up to this size is a single part, and if it is truncated, the request
 * can be retried.
 */
export const PART_BYTES = 65_536;
/** Larger responses to non-idempotent requests are not stored for replay. */
export const MAX_RECORDED_BYTES = 1_048_576;

/** A complete response that is stored for replay. */
export interface RecordedResponse {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Computes length and CRC-32 of a body. */
export class BodyChecksum {
  private length = 0;
  private crc = 0;

  add(chunk: Uint8Array): void {
    // For a buffer without a backing store, node's crc32 returns 0 and ignores the previous value.
    if (chunk.length === 0) return;
    this.length += chunk.length;
    this.crc = crc32(chunk, this.crc);
  }

  /** The values that the sender appends to the body. */
  get end(): { length: number; crc32: number } {
    return { length: this.length, crc32: this.crc };
  }

  /** Whether the sender computed the same values. */
  matches(end: { length: number; crc32: number }): boolean {
    return end.length === this.length && end.crc32 === this.crc;
  }
}

const NO_BYTES = Buffer.alloc(0);

/** Creates a part of a response; omitted fields get their defaults. */
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

/** Splits a response into parts; a small one is a single part. `finish` is called for the last part. */
export function toCallResponse(
  head: AnswerHead,
  start: Buffer,
  rest: AsyncIterable<Buffer> | undefined,
  finish: () => { load: Load; unusedRetryTokens: number },
): CallResponse {
  const checksum = new BodyChecksum();
  checksum.add(start);
  if (!rest) return singlePartResponse(createPart({ head, body: start, end: checksum.end, ...finish() }));
  return { first: createPart({ head, body: start }), rest: splitBody(checksum, rest, finish) };
}

async function* splitBody(
  checksum: BodyChecksum,
  body: AsyncIterable<Buffer>,
  finish: () => { load: Load; unusedRetryTokens: number },
): AsyncGenerator<AnswerPart> {
  const pending = new BodyPieces();
  for await (const chunk of body) {
    checksum.add(chunk);
    pending.add(chunk);
    if (pending.bytes >= PART_BYTES) yield createPart({ body: pending.take() });
  }
  yield createPart({ body: pending.take(), end: checksum.end, ...finish() });
}

/** Ends a response that nobody reads: its parts hold resources until they have been begun and left. */
export async function discardRest({ rest }: CallResponse): Promise<void> {
  if (!rest) return;
  try {
    for await (const part of rest) if (part) return;
  } catch {
    // It has ended.
  }
}

/** A stored response as a single part. */
export function replay({ head, body }: RecordedResponse): AnswerPart {
  const checksum = new BodyChecksum();
  checksum.add(body);
  return createPart({ head, body, end: checksum.end, load: emptyLoad() });
}

/** Collects the parts of a response until it is complete and verified. */
export class ResponseRecorder {
  private head: AnswerHead | undefined;
  private chunks: Buffer[] = [];
  private bytes = 0;
  private readonly checksum = new BodyChecksum();

  /** Whether it has become too large to be stored. */
  get isTooLarge(): boolean {
    return this.bytes > MAX_RECORDED_BYTES;
  }

  /**
   * Returns the response when its last part is added; undefined before that, for refusals, and for responses that are too
   * large to store or do not match their checksum.
   */
  add(part: AnswerPart): RecordedResponse | undefined {
    this.head ??= part.head;
    this.checksum.add(part.body);
    this.bytes += part.body.length;
    if (this.bytes <= MAX_RECORDED_BYTES) this.chunks.push(part.body);
    else this.chunks = [];
    const isComplete =
      part.end !== undefined && this.checksum.matches(part.end) && this.bytes <= MAX_RECORDED_BYTES;
    return isComplete && this.head ? { head: this.head, body: Buffer.concat(this.chunks) } : undefined;
  }
}
