/** HTTP connections to the upstream beside this daemon, and one request over them. */
import { type CancelSignal, type Clock } from '@cleatquay/clock';
import { type IncomingHttpHeaders } from 'node:http';
import { type Socket } from 'node:net';
import { Readable } from 'node:stream';
import { type Dispatcher, Pool, buildConnector } from 'undici';
import { PART_BYTES } from './answers.js';
import { type CallBody } from './callHandler.js';
import { AsyncQueue } from './linkParts.js';

/** An upstream on the same VM that takes longer to let a connection in is out, ms. */
const CONNECT_TIMEOUT_MS = 500;
/** Answer bytes held for a slow reader before the upstream is made to wait. */
const MAX_BUFFERED_BYTES = 128 * 1024;
/**
 * After an answer to another request, or a broken connection, requests that may run only once get connections of their
 * own for this long, ms: a lost confirmation is worth some hundred new connections.
 */
const NO_REUSE_MS = 30_000;
const BODYLESS_STATUSES = [204, 304];

/** What is asked of an upstream. */
export interface UpstreamRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  /** Undefined for none. */
  readonly body: CallBody | undefined;
  readonly idempotent: boolean;
  /** Says whether the headers are those of an answer to this request; if not, its connection is closed. */
  readonly isOwnAnswer: (status: number, headers: IncomingHttpHeaders) => boolean;
  /** Told of such an answer as soon as its headers are there, however long its body is. */
  readonly onOwnAnswer: (status: number, headers: IncomingHttpHeaders) => void;
}

/** An answer, or its beginning; the rest breaks with an error if the upstream's answer does. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** The whole body of a small answer, the first 64 KiB or so of a larger one. */
  readonly start: Buffer;
  /** What follows; undefined if `start` is the whole. */
  readonly rest: AsyncIterable<Buffer> | undefined;
  /** Only the end of the connection ended the answer. */
  readonly isUnframed: boolean;
}

/** The answer on the connection belongs to another request. The own request may have run. */
export class MisplacedAnswer extends Error {}

/** Pools of connections to one upstream. */
export class UpstreamConnections implements AsyncDisposable {
  private readonly keepAlivePool: Pool;
  private readonly singleUsePool: Pool;
  private hasDelimitedAnswers = false;
  private noReuseUntil = Number.NEGATIVE_INFINITY;
  /** Connections that ended with an error. */
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

  /** Sends a request and resolves with its answer once that is whole, or long. */
  ask(request: UpstreamRequest, signal: CancelSignal): Promise<UpstreamAnswer> {
    const isDistrusted = this.clock.now() < this.noReuseUntil;
    const pool = !request.idempotent && isDistrusted ? this.singleUsePool : this.keepAlivePool;
    return new Promise((resolve, reject) => {
      const settle = (answer: UpstreamAnswer) => {
        this.hasDelimitedAnswers ||= !answer.isUnframed;
        resolve(answer);
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
          body: body === undefined || Buffer.isBuffer(body) ? (body ?? null) : Readable.from(body),
        },
        exchange,
      );
    });
  }

  /** Whether the upstream usually says where its answers end. */
  get framesAnswers(): boolean {
    return this.hasDelimitedAnswers;
  }

  /** Something came over a kept connection that should not have. */
  distrust(): void {
    this.noReuseUntil = this.clock.now() + NO_REUSE_MS;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([this.keepAlivePool.close(), this.singleUsePool.close()]);
  }

  private connector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) => {
      connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
        if (error) return callback(error, null);
        (socket as Socket).on('error', () => this.connectionErrors++);
        callback(null, socket);
      });
    };
  }
}

/** One request and its answer, as undici tells of them. */
class Exchange implements Dispatcher.DispatchHandler {
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private startChunks: Buffer[] = [];
  private startBytes = 0;
  private restQueue: AsyncQueue<Buffer | 'end'> | undefined;
  private bufferedBytes = 0;
  private controller: Dispatcher.DispatchController | undefined;
  private errorsAtHead: number | undefined;
  private readonly onAbort = () => this.cancel();

  constructor(
    private readonly request: UpstreamRequest,
    private readonly signal: CancelSignal,
    private readonly settle: { resolve: (answer: UpstreamAnswer) => void; reject: (error: unknown) => void },
    private readonly connectionErrors: () => number,
  ) {
    signal.addEventListener('abort', this.onAbort, { once: true });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.signal.aborted) this.cancel();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (status < 200) return;
    if (!this.request.isOwnAnswer(status, headers)) {
      controller.abort(new MisplacedAnswer('What came on the connection is no answer to the request.'));
      return;
    }
    this.request.onOwnAnswer(status, headers);
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
   * The end of an answer. Where only the end of its connection shows that it is whole, undici takes a reset connection
   * for an end, too. Any reset of a connection to this upstream meanwhile makes such an answer suspect.
   */
  onResponseEnd(): void {
    this.signal.removeEventListener('abort', this.onAbort);
    const isSuspect = this.errorsAtHead !== undefined && this.errorsAtHead !== this.connectionErrors();
    if (isSuspect) this.fail(new Error('A connection was reset before the end of the answer.'));
    else if (this.restQueue) this.restQueue.push('end');
    else this.settle.resolve(this.answer());
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.signal.removeEventListener('abort', this.onAbort);
    this.fail(error);
  }

  private cancel(): void {
    const error = this.signal.reason as Error;
    this.fail(error);
    if (this.controller && !this.controller.aborted) this.controller.abort(error);
  }

  private fail(error: Error): void {
    this.settle.reject(error);
    this.restQueue?.fail(error);
  }

  private startStreaming(): void {
    this.restQueue = new AsyncQueue();
    this.settle.resolve(this.answer(this.readRest(this.restQueue)));
  }

  private answer(rest?: AsyncIterable<Buffer>): UpstreamAnswer {
    const start =
      this.startChunks.length === 1 && this.startChunks[0]
        ? this.startChunks[0]
        : Buffer.concat(this.startChunks);
    this.startChunks = [];
    const isUnframed = this.errorsAtHead !== undefined;
    return { status: this.status, headers: this.headers, start, rest, isUnframed };
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
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return !isFramed && method !== 'HEAD' && !BODYLESS_STATUSES.includes(status);
}
