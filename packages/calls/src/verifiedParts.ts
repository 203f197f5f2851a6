/** Verifies the parts of a response of another daemon by the length and the checksum that it sends with the last one. */
import { type AnswerPart, createRefusal, refusalPart } from '@cleatquay/protocol';
import { BodyChecksum } from './responses.js';

/**
 * The parts of a response. In place of one that shows that bytes are missing, added or changed comes a refusal with an unknown outcome, so that
 * no part looks whole and a non-idempotent request is only sent again under its id.
 */
export async function* verifiedParts(parts: AsyncIterable<AnswerPart>): AsyncGenerator<AnswerPart> {
  const checksum = new BodyChecksum();
  for await (const part of parts) {
    checksum.add(part.body);
    if (part.end && !checksum.matches(part.end)) {
      const text = 'The response does not match its checksum.';
      yield refusalPart(createRefusal('answerIncomplete', text, { outcome: 'unknown' }), 0);
      return;
    }
    yield part;
  }
}
