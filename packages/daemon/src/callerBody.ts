/**
 * Reads the body of a request from its caller: only as far as it is wanted, within the limits, and never beyond an end of the connection. What is
 * left of it when the response is complete is discarded.
 */
import { type UploadSource, type UploadableBody } from '@cleatquay/calls';
import { type Clock, type Timer } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { writeHttpParserError } from './callerResponse.js';

/** Bytes that are read before they are wanted: an end of the connection is only seen while it is read. */
const READ_AHEAD_BYTES = 65_536;

/** The bodies that are being received, for errors of their connections. */
const receiving = new WeakMap<Duplex, CallerBody>();

/**
 * Handles an error of the HTTP parser on a connection: a body that breaks off is one, too. `close` ends the connection and the response that is being
 * sent on it.
 */
export function handleParserError(error: Error & { code?: string }, socket: Duplex, close: () => void): void {
  const body = receiving.get(socket);
  if (!body) return writeHttpParserError(error, socket);
  // A caller would take an error that follows a part of a response for the rest of it.
  if (body.hasResponded) close();
  else writeHttpParserError(error, socket, 'bodyIncomplete');
}

/** Whether a request has a body, which may be empty. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Limits of a body. */
export interface BodyLimits {
  readonly bodyBytes: number;
  /** How long the caller of an upload may pause, and how long the rest of a body is read after the response, ms. */
  readonly idleTimeoutMs: number;
}

/** The failure of a body that is too long. */
export function bodyTooLarge({ bodyBytes }: BodyLimits): Failure {
  return new Failure(`Expected a body of at most ${String(bodyBytes)} bytes.`, { result: 'requestTooLarge' });
}

/** The body of one request. It is not taken from the connection before it is read. */
export class CallerBody implements UploadSource, UploadableBody {
  private readonly chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private receivedBytes = 0;
  private isStarted = false;
  private isUpload = false;
  private isEnded = false;
  private isClosed = false;
  private failure: Failure | undefined;
  private wake: (() => void) | undefined;
  private readonly closeListeners: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly limits: BodyLimits,
  ) {}

  /** Whether a part of the response has been sent. */
  get hasResponded(): boolean {
    return this.response.headersSent;
  }

  /** Begins to receive the body as an upload, whose caller may not pause for long. */
  openUpload(): UploadSource {
    this.isUpload = true;
    this.start();
    return this;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
    for (let chunk = await this.next(); chunk; chunk = await this.next()) yield chunk;
  }

  async next(): Promise<Uint8Array | undefined> {
    this.start();
    for (;;) {
      const chunk = this.chunks.shift();
      if (chunk) {
        this.bufferedBytes -= chunk.length;
        if (this.bufferedBytes < READ_AHEAD_BYTES) this.request.resume();
        return chunk;
      }
      if (this.failure) throw this.failure;
      if (this.isEnded) return undefined;
      await this.waitForCaller();
    }
  }

  whenClosed(listener: () => void): void {
    if (this.isClosed) listener();
    else this.closeListeners.push(listener);
  }

  private start(): void {
    if (this.isStarted) return;
    this.isStarted = true;
    const { request, response } = this;
    receiving.set(request.socket, this);
    request.on('data', (chunk: Buffer) => this.receive(chunk));
    request.on('end', () => this.finish());
    request.on('error', () => this.breakOff());
    request.on('close', () => this.breakOff());
    response.on('finish', () => this.discardRest());
    response.on('close', () => this.close());
  }

  private async waitForCaller(): Promise<void> {
    using timer = this.isUpload ? this.limitPause() : undefined;
    void timer;
    await new Promise<void>(resolve => (this.wake = resolve));
    this.wake = undefined;
  }

  private limitPause(): Timer {
    return this.clock.after(this.limits.idleTimeoutMs, () =>
      this.fail(new Failure('The caller paused in its body for too long.', { result: 'bodyTimedOut' })),
    );
  }

  private receive(chunk: Buffer): void {
    if (this.isClosed || this.failure) return;
    this.receivedBytes += chunk.length;
    const { bodyBytes } = this.limits;
    if (this.receivedBytes > bodyBytes) return this.fail(bodyTooLarge(this.limits));
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes >= READ_AHEAD_BYTES) this.request.pause();
    this.wake?.();
  }

  private finish(): void {
    if (!this.request.complete) return this.breakOff();
    this.isEnded = true;
    this.unregister();
    this.wake?.();
  }

  private breakOff(): void {
    this.unregister();
    if (!this.isEnded)
      this.fail(new Failure('The body ended before its announced end.', { result: 'bodyIncomplete' }));
  }

  /** A later request that the caller pipelined may be registered for the connection already. */
  private unregister(): void {
    if (receiving.get(this.request.socket) === this) receiving.delete(this.request.socket);
  }

  private fail(failure: Failure): void {
    this.failure ??= failure;
    this.discard();
    this.wake?.();
  }

  /** The response is complete: the rest of the body is read and discarded, so that the connection can be used for the next request. */
  private discardRest(): void {
    if (!this.isEnded) this.fail(new Failure('The response was complete.', { result: 'bodyIncomplete' }));
    this.request.resume();
  }

  private close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.discardRest();
    for (const listener of this.closeListeners) listener();
  }

  private discard(): void {
    this.chunks.length = 0;
    this.bufferedBytes = 0;
  }
}
