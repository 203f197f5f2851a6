/** Reads the body of a response up to a limit: its sender may never end it. */
import { Failure } from '@cleatquay/errors';
import { type Readable } from 'node:stream';

/** The body as text. Closes the connection and rejects as soon as the body is longer than `maxBytes`. */
export async function boundedText(body: Readable, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) throw tooLong(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function tooLong(maxBytes: number): Failure {
  return new Failure(`Expected a response of at most ${String(maxBytes)} bytes.`, {
    result: 'platformAnswerInvalid',
  });
}
