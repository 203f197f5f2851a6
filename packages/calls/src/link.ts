/** The calling end of a link: many calls to one peer over one long-lived connection. */
import { type CancelSignal, type Clock, SendTime } from '@cleatquay/clock';
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
import { PART_BYTES } from './answers.js';
import { type CallAnswer, type CallBody, answerOf, isLast } from './callHandler.js';
import { toSentAt } from './frameDelays.js';
import { NO_HEAD, HeadEncoder } from './headTemplates.js';
import { FrameWriter, AsyncQueue, SendWindow } from './linkParts.js';
import { FrameStream } from './linkStream.js';
import { LostContact } from './lostContact.js';

/** How often a link with calls is looked at, ms. */
export const LIVENESS_CHECK_INTERVAL_MS = 50;
/** A peer that has said nothing for so long while calls wait is pinged, ms: many round trips of 2 ms. */
const PING_AFTER_SILENCE_MS = 100;
/** A peer that has not answered that ping for so long either gets no new calls if another can take them, ms. */
const UNRESPONSIVE_AFTER_MS = 300;
/**
 * A peer that has said nothing for so long, pings included, is out of contact, ms. Longer than the pauses of a busy
 * daemon that warms up, shorter than most callers' targets.
 */
const UNREACHABLE_AFTER_MS = 900;

/** A call whose first part has not come yet, or whose further parts are being read. */
interface PendingCall {
  /** Takes the first part; most answers have no other. */
  readonly onFirstPart: (part: AnswerPart) => void;
  /** Ends the call, whether its first part has come or not. */
  readonly onFailure: (error: LostContact) => void;
  /** Parts after the first. */
  laterParts: AsyncQueue<AnswerPart> | undefined;
  /** Made for requests that are sent in parts. */
  window: SendWindow | undefined;
}

/** A question to the peer's configuration that waits for its answer. */
interface PendingConfiguration {
  readonly resolve: (answer: ConfigurationAnswer) => void;
  readonly reject: (error: LostContact) => void;
}

