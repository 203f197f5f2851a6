/** Holds up the reader of a socket, to which it looks as if nothing had arrived yet. */
import { type Socket } from 'node:net';

/**
 * A socket whose reader can be held up. undici's own pause is not used: its parser must not be paused when the connection ends, and an assertion
 * then ends the process.
 */
export class HeldReading {
  private isHeld = false;

  constructor(private readonly socket: Socket) {
    const read = socket.read.bind(socket) as (bytes?: number) => unknown;
    // A read of no bytes is node's own, which looks for the end of the connection.
    socket.read = (bytes?: number): unknown => (this.isHeld && bytes !== 0 ? null : read(bytes));
  }

  /** Until `release`, the reader gets nothing; the socket buffers a little, and then stops reading, too. */
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
}
