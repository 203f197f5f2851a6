/** The body of an upload at its ingress: read from the caller only as an upstream takes it, and kept from its beginning while memory allows. */
import { Failure } from '@cleatquay/errors';
import { type RequestBody, type UploadSource } from './requestBody.js';
import { type UploadReservation } from './uploadBudget.js';

/** More of a body is not kept for replay; most uploads are shorter. */
const MAX_REPLAY_BYTES = 256 * 1024;
/** The bytes that enter a request's fingerprint. */
const FINGERPRINTED_BYTES = 65_536;

/** What attempts have read of a body. */
export interface UploadProgress {
  /** Whether the current attempt has read a byte or the end, so that its upstream may have received the request. */
  readonly hasSent: boolean;
  /** Whether the body can be read from its beginning. */
  readonly isReplayable: boolean;
  /** Bytes received from the caller. */
  readonly receivedBytes: number;
  /** Why the caller's body can't be completed; undefined while it may be. */
  readonly failure: Failure | undefined;
  /** Whether the body is wanted and the caller is not sending it. */
  readonly isWaitingForCaller: boolean;
}

/** A body whose chunks are numbered from 0; those before `firstKept` have been discarded. */
export class UploadBody implements RequestBody, UploadProgress {
  readonly completeBody = undefined;
  receivedBytes = 0;
  failure: Failure | undefined;
  hasSent = false;
  private kept: Uint8Array[] = [];
  private keptBytes = 0;
  private firstKept = 0;
  /** Number of the next chunk of the current attempt. */
  private position = 0;
  private attempts = 0;
  private isKeeping = true;
  private isEnded = false;
  private pendingRead: Promise<void> | undefined;

  constructor(
    private readonly source: UploadSource,
    private readonly reservation: UploadReservation,
  ) {
    source.whenClosed(() => this.close());
  }

  get isReplayable(): boolean {
    return this.firstKept === 0 && this.failure === undefined;
  }

  get isWaitingForCaller(): boolean {
    return this.pendingRead !== undefined;
  }

  get bufferedStart(): Buffer | undefined {
    const isStartComplete = this.isEnded || this.receivedBytes >= FINGERPRINTED_BYTES;
    return this.firstKept === 0 && isStartComplete ? Buffer.concat(this.kept) : undefined;
  }

  async prefetch(needsStart: boolean): Promise<void> {
    if (!needsStart) return;
    while (this.receivedBytes < FINGERPRINTED_BYTES && !this.isEnded && !this.failure) await this.readNext();
  }

  read(): Promise<AsyncIterable<Uint8Array>> {
    this.attempts++;
    this.position = 0;
    this.hasSent = false;
    return Promise.resolve(this.stream(this.attempts));
  }

  private async *stream(attempt: number): AsyncGenerator<Uint8Array> {
    if (this.firstKept > 0) throw new Error('The beginning of the body is no longer buffered.');
    for (;;) {
      if (attempt !== this.attempts) throw new Error('A later attempt reads the body.');
      while (this.position - this.firstKept >= this.kept.length) {
        if (this.failure) throw this.failure;
        if (this.isEnded) {
          this.hasSent = true;
          return;
        }
        await this.readNext();
        if (attempt !== this.attempts) throw new Error('A later attempt reads the body.');
      }
      const chunk = this.kept[this.position - this.firstKept];
      if (!chunk) throw new Error('A chunk was discarded before it was sent.');
      this.position++;
      this.hasSent = true;
      if (!this.isKeeping) this.discardSent();
      yield chunk;
    }
  }

  /** Reads the next chunk; an attempt that starts while an earlier one was waiting for it waits for the same one. */
  private readNext(): Promise<void> {
    this.pendingRead ??= this.readChunk().finally(() => (this.pendingRead = undefined));
    return this.pendingRead;
  }

  private async readChunk(): Promise<void> {
    try {
      const chunk = await this.source.next();
      if (!chunk) this.isEnded = true;
      else if (!this.failure) this.add(chunk);
    } catch (error) {
      this.failure =
        error instanceof Failure
          ? (error as Failure)
          : new Failure('The body broke off.', { result: 'bodyIncomplete', cause: error });
    }
  }

  private add(chunk: Uint8Array): void {
    this.receivedBytes += chunk.length;
    this.reservation.countReceived(chunk.length);
    this.kept.push(chunk);
    if (!this.isKeeping) return;
    if (this.receivedBytes <= MAX_REPLAY_BYTES && this.reservation.grow(chunk.length))
      this.keptBytes += chunk.length;
    else this.stopKeeping();
  }

  private stopKeeping(): void {
    this.isKeeping = false;
    this.discardSent();
    this.reservation.shrink(this.keptBytes);
    this.keptBytes = 0;
  }

  private discardSent(): void {
    this.kept.splice(0, this.position - this.firstKept);
    this.firstKept = this.position;
  }

  private close(): void {
    // Also for a body that was received completely: an attempt that is still sending it must not take its end for the end of the body.
    this.failure ??= CALLER_GONE;
    this.kept = [];
    this.firstKept = this.position = Number.MAX_SAFE_INTEGER;
    this.reservation[Symbol.dispose]();
  }
}

const CALLER_GONE = new Failure('The request of the caller has ended.', { result: 'bodyIncomplete' });
