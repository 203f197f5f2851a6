/** The client side of a link: a long-lived TCP connection to one peer that multiplexes many calls. */
import { type CancelSignal, type Clock, NO_METER, SendTime } from '@cleatquay/clock';
import {
  type AnswerPart,
  type ConfigurationAnswer,
  type ConfigurationRequest,
  type LinkFrame,
  type LinkItem,
  type RequestHead,
  type RequestPart,
} from '@cleatquay/protocol';
import { type Socket } from 'node:net';
import { PART_BYTES } from './responses.js';
import { type CallResponse, type CallBody, singlePartResponse, isFinalPart } from './callHandler.js';
import { toSentAt } from './transitDelays.js';
import { HeadEncoder, NO_HEAD } from './headCompression.js';
import { AsyncQueue, FrameWriter, SendWindow } from './flowControl.js';
import { sendUpload, uploadWindow } from './uploadSender.js';
import { FrameStream } from './frameStream.js';
import { StreamMemory } from './streamMemory.js';
import { ConnectionLoss } from './connectionLoss.js';
import { UNKNOWN_PROCESS } from './processIdentity.js';

/** How often a link with pending calls is checked. */
export const LIVENESS_CHECK_INTERVAL_MS = 50;
/** A peer that sends nothing for this long while calls are pending is pinged: many round trips of 2 ms. */
const PING_AFTER_SILENCE_MS = 100;
/** A peer that sends nothing for this long, not even a pong, gets no new calls if another peer can take them. */
const UNRESPONSIVE_AFTER_MS = 300;
/**
 * A peer that sends nothing for this long, not even a pong, is unreachable. Longer than the pauses of a busy daemon
 * that warms up, shorter than the latency targets of most callers.
 */
const UNREACHABLE_AFTER_MS = 900;

/** Parts of a response that the peer may send ahead of those that were read, if there is memory: 192 KiB. */
const MAX_PARTS_AHEAD = 3;

/** A call that waits for its first response part, or whose later parts are being read. */
interface PendingCall {
  /** Receives the first part, which is the only one of most responses. */
  readonly onFirstPart: (part: AnswerPart) => void;
  /** Ends the call with an error, before or after its first part. */
  readonly onFailure: (error: ConnectionLoss) => void;
  laterParts: AsyncQueue<AnswerPart> | undefined;
  /** Defined only for requests that are sent in several parts. */
  window: SendWindow | undefined;
}

/** A configuration request that waits for the peer's response. */
interface PendingConfiguration {
  readonly resolve: (response: ConfigurationAnswer) => void;
  readonly reject: (error: ConnectionLoss) => void;
}

/** The client side of one link. It ends when the connection closes or the peer becomes unreachable. */
export class LinkClient {
  private readonly calls = new Map<number, PendingCall>();
  private readonly pendingConfigurations = new Map<number, PendingConfiguration>();
  private readonly headEncoder = new HeadEncoder();
  private readonly stream: FrameStream;
  private readonly writer: FrameWriter;
  private onFirstFrame: () => void = () => undefined;
  private lastCallNumber = 0;
  private lastPing = 0;
  private lastPingedAt = Number.NEGATIVE_INFINITY;
  private isPeerUnresponsive = false;
  private lastReceivedAt: number;
  private lastCheckedAt = 0;
  private failure: ConnectionLoss | undefined;
  private peerProcess = UNKNOWN_PROCESS;

  constructor(
    private readonly clock: Clock,
    private readonly address: string,
    socket: Socket,
    /** Called once when the link has ended. */
    private readonly onEnd: () => void,
    private readonly streamMemory = new StreamMemory(),
    /** Measures the handlers of frames and of responses. */
    private readonly meter = NO_METER,
  ) {
    this.lastReceivedAt = clock.now();
    const onFrame = (frame: LinkFrame) => this.handleFrame(frame);
    this.stream = new FrameStream(socket, { onFrame, onEnd: reason => this.fail(reason) }, meter);
    const sendTime = new SendTime(clock);
    this.writer = new FrameWriter(items => this.stream.write({ items, sentAt: toSentAt(sendTime.now()) }));
  }

