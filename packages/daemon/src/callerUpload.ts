/** Reads the body of an upload from its caller: only as far as it is wanted, within the limits, and never beyond an end of the connection. */
import { type UploadSource } from '@cleatquay/calls';
import { type Clock, type Timer } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';
import { type RouteLimits } from '@cleatquay/routes';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';
import { writeHttpParserError } from './callerResponse.js';

/** Bytes that are read before they are wanted: an end of the connection is only seen while it is read. */
const READ_AHEAD_BYTES = 65_536;

/** The uploads that are being received, for errors of their connections. */
const receiving = new WeakMap<Duplex, CallerUpload>();

/**
 * Handles an error of the HTTP parser on a connection: a body that breaks off is one, too. `close` ends the connection and the response that is being
 * sent on it.
 */
export function handleParserError(error: Error & { code?: string }, socket: Duplex, close: () => void): void {
  const upload = receiving.get(socket);
  if (!upload) return writeHttpParserError(error, socket);
  // A caller would take an error that follows a part of a response for the rest of it.
  if (upload.hasResponded) close();
  else writeHttpParserError(error, socket, 'bodyIncomplete');
}

/** The body of one request. */
export class CallerUpload implements UploadSource {
  private readonly chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private receivedBytes = 0;
  private isEnded = false;
  private isClosed = false;
  private failure: Failure | undefined;
  private wake: (() => void) | undefined;
  private readonly closeListeners: (() => void)[] = [];

  constructor(
    private readonly clock: Clock,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly limits: RouteLimits,
  ) {
    receiving.set(request.socket, this);
    request.on('data', (chunk: Buffer) => this.receive(chunk));
    request.on('end', () => this.finish());
    request.on('error', () => this.breakOff());
    request.on('close', () => this.breakOff());
    response.on('finish', () => this.discardRest());
    response.on('close', () => this.close());
  }

  /** Whether a part of the response has been sent. */
  get hasResponded(): boolean {
    return this.response.headersSent;
  }

  async next(): Promise<Uint8Array | undefined> {
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

  private async waitForCaller(): Promise<void> {
    const timer: Timer = this.clock.after(this.limits.idleTimeoutMs, () =>
      this.fail(new Failure('The caller paused in its body for too long.', { result: 'bodyTimedOut' })),
    );
    await new Promise<void>(resolve => (this.wake = resolve));
    this.wake = undefined;
    timer[Symbol.dispose]();
  }

  private receive(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    const { bodyBytes } = this.limits;
    if (this.isClosed || this.failure) {
      if (this.receivedBytes > 2 * bodyBytes) this.request.destroy();
      return;
    }
    if (this.receivedBytes > bodyBytes)
      return this.fail(
        new Failure(`Expected a body of at most ${String(bodyBytes)} bytes.`, { result: 'requestTooLarge' }),
      );
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
