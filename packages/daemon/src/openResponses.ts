/** The responses that are outstanding on each connection of callers, which may pipeline their requests. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { isCloseDelimited } from './callerResponse.js';

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** How the caller of a cut response can tell that it is incomplete. */
export type CutMark = 'length-or-chunks' | 'none';

/** A response that ended before its body was complete. */
export interface CutFacts {
  /** Bytes written to the connection, of all responses. */
  readonly bytesWritten: number;
  readonly mark: CutMark;
}

/** Outstanding responses by connection. */
export class OpenResponses {
  private readonly bySocket = new WeakMap<Duplex, Set<Exchange>>();

  constructor(private readonly onCut: (request: IncomingMessage, facts: CutFacts) => void) {}

  /** Counts a response as outstanding until it is closed. */
  add(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const exchanges = this.bySocket.get(socket) ?? new Set();
    this.bySocket.set(socket, exchanges);
    const exchange = { request, response };
    exchanges.add(exchange);
    response.once('close', () => exchanges.delete(exchange));
  }

  /**
   * Calls back once the responses to all requests that were received completely on the connection have been sent: the response
   * to invalid input must not be taken for one of theirs.
   */
  whenSent(socket: Duplex, callback: () => void): void {
    const exchanges = this.bySocket.get(socket);
    const next = exchanges && [...exchanges].find(({ request }) => request.complete);
    if (!next) return callback();
    next.response.once('close', () => this.whenSent(socket, callback));
  }

  /** Ends a response that can't be completed. */
  cut(response: ServerResponse): void {
    if (response.destroyed) return;
    const { req: request } = response;
    const mark = isCloseDelimited(response) ? 'none' : 'length-or-chunks';
    this.onCut(request, { bytesWritten: request.socket.bytesWritten, mark });
    response.destroy();
  }
}