  /**
   * Resolves once the peer has responded to a ping. The TCP handshake alone proves nothing: the kernel accepts
   * connections for a stopped process, too.
   */
  async waitUntilOpen(): Promise<void> {
    const firstFrame = new Promise<void>(resolve => (this.onFirstFrame = resolve));
    this.ping(this.clock.now());
    await firstFrame;
    if (this.failure) throw new ConnectionLoss(this.failure.message, true);
  }

  /** Whether calls are pending, or the peer is unresponsive and has to be checked until it responds or is unreachable. */
  get isInUse(): boolean {
    return this.calls.size > 0 || this.pendingConfigurations.size > 0 || this.isPeerUnresponsive;
  }

  /** The process that the link leads to; known once it is open. */
  get process(): string {
    return this.peerProcess;
  }

  /** Whether the peer has sent nothing for longer than expected, not even a pong, while calls were pending. */
  get isUnresponsive(): boolean {
    return this.isPeerUnresponsive;
  }

  /** When the peer last sent something, on this daemon's clock. */
  get lastActivityAt(): number {
    return this.lastReceivedAt;
  }

  /** Makes one call. Rejects with ConnectionLoss if the call ends before its last part. */
  exchange(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallResponse> {
    if (this.failure) return Promise.reject(new ConnectionLoss(this.failure.message, true));
    if (signal.aborted) return Promise.reject(new ConnectionLoss('The call was cancelled.', true));
    const number = ++this.lastCallNumber;
    if (!this.isInUse) this.resetSilenceTimer();
    return new Promise((resolve, reject) => {
      const cancel = () =>
        call.onFailure(new ConnectionLoss('The call was cancelled.', false, this.peerProcess));
      const finish = (isComplete: boolean) => {
        signal.removeEventListener('abort', cancel);
        this.endCall(number, call, isComplete);
      };
      const call: PendingCall = {
        onFirstPart: part => {
          if (isFinalPart(part)) {
            finish(true);
            return resolve(singlePartResponse(part));
          }
          const parts = (call.laterParts = new AsyncQueue<AnswerPart>());
          resolve({ first: part, rest: this.readLaterParts(number, parts, finish) });
        },
        onFailure: error => {
          call.laterParts?.fail(error);
          finish(false);
          reject(error);
        },
        laterParts: undefined,
        window: undefined,
      };
      this.calls.set(number, call);
      signal.addEventListener('abort', cancel, { once: true });
      if (Buffer.isBuffer(body)) {
        const request: RequestPart = { ...this.headEncoder.encode(head), body, last: true };
        this.writer.send({ call: number, request });
      } else this.sendBodyStream(number, call, head, body).catch(cancel);
    });
  }

  /** Fetches what this daemon's configuration lacks of the peer's. Rejects with ConnectionLoss if the link ends first. */
  fetchConfiguration(configurationRequest: ConfigurationRequest): Promise<ConfigurationAnswer> {
    if (this.failure) return Promise.reject(new ConnectionLoss(this.failure.message, true));
    const number = ++this.lastCallNumber;
    if (!this.isInUse) this.resetSilenceTimer();
    return new Promise((resolve, reject) => {
      this.pendingConfigurations.set(number, { resolve, reject });
      this.writer.send({ call: number, configurationRequest });
    });
  }

  private async *readLaterParts(
    number: number,
    parts: AsyncQueue<AnswerPart>,
    finish: (isComplete: boolean) => void,
  ): AsyncGenerator<AnswerPart> {
    let isComplete = false;
    using reservation = this.streamMemory.reserve();
    let partsAhead = 0;
    let credit = 0;
    try {
      while (!isComplete) {
        if (partsAhead < MAX_PARTS_AHEAD && reservation.grow(PART_BYTES)) {
          partsAhead++;
          credit++;
        }
        if (credit > 0) this.writer.send({ call: number, credit });
        credit = 1;
        const part = await parts.next();
        isComplete = isFinalPart(part);
        yield part;
      }
    } finally {
      finish(isComplete);
    }
  }

  private endCall(number: number, call: PendingCall, isComplete: boolean): void {
    call.window?.close();
    if (this.calls.delete(number) && !isComplete && !this.failure)
      this.writer.send({ call: number, cancel: true });
  }

  /** Ends the link and all of its calls. `reason` completes the error message, which begins with the peer's address. */
  fail(reason: string): void {
    if (this.failure) return;
    this.failure = new ConnectionLoss(`${this.address} ${reason}.`, false, this.peerProcess);
    for (const call of [...this.calls.values()]) call.onFailure(this.failure);
    for (const { reject } of this.pendingConfigurations.values()) reject(this.failure);
    this.pendingConfigurations.clear();
    this.stream.close();
    this.onFirstFrame();
    this.onEnd();
  }

  /** Sends a request whose body is still being received. */
  private async sendBodyStream(
    number: number,
    call: PendingCall,
    head: RequestHead,
    body: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    if (head.context?.upload === true) {
      const window = (call.window = uploadWindow());
      return sendUpload(body, window, (bytes, last, isFirst) => {
        const encodedHead = isFirst ? this.headEncoder.encode(head) : NO_HEAD;
        this.writer.send({ call: number, request: { ...encodedHead, body: bytes, last } });
      });
    }
    const window = (call.window = new SendWindow());
    let pending: Uint8Array[] = [];
    let bytes = 0;
    let headToSend: RequestHead | undefined = head;
    const flush = (last: boolean) => {
      if (this.calls.has(number)) {
        const encodedHead = headToSend ? this.headEncoder.encode(headToSend) : NO_HEAD;
        const request: RequestPart = { ...encodedHead, body: Buffer.concat(pending), last };
        this.writer.send({ call: number, request });
      }
      headToSend = undefined;
      pending = [];
      bytes = 0;
    };
    for await (const chunk of body) {
      pending.push(chunk);
      bytes += chunk.length;
      if (bytes < PART_BYTES) continue;
      await window.acquire();
      flush(false);
    }
    flush(true);
  }

  private handleFrame({ items }: LinkFrame): void {
    this.lastReceivedAt = this.clock.now();
    this.isPeerUnresponsive = false;
    this.onFirstFrame();
    for (const item of items) this.handleItem(item);
  }

  private handleItem({ call: number, answer: part, credit, configuration, process }: LinkItem): void {
    if (process !== UNKNOWN_PROCESS) this.peerProcess = process;
    if (configuration) this.handleConfiguration(number, configuration);
    const call = this.calls.get(number);
    if (credit > 0) call?.window?.release(credit);
    if (!part || !call) return;
    if (call.laterParts) call.laterParts.push(part);
    else this.handleFirstPart(call, part);
  }

  private handleFirstPart(call: PendingCall, part: AnswerPart): void {
    const isMeasured = this.meter.enter('calls');
    try {
      call.onFirstPart(part);
    } finally {
      if (isMeasured) this.meter.leave();
    }
  }

  private handleConfiguration(number: number, configuration: ConfigurationAnswer): void {
    this.pendingConfigurations.get(number)?.resolve(configuration);
    this.pendingConfigurations.delete(number);
  }

  /** Called at the first call after an idle period, in which the peer had no reason to send anything. */
  private resetSilenceTimer(): void {
    this.lastReceivedAt = this.clock.now();
    this.lastCheckedAt = this.lastReceivedAt;
  }

  /** Checks that the peer still responds while calls are pending; to be called every `LIVENESS_CHECK_INTERVAL_MS`. */
  checkLiveness(): void {
    const now = this.clock.now();
    if (!this.isInUse || this.failure) return;
    // A late check means that this process was stopped itself: what the peer sent meanwhile has not been read yet.
    if (now - this.lastCheckedAt > UNRESPONSIVE_AFTER_MS / 2) this.lastReceivedAt = now;
    this.lastCheckedAt = now;
    const silence = now - this.lastReceivedAt;
    if (silence > UNREACHABLE_AFTER_MS)
      return this.fail(`has sent nothing for ${String(Math.round(silence))} ms`);
    this.isPeerUnresponsive = silence > UNRESPONSIVE_AFTER_MS;
    if (silence > PING_AFTER_SILENCE_MS && now - this.lastPingedAt > PING_AFTER_SILENCE_MS) this.ping(now);
  }

  private ping(now: number): void {
    this.lastPingedAt = now;
    this.writer.send({ ping: ++this.lastPing });
  }
}
