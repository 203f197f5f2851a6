/** Encodes frames of links with a writer that is used again: the buffer of a new one grows from nothing for each frame. */
import { BinaryWriter } from '@bufbuild/protobuf/wire';
import { LinkFrame } from './generated/inner.js';

/** The buffer of a longer frame is not kept. */
const MAX_KEPT_BYTES = 65_536;

/** The encoder of a process. */
export class FrameEncoder {
  private writer = new BinaryWriter();

  /** The encoded frame, which the caller owns. Throws if it can't be encoded. */
  encode(frame: LinkFrame): Uint8Array {
    try {
      const bytes = LinkFrame.encode(frame, this.writer).finish();
      if (bytes.length > MAX_KEPT_BYTES) this.writer = new BinaryWriter();
      return bytes;
    } catch (error) {
      // It holds the beginning of the frame.
      this.writer = new BinaryWriter();
      throw error;
    }
  }
}
