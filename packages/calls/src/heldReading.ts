/** Controls the reader of a socket: holds it up, and ends the connection of a response with too many bytes outside of its body. */
import { type Socket } from 'node:net';

/**
 * Bytes that may come in a row without any of a body: head and interim responses, or chunk extensions and trailers. Several times what the
 * parser accepts as the head of one response.
 */
const MAX_OVERHEAD_BYTES = 65_536;
/** Bytes that the parser gets at once until the body begins. */
const HEAD_READ_BYTES = 4096;
/** More parts of a body than this in one read are small: the parser then gets as little at once as of a head. */
const MAX_PARTS_PER_READ = 64;
/** The same near the limit of the parser, which reads all that it got and creates an error for each line beyond the limit. */
const LONG_HEAD_READ_BYTES = 512;
const LONG_HEAD_BYTES = 12_288;

/** The response on a connection, as far as the reader of its socket is concerned. */
export class HeldReading {
  private isHeld = false;
  private hasBody = false;
  private overheadBytes = 0;
  private partsOfRead = 0;

  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket) as (bytes?: number) => Buffer | null;
    // A read of no bytes is node's own, which looks for the end of the connection.
    socket.read = (bytes?: number): unknown => (bytes === 0 ? read(0) : this.take(read));
  }

  /**
   * Until `release`, the reader gets nothing; the socket buffers a little, and then stops reading, too. undici's own pause is not used: its parser
   * must not be paused when the connection ends, and an assertion then ends the process.
   */
  hold(): void {
    this.isHeld = true;
  }

  /** Lets the reader take what has arrived, once it has returned: it may be the caller. */
  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    queueMicrotask(() => {
      if (!this.isHeld && !this.socket.destroyed) this.socket.emit('readable');
    });
  }

  /** A request is sent, whose response is read next. */
  recordRequest(): void {
    this.hasBody = false;
    this.overheadBytes = 0;
  }

  /** The parser has found a part of the body in what it read. */
  recordBody(): void {
    this.hasBody = true;
    this.overheadBytes = 0;
    this.partsOfRead++;
  }

  private get headReadBytes(): number {
    return this.overheadBytes < LONG_HEAD_BYTES ? HEAD_READ_BYTES : LONG_HEAD_READ_BYTES;
  }

  private take(read: (bytes?: number) => Buffer | null): Buffer | null {
    const { socket } = this;
    // What arrived on a connection that was ended is of no use to anyone.
    if (this.isHeld || socket.destroyed) return null;
    if (this.overheadBytes > MAX_OVERHEAD_BYTES) {
      socket.destroy(new Error('The response has too many bytes outside of its body.'));
      return null;
    }
    const isLarge = this.hasBody && this.partsOfRead <= MAX_PARTS_PER_READ;
    this.partsOfRead = 0;
    const chunk = isLarge ? read() : read(Math.min(socket.readableLength, this.headReadBytes) || undefined);
    this.overheadBytes += chunk?.length ?? 0;
    return chunk;
  }
}