/** One link. It ends when the stream does, or when the peer falls silent. */
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
  private failure: LostContact | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly address: string,
    socket: Socket,
    /** Told once when the link has ended. */
    private readonly onEnd: () => void,
  ) {
    this.lastReceivedAt = clock.now();
    this.stream = new FrameStream(socket, {
      onFrame: frame => this.handleFrame(frame),
      onEnd: why => this.fail(why),
    });
    const sendTime = new SendTime(clock);
    this.writer = new FrameWriter(items => this.stream.write({ items, sentAt: toSentAt(sendTime.now()) }));
  }

  /** Resolves once the peer has answered: a frozen process lets connections in and then says nothing. */
  async waitUntilOpen(): Promise<void> {
    const heard = new Promise<void>(resolve => (this.onFirstFrame = resolve));
    this.ping(this.clock.now());
    await heard;
    if (this.failure) throw new LostContact(this.failure.message, true);
  }

  /** Whether calls wait for the peer, or it is not known yet whether it is there. */
  get isInUse(): boolean {
    return this.calls.size > 0 || this.pendingConfigurations.size > 0 || this.isPeerUnresponsive;
  }

  /** Whether the peer owes an answer, to a ping at least, for longer than it should. */
  get isUnresponsive(): boolean {
    return this.isPeerUnresponsive;
  }

  /** When the peer was last heard, on this daemon's clock. */
  get lastActivityAt(): number {
    return this.lastReceivedAt;
  }

  /** One call. Fails with LostContact when it ends without its last part. */
  exchange(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallAnswer> {
    if (this.failure) return Promise.reject(new LostContact(this.failure.message, true));
    if (signal.aborted) return Promise.reject(new LostContact('The call was given up.', true));
    const number = ++this.lastCallNumber;
    if (!this.isInUse) this.resetSilenceTimer();
    return new Promise((resolve, reject) => {
      const abandon = () => call.onFailure(new LostContact('The call was given up.', false));
      const finish = (isComplete: boolean) => {
        signal.removeEventListener('abort', abandon);
        this.endCall(number, call, isComplete);
      };
      const call: PendingCall = {
        onFirstPart: part => {
          if (isLast(part)) {
            finish(true);
            return resolve(answerOf(part));
          }
          const rest = (call.laterParts = new AsyncQueue<AnswerPart>());
          resolve({ first: part, rest: this.readLaterParts(number, rest, finish) });
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
      signal.addEventListener('abort', abandon, { once: true });
      if (Buffer.isBuffer(body)) {
        const request: RequestPart = { ...this.headEncoder.encode(head), body, last: true };
        this.writer.send({ call: number, request });
      } else this.sendBodyStream(number, call, head, body).catch(abandon);
    });
  }

  /** What this daemon's configuration lacks of the peer's. Fails with LostContact when the link ends first. */
  fetchConfiguration(configurationRequest: ConfigurationRequest): Promise<ConfigurationAnswer> {
    if (this.failure) return Promise.reject(new LostContact(this.failure.message, true));
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
    try {
      while (!isComplete) {
        this.writer.send({ call: number, credit: 1 });
        const part = await parts.next();
        isComplete = isLast(part);
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

  /** Ends the link and all of its calls. */
  fail(why: string): void {
    if (this.failure) return;
    this.failure = new LostContact(`${this.address} ${why}.`, false);
    for (const call of [...this.calls.values()]) call.onFailure(this.failure);
    for (const { reject } of this.pendingConfigurations.values()) reject(this.failure);
    this.pendingConfigurations.clear();
    this.stream.close();
    this.onFirstFrame();
    this.onEnd();
  }

  /** Sends a request whose body is still coming. */
  private async sendBodyStream(
    number: number,
    call: PendingCall,
    head: RequestHead,
    body: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    const window = (call.window = new SendWindow());
    let pending: Uint8Array[] = [];
    let bytes = 0;
    let headToSend: RequestHead | undefined = head;
    const flush = (last: boolean) => {
      if (this.calls.has(number)) {
        const travelling = headToSend ? this.headEncoder.encode(headToSend) : NO_HEAD;
        const request: RequestPart = { ...travelling, body: Buffer.concat(pending), last };
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

  private handleItem({ call: number, answer, credit, configuration }: LinkItem): void {
    if (configuration) this.handleConfiguration(number, configuration);
    const call = this.calls.get(number);
    if (credit > 0) call?.window?.release(credit);
    if (!answer || !call) return;
    if (call.laterParts) call.laterParts.push(answer);
    else call.onFirstPart(answer);
  }

  private handleConfiguration(number: number, configuration: ConfigurationAnswer): void {
    this.pendingConfigurations.get(number)?.resolve(configuration);
    this.pendingConfigurations.delete(number);
  }

  /** The first call after a pause: the peer owed nothing until now. */
  private resetSilenceTimer(): void {
    this.lastReceivedAt = this.clock.now();
    this.lastCheckedAt = this.lastReceivedAt;
  }

  /** Looks whether the peer still answers while calls wait for it; to be asked every `LINK_CHECK_MS`. */
  checkLiveness(): void {
    const now = this.clock.now();
    if (!this.isInUse || this.failure) return;
    // A process that was itself stopped has not listened: what came meanwhile is read after this.
    if (now - this.lastCheckedAt > UNRESPONSIVE_AFTER_MS / 2) this.lastReceivedAt = now;
    this.lastCheckedAt = now;
    const silence = now - this.lastReceivedAt;
    if (silence > UNREACHABLE_AFTER_MS)
      return this.fail(`has been silent for ${String(Math.round(silence))} ms`);
    this.isPeerUnresponsive = silence > UNRESPONSIVE_AFTER_MS;
    if (silence > PING_AFTER_SILENCE_MS && now - this.lastPingedAt > PING_AFTER_SILENCE_MS) this.ping(now);
  }

  private ping(now: number): void {
    this.lastPingedAt = now;
    this.writer.send({ ping: ++this.lastPing });
  }
}
