/**
 * Invalid bytes on a caller's connection behind requests that have no response yet. Node.js reports each read of such bytes as one more error, which
 * holds the bytes.
 */
import { type Clock } from '@cleatquay/clock';
import { type Socket } from 'node:net';
import { type Duplex } from 'node:stream';
import { type OpenResponses } from './openResponses.js';

/**
 * What is read and discarded of a connection behind its last response: bytes that are unread when it closes make the kernel reset it, and a caller that
 * still sends may then lose responses which it has not read. A caller that reads them ends the connection itself.
 */
const MAX_DISCARDED_BYTES = 4_194_304;
const MAX_DISCARD_MS = 1000;

/** An error of the HTTP parser of Node.js. */
export interface ParserError extends Error {
  /** The bytes that were read. */
  rawPacket?: unknown;
}

/** The connections whose callers get a response to invalid bytes once they have those to their earlier requests. */
export class InvalidInput {
  private readonly waiting = new WeakSet<Duplex>();
  /** Connections with their last response, by the number of bytes read at which they are closed. */
  private readonly ending = new WeakMap<Duplex, number>();

  constructor(
    private readonly openResponses: Pick<OpenResponses, 'whenSent'>,
    private readonly clock: Clock,
  ) {}

  /**
   * Calls `respond` once for a connection, when the responses to its earlier requests have been sent. Until then nothing more is read of it: the
   * bytes that follow are of no use, and may have no end.
   */
  handle(error: ParserError, socket: Socket, respond: () => void): void {
    delete error.rawPacket;
    const maxBytes = this.ending.get(socket);
    if (maxBytes !== undefined) {
      if (socket.bytesRead > maxBytes) socket.destroy();
      return;
    }
    // Each time: Node.js resumes a connection whose output has been sent.
    socket.pause();
    if (this.waiting.has(socket)) return;
    this.waiting.add(socket);
    this.openResponses.whenSent(socket, () => {
      this.waiting.delete(socket);
      respond();
      if (!socket.destroyed) this.discardRest(socket);
    });
  }

  /** Reads until the caller ends the connection, for a bounded time. */
  private discardRest(socket: Socket): void {
    this.ending.set(socket, socket.bytesRead + MAX_DISCARDED_BYTES);
    const timer = this.clock.after(MAX_DISCARD_MS, () => socket.destroy());
    socket.once('close', () => timer[Symbol.dispose]());
    socket.resume();
  }
}
