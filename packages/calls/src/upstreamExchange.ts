/** One request to an upstream and its response. */
import { type CancelSignal } from '@cleatquay/clock';
import { type IncomingHttpHeaders } from 'node:http';
import { type Dispatcher } from 'undici';
import { PART_BYTES } from './responses.js';
import { type CallBody } from './callHandler.js';
import { AsyncQueue } from './flowControl.js';
import { type RequestProgress, UnqueuedRequest } from './requestProgress.js';
import { BodyPieces } from './bodyPieces.js';
import { type ResponseDelimiter, delimiterOf } from './responseDelimiter.js';
import { PIECE_OVERHEAD_BYTES, type StreamPacer } from './streamPacer.js';
import { type StreamReservation } from './streamMemory.js';
import { type ConnectionUse, NO_CONNECTION, type UpstreamConnection } from './upstreamConnection.js';

/** Response bytes buffered for a slow reader before reading from the upstream pauses. */
const MAX_BUFFERED_BYTES = 128 * 1024;
/** Pieces after which a response below 64 KiB is paced as a stream: in chunks of a byte, it costs more than a long one. */
const MAX_UNPACED_PIECES = 32;
/** A shorter response in more pieces is streamed, so that it ends at the timeout of its route. */
const MAX_START_PIECES = 1024;

/** A request to an upstream. */
export interface UpstreamRequest {
  /** Identifies the request, also among sends of it. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: CallBody | undefined;
  readonly idempotent: boolean;
  readonly progress?: RequestProgress | undefined;
  /**
   * Whether a response with these headers belongs to this request; if not, its connection is closed. `isFirst` states that the connection has
   * carried no other request.
   */
  readonly isOwnResponse: (status: number, headers: IncomingHttpHeaders, isFirst: boolean) => boolean;
  /** Called with the headers of such a response as soon as they arrive, before the body. */
  readonly onOwnResponse: (status: number, headers: IncomingHttpHeaders) => void;
}

/** A response, or its beginning. Reading the rest throws if the upstream's response is truncated. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The complete body of a small response, about the first 64 KiB of a larger one. */
  readonly start: Buffer;
  /** The remaining body; undefined if `start` is complete. */
  readonly rest: AsyncIterable<Buffer> | undefined;
  /** The connection on which the request was sent. */
  readonly connection: ConnectionUse;
  readonly delimiter: ResponseDelimiter;
}

/** The response on the connection belongs to another request. The upstream may have run this one nevertheless. */
export class ResponseMismatch extends Error {}

function isLengthMismatch({ code }: NodeJS.ErrnoException): boolean {
  return code === 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';
}

/** A request that is being sent and its response, as a handler of undici's events. */
export class UpstreamExchange implements Dispatcher.DispatchHandler {
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private readonly startPieces = new BodyPieces();
  private pieces = 0;
  private restQueue: AsyncQueue<Buffer | 'end'> | undefined;
  private bufferedBytes = 0;
  private readonly reservation: StreamReservation;
  /** Cost of the pieces that were read while this exchange waits for the pacer. */
  private unpacedCost = 0;
  private isWaitingForPacer = false;
  private isFailed = false;
  private isEnded = false;
  private controller: Dispatcher.DispatchController | undefined;
  private delimiter: ResponseDelimiter = 'no-body';
  private connection: UpstreamConnection | undefined;
  private use: ConnectionUse = NO_CONNECTION;
  private readonly onAbort = () => this.cancel();

  constructor(
    private readonly request: UpstreamRequest,
    private readonly signal: CancelSignal,
    private readonly pacer: StreamPacer,
    private readonly settle: { resolve: (value: UpstreamResponse) => void; reject: (error: unknown) => void },
  ) {
    this.reservation = pacer.memory.reserve();
    signal.addEventListener('abort', this.onAbort, { once: true });
  }

