/**
 * Collects responses without a known length for callers that take no chunks (HTTP/1.0). Only the end of their connection would mark the end of such
 * a response, and that is also what they see when this process is killed.
 */
import { type CallResponse, createPart } from '@cleatquay/calls';
import { type AnswerPart, createRefusal, refusalPart } from '@cleatquay/protocol';
import { type ServerResponse } from 'node:http';

const MAX_RESPONSE_BYTES = 1_048_576;
/** Of all responses that are being collected, or were and have not been taken by their callers, who may read slowly or not at all. */
const MAX_TOTAL_BYTES = 8 * 1_048_576;

/** The memory for responses that are being collected. */
export class ResponseCollector {
  private totalBytes = 0;

  /** The response as a single part for `target`, or a refusal if it breaks off or is too long. */
  async collect({ first, rest }: CallResponse, target: ServerResponse): Promise<AnswerPart> {
    if (!rest) return first;
    const bodies = [first.body];
    let bytes = first.body.length;
    this.totalBytes += bytes;
    let isHeld = false;
    try {
      for await (const part of rest) {
        if (part.refusal) return part;
        bodies.push(part.body);
        bytes += part.body.length;
        this.totalBytes += part.body.length;
        if (part.end && part.end.length !== bytes) return BROKEN_OFF;
        if (part.end) {
          isHeld = !target.destroyed;
          if (isHeld) target.once('close', () => (this.totalBytes -= bytes));
          return createPart({ ...part, head: first.head, body: Buffer.concat(bodies) });
        }
        if (bytes > MAX_RESPONSE_BYTES || this.totalBytes > MAX_TOTAL_BYTES) return TOO_LONG;
      }
    } catch {
      // It has broken off, or the timeout of its route has passed.
    } finally {
      if (!isHeld) this.totalBytes -= bytes;
    }
    return BROKEN_OFF;
  }
}

const TOO_LONG = refusalPart(
  createRefusal('responseUndelimited', 'The response has no length, and is too long to be collected.'),
  0,
);
const BROKEN_OFF = refusalPart(
  createRefusal('answerIncomplete', 'The response ended before its body was complete.'),
  0,
);
