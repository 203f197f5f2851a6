/** HTTP connections to the local upstream, and requests over them. */
import { type CancelSignal, type Clock } from '@cleatquay/clock';
import { type IncomingHttpHeaders } from 'node:http';
import { type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { type Dispatcher, Pool, buildConnector } from 'undici';
import { PART_BYTES } from './responses.js';
import { type CallBody } from './callHandler.js';
import { AsyncQueue } from './flowControl.js';
import { type RequestProgress, UnqueuedRequest, withEnd } from './requestProgress.js';

/** An upstream on the same VM that takes longer to accept a connection is considered down. */
const CONNECT_TIMEOUT_MS = 500;
/** Response bytes buffered for a slow reader before reading from the upstream pauses. */
const MAX_BUFFERED_BYTES = 128 * 1024;
/**
 * For this long after a mismatched response or a failed connection, non-idempotent requests use a new connection each:
 * losing the response of one would cost more than some hundred new connections.
 */
const NO_REUSE_MS = 30_000;
const BODYLESS_STATUSES = [204, 304];

/** A request to an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: CallBody | undefined;
  readonly idempotent: boolean;
  readonly progress?: RequestProgress | undefined;
  /** Whether a response with these headers belongs to this request; if not, its connection is closed. */
  readonly isOwnResponse: (status: number, headers: IncomingHttpHeaders) => boolean;
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
  /** The response is close-delimited: only the end of its connection marks its end (RFC 9112, section 6.3). */
  readonly isCloseDelimited: boolean;
}

/** The response on the connection belongs to another request. The upstream may have run this one nevertheless. */
export class ResponseMismatch extends Error {}

/** What was known of a connection when it failed. */
export interface FailedConnection {
  readonly ageMs: number;
  /** Bytes received on it; none on a connection that never had a response. */
  readonly bytesRead: number;
  readonly bytesWritten: number;
}

/** Connection pools of one upstream: one that reuses connections, and one that opens a new connection for each request. */
export class UpstreamConnections implements AsyncDisposable {
  private readonly keepAlivePool: Pool;
  private readonly singleUsePool: Pool;
  private hasDelimitedResponses = false;
  private noReuseUntil = Number.NEGATIVE_INFINITY;
  private readonly failedConnections = new WeakMap<object, FailedConnection>();
  /** Number of connections that have failed so far. */
  private connectionErrors = 0;

  constructor(
    private readonly clock: Clock,
    address: string,
    connections: number,
  ) {
    const options = { connections, headersTimeout: 0, bodyTimeout: 0, connect: this.connector() };
    this.keepAlivePool = new Pool(`http://${address}`, options);
    this.singleUsePool = new Pool(`http://${address}`, { ...options, pipelining: 0 });
  }

  /** Sends a request; resolves when the response is complete, or has become too large for a single part. */
  send(request: UpstreamRequest, signal: CancelSignal): Promise<UpstreamResponse> {
    const isReuseUnsafe = this.clock.now() < this.noReuseUntil;
    const pool = !request.idempotent && isReuseUnsafe ? this.singleUsePool : this.keepAlivePool;
    return new Promise((resolve, reject) => {
      const settle = (response: UpstreamResponse) => {
        this.hasDelimitedResponses ||= !response.isCloseDelimited;
        resolve(response);
      };
      const exchange = new Exchange(
        request,
        signal,
        { resolve: settle, reject },
        () => this.connectionErrors,
      );
      const { method, path, headers, body } = request;
      pool.dispatch(
        {
          method: method as Dispatcher.HttpMethod,
          path,
          headers,
          body:
            body === undefined || Buffer.isBuffer(body)
              ? (body ?? null)
              : Readable.from(withEnd(body, () => exchange.onStreamedBodyEnd())),
        },
        exchange,
      );
    });
  }

  /** Whether the upstream has sent a response that is not close-delimited; a later close-delimited one is probably truncated. */
  get delimitsResponses(): boolean {
    return this.hasDelimitedResponses;
  }

