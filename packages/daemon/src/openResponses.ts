/** The responses that are outstanding on each connection of callers, which may pipeline their requests. */
import { type ResponseDelimiter } from '@cleatquay/calls';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type Duplex } from 'node:stream';
import { type CloseLog, type RequestProgress, type TrackedRequest, noteClose } from './closeLog.js';
import { type ResponseDelivery, deliveryOf } from './responseDelivery.js';

/** A request and its response. */
export class Exchange implements TrackedRequest {
  /** Set when the request leaves the gateway, whose ingress may run it from then on. */
  isPassedOn = false;

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
  ) {}

  get progress(): RequestProgress {
    if (this.response.headersSent) return 'responding';
    return this.isPassedOn ? 'passed-on' : 'waiting';
  }
}

/** A response that ended before its body was complete. */
export interface CutFacts {
  /** Bytes written to the connection, of all responses. */
  readonly bytesWritten: number;
  /** What shows the caller that it is incomplete; undefined if its head has not been written. */
  readonly delimiter: ResponseDelimiter | undefined;
}

/** A response of an upstream whose last byte was sent, or whose connection has ended. */
export interface DeliveryEnd extends Readonly<ResponseDelivery> {
  readonly isWhole: boolean;
}

/**
 * Sends what has been written of a response that is being cut. Node.js holds back what is written in one iteration of the event loop, and drops it
 * when the connection is closed: a caller would get no response at all where its upstream fails right after the beginning.
 */
function sendWritten(response: ServerResponse): void {
  const delivery = deliveryOf(response);
  if (!delivery || !lacksEnd(delivery)) return;
  const { socket } = response;
  while (socket && socket.writableCorked > 0) socket.uncork();
}

/** Whether what has been written shows that a part of the body is missing. */
function lacksEnd({ delimiter, length, bodyBytes }: ResponseDelivery): boolean {
  if (delimiter === 'no-body') return false;
  return length === undefined || bodyBytes < length;
}

/** Dependencies of the register. */
export interface OpenResponsesOptions {
  readonly onDeliveryEnd: (request: IncomingMessage, end: DeliveryEnd) => void;
  readonly onCut: (request: IncomingMessage, facts: CutFacts) => void;
  readonly closeLog: CloseLog;
}

/** Outstanding responses by connection. */
export class OpenResponses {
  private readonly exchanges = new WeakMap<Duplex, Set<Exchange>>();

  constructor(private readonly options: OpenResponsesOptions) {}

  /** Counts a response as outstanding until it is closed. */
  add(request: IncomingMessage, response: ServerResponse): Exchange {
    const exchanges = this.exchangesOf(request.socket);
    const exchange = new Exchange(request, response);
    exchanges.add(exchange);
    response.once('close', () => {
      exchanges.delete(exchange);
      const delivery = deliveryOf(response);
      if (delivery) this.options.onDeliveryEnd(request, { ...delivery, isWhole: response.writableFinished });
    });
    return exchange;
  }

  /**
   * Calls back once the responses to all requests that were received completely on the connection have been sent: the response
   * to invalid input must not be taken for one of theirs.
   */
  whenSent(socket: Duplex, callback: () => void): void {
    const exchanges = this.exchanges.get(socket);
    const next = exchanges && [...exchanges].find(({ request }) => request.complete);
    if (!next) return callback();
    next.response.once('close', () => this.whenSent(socket, callback));
  }

  /** Ends a response that can't be completed: its caller misses bytes of its length, or its last chunk. */
  cut(response: ServerResponse): void {
    if (response.destroyed || response.writableFinished) return;
    const { req: request } = response;
    sendWritten(response);
    const { bytesWritten } = request.socket;
    this.options.onCut(request, { bytesWritten, delimiter: deliveryOf(response)?.delimiter });
    noteClose(request.socket, 'cutResponse');
    response.destroy();
  }

  /** Closes a connection whose request is invalid, and cuts a response that is being sent on it. */
  closeConnection(socket: Socket): void {
    noteClose(socket, 'invalidInput');
    const current = [...(this.exchanges.get(socket) ?? [])].find(
      ({ response }) => response.socket === socket && response.headersSent,
    );
    if (current) this.cut(current.response);
    else socket.destroy();
  }

  private exchangesOf(socket: Socket): Set<Exchange> {
    const known = this.exchanges.get(socket);
    if (known) return known;
    const exchanges = new Set<Exchange>();
    this.exchanges.set(socket, exchanges);
    this.options.closeLog.follow(socket, exchanges);
    return exchanges;
  }
}
