/**
 * Length-prefixed frames over TCP: a length of four bytes, big-endian, followed by the encoded message. Compared with a
 * gRPC stream, they save an eighth of the CPU time of a call (docs/design/call-cost.md).
 */
import { NO_METER } from '@cleatquay/clock';
import { FrameEncoder, LinkFrame } from '@cleatquay/protocol';
import { type Socket } from 'node:net';

/** A longer frame is corrupt or not from a peer: a link batches at most half a MiB and one part. */
const MAX_FRAME_BYTES = 4 * 1_048_576;
const LENGTH_BYTES = 4;
/** Messages up to this size are copied into one buffer with their length: one write costs less than two. */
const MAX_COPIED_MESSAGE_BYTES = 16_384;
/** Idle time after which TCP probes a connection. */
const TCP_KEEP_ALIVE_DELAY_MS = 5000;

const ENCODER = new FrameEncoder();

/** Callbacks of a stream. */
export interface FrameStreamEvents {
  readonly onFrame: (frame: LinkFrame) => void;
  /** Called once, when no more frames will arrive. */
  readonly onEnd: (reason: string) => void;
}

/** Reads and writes frames on a connection between two daemons. */
export class FrameStream {
  /** Chunks of an incomplete frame. They are joined once: joining each with its predecessors would copy a long frame many times. */
  private incomplete: Buffer[] = [];
  private incompleteBytes = 0;
  /** Bytes with which the next frame, or its length, is complete. */
  private neededBytes = LENGTH_BYTES;
  private ended = false;

  constructor(
    private readonly socket: Socket,
    private readonly events: FrameStreamEvents,
    private readonly meter = NO_METER,
  ) {
    socket.setNoDelay(true);
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
    socket.on('data', (chunk: Buffer) => {
      const isMeasured = meter.enter('links');
      try {
        this.receive(chunk);
      } finally {
        if (isMeasured) meter.leave();
      }
    });
    socket.on('end', () => this.end('ended the link'));
    socket.on('error', error => this.end(`failed with a connection error: ${error.message}`));
    socket.on('close', () => this.end('closed the link'));
  }

  /** Sends a frame; does nothing once the stream has ended. */
  write(frame: LinkFrame): void {
    if (this.ended) return;
    const isMeasured = this.meter.enter('links');
    try {
      this.writeFrame(frame);
    } finally {
      if (isMeasured) this.meter.leave();
    }
  }

  private writeFrame(frame: LinkFrame): void {
    const message = this.encodeFrame(frame);
    if (!message) return;
    if (message.length <= MAX_COPIED_MESSAGE_BYTES) {
      const bytes = Buffer.allocUnsafe(LENGTH_BYTES + message.length);
      bytes.writeUInt32BE(message.length, 0);
      bytes.set(message, LENGTH_BYTES);
      this.socket.write(bytes);
      return;
    }
    const length = Buffer.allocUnsafe(LENGTH_BYTES);
    length.writeUInt32BE(message.length, 0);
    this.socket.cork();
    this.socket.write(length);
    this.socket.write(message);
    this.socket.uncork();
  }

  /** Ends the stream if the frame can't be encoded: what it defines, and the calls in it, would be missing to the peer. */
  private encodeFrame(frame: LinkFrame): Uint8Array | undefined {
    try {
      return ENCODER.encode(frame);
    } catch (error) {
      this.end(`got a frame that cannot be encoded: ${String(error)}`);
      return undefined;
    }
  }

  /** Closes the connection at once. */
  close(): void {
    this.ended = true;
    this.socket.destroy();
  }

  /** Handles bytes of the connection, also those that were read before this stream was attached to it. */
  receive(chunk: Buffer): void {
    this.incomplete.push(chunk);
    this.incompleteBytes += chunk.length;
    if (this.incompleteBytes < this.neededBytes) return;
    const { incomplete, neededBytes } = this;
    const hasFrame = incomplete.length > 1 && neededBytes > LENGTH_BYTES;
    if (!hasFrame) return this.readFrames(incomplete.length === 1 ? chunk : Buffer.concat(incomplete));
    // What follows the frame is not copied with it: it would be kept for as long as any part in the frame.
    const frame = Buffer.concat(incomplete, neededBytes);
    const rest = chunk.subarray(chunk.length - (this.incompleteBytes - neededBytes));
    this.decodeFrame(frame.subarray(LENGTH_BYTES));
    this.readFrames(rest);
  }

  private readFrames(bytes: Buffer): void {
    let rest = bytes;
    this.neededBytes = LENGTH_BYTES;
    while (rest.length >= LENGTH_BYTES && !this.ended) {
      const length = rest.readUInt32BE(0);
      if (length > MAX_FRAME_BYTES)
        return this.end(`sent a frame of ${String(length)} bytes, which is too long`);
      const end = LENGTH_BYTES + length;
      this.neededBytes = end;
      if (rest.length < end) break;
      this.neededBytes = LENGTH_BYTES;
      this.decodeFrame(rest.subarray(LENGTH_BYTES, end));
      rest = rest.subarray(end);
    }
    this.incomplete = rest.length > 0 ? [rest] : [];
    this.incompleteBytes = rest.length;
  }

  private decodeFrame(message: Buffer): void {
    let frame: LinkFrame;
    try {
      frame = LinkFrame.decode(message);
    } catch (error) {
      return this.end(`sent a frame that cannot be decoded: ${String(error)}`);
    }
    try {
      this.events.onFrame(frame);
    } catch (error) {
      // Its bytes are still in the buffer, and would be handled again with the next ones.
      this.end(`sent a frame that could not be handled: ${String(error)}`);
      throw error;
    }
  }

  private end(reason: string): void {
    if (this.ended) return;
    this.ended = true;
    this.socket.destroy();
    this.events.onEnd(reason);
  }
}