  /** Called after a mismatched response or a failed connection: stops the reuse of connections for non-idempotent requests for a while. */
  suspendReuse(): void {
    this.noReuseUntil = this.clock.now() + NO_REUSE_MS;
  }

  /** The connection whose failure ended an exchange with this error; undefined if the error has another cause. */
  failedConnection(error: unknown): FailedConnection | undefined {
    return typeof error === 'object' && error !== null ? this.failedConnections.get(error) : undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([this.keepAlivePool.close(), this.singleUsePool.close()]);
  }

  private connector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) => {
      connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
        if (error) return callback(error, null);
        this.watch(socket as Socket);
        callback(null, socket);
      });
    };
  }

  private watch(socket: Socket): void {
    const openedAt = this.clock.now();
    socket.on('error', error => {
      this.connectionErrors++;
      const ageMs = Math.round(this.clock.now() - openedAt);
      const { bytesRead, bytesWritten } = socket;
      this.failedConnections.set(error, { ageMs, bytesRead, bytesWritten });
    });
  }
}

/** One request and its response, as a handler of undici's events. */
class Exchange implements Dispatcher.DispatchHandler {
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private startChunks: Buffer[] = [];
  private startBytes = 0;
  private restQueue: AsyncQueue<Buffer | 'end'> | undefined;
  private bufferedBytes = 0;
  private isFailed = false;
  private controller: Dispatcher.DispatchController | undefined;
  private errorsAtHead: number | undefined;
  private readonly onAbort = () => this.cancel();

  constructor(
    private readonly request: UpstreamRequest,
    private readonly signal: CancelSignal,
    private readonly settle: { resolve: (value: UpstreamResponse) => void; reject: (error: unknown) => void },
    private readonly connectionErrors: () => number,
  ) {
    signal.addEventListener('abort', this.onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.signal.aborted) return this.cancel();
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
    if (!this.request.isOwnResponse(status, headers)) {
      controller.abort(new ResponseMismatch('The response on the connection belongs to another request.'));
      return;
    }
    this.request.onOwnResponse(status, headers);
    if (isCloseDelimited(this.request.method, status, headers)) this.errorsAtHead = this.connectionErrors();
    this.status = status;
    this.headers = headers;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.restQueue) {
      this.startChunks.push(chunk);
      this.startBytes += chunk.length;
      if (this.startBytes >= PART_BYTES) this.startStreaming();
      return;
    }
    this.restQueue.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) controller.pause();
  }

  /**
   * undici also reports a reset connection as the end of a close-delimited response. Such a response is therefore treated
   * as truncated if any connection to this upstream failed while it was received.
   */
  onResponseEnd(): void {
    this.signal.removeEventListener('abort', this.onAbort);
    const mayBeTruncated = this.errorsAtHead !== undefined && this.errorsAtHead !== this.connectionErrors();
    if (mayBeTruncated) this.fail(new Error('A connection was reset before the end of the response.'));
    else if (this.restQueue) this.restQueue.push('end');
    else this.settle.resolve(this.createResponse());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.signal.removeEventListener('abort', this.onAbort);
    this.fail(error);
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
    const start =
      this.startChunks.length === 1 && this.startChunks[0]
        ? this.startChunks[0]
        : Buffer.concat(this.startChunks);
    this.startChunks = [];
    const isDelimitedByClose = this.errorsAtHead !== undefined;
    return { status: this.status, headers: this.headers, start, rest, isCloseDelimited: isDelimitedByClose };
  }

  private async *readRest(rest: AsyncQueue<Buffer | 'end'>): AsyncGenerator<Buffer> {
    for (;;) {
      const chunk = await rest.next();
      if (chunk === 'end') return;
      this.bufferedBytes -= chunk.length;
      if (this.controller?.paused && this.bufferedBytes <= MAX_BUFFERED_BYTES / 2) this.controller.resume();
      yield chunk;
    }
  }
}

function isCloseDelimited(method: string, status: number, headers: IncomingHttpHeaders): boolean {
  const hasDelimiter = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !hasDelimiter && method !== 'HEAD' && !BODYLESS_STATUSES.includes(status);
}