  /** Called with the connection before the request is dispatched on it. */
  onConnection(connection: UpstreamConnection): void {
    this.connection = connection;
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.signal.aborted) return this.cancel();
    this.use = this.connection?.recordRequest(this.request.id) ?? NO_CONNECTION;
    const { body } = this.request;
    if (body === undefined || Buffer.isBuffer(body)) this.reportSent();
  }

  /** Called when a streamed body has been taken completely. */
  onStreamedBodyEnd(): void {
    this.reportSent();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    if (!this.request.isOwnResponse(status, headers, this.use.requestsBefore === 0)) {
      controller.abort(new ResponseMismatch('The response on the connection belongs to another request.'));
      return;
    }
    this.delimiter = delimiterOf(this.request.method, status, headers);
    if (this.delimiter === 'length' && !Number.isSafeInteger(Number(headers['content-length']))) {
      controller.abort(new Error('The length of the response is not a number of bytes that can be sent.'));
      return;
    }
    this.request.onOwnResponse(status, headers);
    this.status = status;
    this.headers = headers;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.connection?.recordBody();
    const cost = chunk.length + PIECE_OVERHEAD_BYTES;
    if (++this.pieces > MAX_UNPACED_PIECES || this.restQueue) this.pace(cost);
    if (this.restQueue) {
      this.restQueue.push(chunk);
      this.bufferedBytes += cost;
      this.reservation.add(cost);
      this.holdOrReleaseReading();
      return;
    }
    this.startPieces.add(chunk);
    if (this.startPieces.bytes >= PART_BYTES || this.pieces >= MAX_START_PIECES) this.startStreaming();
  }

  private pace(cost: number): void {
    this.unpacedCost += cost;
    if (this.isWaitingForPacer) return;
    const wait = this.pacer.acquire(this.unpacedCost);
    this.unpacedCost = 0;
    if (!wait) return;
    this.isWaitingForPacer = true;
    this.holdOrReleaseReading();
    void wait.then(() => {
      this.isWaitingForPacer = false;
      if (this.unpacedCost > 0) this.pace(0);
      this.holdOrReleaseReading();
    });
  }

  private holdOrReleaseReading(): void {
    if (this.isEnded) return;
    const maxBytes = this.pacer.memory.isFull ? 0 : MAX_BUFFERED_BYTES;
    if (this.isWaitingForPacer || this.bufferedBytes > maxBytes) this.connection?.holdReading();
    else if (this.bufferedBytes <= maxBytes / 2) this.connection?.releaseReading();
  }

  /**
   * undici also reports a reset connection as the end of a close-delimited response. Such a response is therefore treated as truncated if its
   * connection has failed.
   */
  onResponseEnd(): void {
    this.end();
    const failure = this.delimiter === 'close' ? this.connection?.failure : undefined;
    if (failure) this.fail(failure);
    else if (this.restQueue) this.restQueue.push('end');
    else this.settle.resolve(this.createResponse());
  }

  /** undici compares the length that a response states with its body also where the response has none. */
  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.delimiter === 'no-body' && isLengthMismatch(error)) return this.onResponseEnd();
    this.end();
    this.fail(error);
  }

  /** The connection is free for other requests. */
  private end(): void {
    this.isEnded = true;
    this.signal.removeEventListener('abort', this.onAbort);
    this.connection?.releaseReading();
  }

  private reportSent(): void {
    if (!this.isFailed) this.request.progress?.onSent(error => this.cancel(error));
  }

  private cancel(error = this.signal.reason as Error): void {
    this.fail(error);
    if (this.controller && !this.controller.aborted) this.controller.abort(error);
  }

  private fail(error: Error): void {
    this.isFailed = true;
    this.request.progress?.onEnd(error instanceof UnqueuedRequest);
    this.settle.reject(error);
    this.restQueue?.fail(error);
  }

  private startStreaming(): void {
    this.restQueue = new AsyncQueue();
    this.settle.resolve(this.createResponse(this.readRest(this.restQueue)));
  }

  private createResponse(rest?: AsyncIterable<Buffer>): UpstreamResponse {
    return {
      status: this.status,
      headers: this.headers,
      start: this.startPieces.take(),
      rest,
      connection: this.use,
      delimiter: this.delimiter,
    };
  }

  private async *readRest(rest: AsyncQueue<Buffer | 'end'>): AsyncGenerator<Buffer> {
    using reservation = this.reservation;
    for (;;) {
      const chunk = await rest.next();
      if (chunk === 'end') return;
      const cost = chunk.length + PIECE_OVERHEAD_BYTES;
      this.bufferedBytes -= cost;
      reservation.shrink(cost);
      this.holdOrReleaseReading();
      yield chunk;
    }
  }
}
