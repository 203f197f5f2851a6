/** Reads a gRPC stream part by part. */
import { type Readable } from 'node:stream';

/**
 * The messages of a stream, pulled one at a time, so that flow control works. Unlike the stream's own iterator it
 * leaves the stream alone when the reader stops early: destroying it makes an error with a stack for every call.
 */
export async function* streamParts<T>(stream: Readable): AsyncGenerator<T> {
  let failure: Error | undefined;
  let ended = false;
  let wake: () => void = () => undefined;
  stream.on('readable', () => wake());
  stream.on('end', () => {
    ended = true;
    wake();
  });
  stream.on('error', error => {
    failure = error;
    wake();
  });
  for (;;) {
    const part = stream.read() as T | null;
    if (part !== null) {
      yield part;
      continue;
    }
    if (failure) throw failure;
    if (ended) return;
    await new Promise<void>(resolve => (wake = resolve));
  }
}
