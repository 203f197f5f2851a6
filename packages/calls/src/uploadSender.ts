/** Sends the body of an upload on a link: the head at once, and each part only for a credit, which the other daemon grants when the upstream takes the body. */
import { SendWindow } from './flowControl.js';

/** A chunk of a caller is seldom longer than 64 KiB. With this minimum, most parts are a single chunk, which needs no copy. */
const MIN_PART_BYTES = 32_768;

/** A window without credits: a refusal before the first credit leaves the body unread, so that it can be sent to another upstream. */
export function uploadWindow(): SendWindow {
  return new SendWindow(0);
}

/** Sends a part of the request; `isFirst` if the head belongs to it. */
export type SendPart = (bytes: Buffer, last: boolean, isFirst: boolean) => void;

/** Sends the body until it ends or the window is closed, since the call has ended. Nothing is read of the body before there is a credit for it. */
export async function sendUpload(
  body: AsyncIterable<Uint8Array>,
  window: SendWindow,
  send: SendPart,
): Promise<void> {
  send(NO_BYTES, false, true);
  const chunks = body[Symbol.asyncIterator]();
  for (let isEnded = false; !isEnded;) {
    await window.acquire();
    if (window.isClosed) return;
    const pending: Uint8Array[] = [];
    for (let bytes = 0; bytes < MIN_PART_BYTES && !isEnded && !window.isClosed;) {
      const { value, done } = await chunks.next();
      isEnded = done === true;
      if (done === true) continue;
      pending.push(value);
      bytes += value.length;
    }
    if (window.isClosed) return;
    send(joined(pending), isEnded, false);
  }
}

/** Most parts are a single chunk, which needs no copy. */
function joined(chunks: readonly Uint8Array[]): Buffer {
  const [first] = chunks;
  return chunks.length === 1 && Buffer.isBuffer(first) ? first : Buffer.concat(chunks);
}

const NO_BYTES = Buffer.alloc(0);
