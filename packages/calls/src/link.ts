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
import { HELD_BYTES } from './answers.js';
import { type CallAnswer, type CallBody, answerOf, isLast } from './callHandler.js';
import { sentAtOf } from './frameDelays.js';
import { NO_HEAD, SentTemplates } from './headTemplates.js';
import { LinkWriter, PartQueue, SendWindow } from './linkParts.js';
import { LinkStream } from './linkStream.js';
import { LostContact } from './lostContact.js';

/** How often a link with calls is looked at, ms. */
export const LINK_CHECK_MS = 50;
/** A peer that has said nothing for so long while calls wait is pinged, ms: many round trips of 2 ms. */
const PING_AFTER_MS = 100;
/** A peer that has not answered that ping for so long either gets no new calls if another can take them, ms. */
const SILENT_MS = 300;
/**
 * A peer that has said nothing for so long, pings included, is out of contact, ms. Longer than the pauses of a busy
 * daemon that warms up, shorter than most callers' targets.
 */
const LOST_MS = 900;

/** A call whose first part has not come yet, or whose further parts are being read. */
interface LinkedCall {
  /** Takes the first part; most answers have no other. */
  readonly onFirst: (part: AnswerPart) => void;
  /** Ends the call, whether its first part has come or not. */
  readonly onFailure: (error: LostContact) => void;
  /** Parts after the first. */
  rest: PartQueue<AnswerPart> | undefined;
  /** Made for requests that are sent in parts. */
  window: SendWindow | undefined;
}

/** A question to the peer's configuration that waits for its answer. */
interface Asked {
  readonly resolve: (answer: ConfigurationAnswer) => void;
  readonly reject: (error: LostContact) => void;
}

/** One link. It ends when the stream does, or when the peer falls silent. */
export class Link {
  private readonly calls = new Map<number, LinkedCall>();
  private readonly asked = new Map<number, Asked>();
  private readonly templates = new SentTemplates();
  private readonly stream: LinkStream;
  private readonly writer: LinkWriter;
  private onFirstFrame: () => void = () => undefined;
  private lastNumber = 0;
  private lastPing = 0;
  private pingedAt = Number.NEGATIVE_INFINITY;
  private silent = false;
  private heardAt: number;
  private checkedAt = 0;
  private failure: LostContact | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly address: string,
    socket: Socket,
    /** Told once when the link has ended. */
    private readonly onEnd: () => void,
  ) {
    this.heardAt = clock.now();
    this.stream = new LinkStream(socket, {
      onFrame: frame => this.receive(frame),
      onEnd: why => this.fail(why),
    });
    const sendTime = new SendTime(clock);
    this.writer = new LinkWriter(items => this.stream.write({ items, sentAt: sentAtOf(sendTime.now()) }));
  }

  /** Resolves once the peer has answered: a frozen process lets connections in and then says nothing. */
  async opened(): Promise<void> {
    const heard = new Promise<void>(resolve => (this.onFirstFrame = resolve));
    this.ping(this.clock.now());
    await heard;
    if (this.failure) throw new LostContact(this.failure.message, true);
  }

  /** Whether calls wait for the peer, or it is not known yet whether it is there. */
  get isInUse(): boolean {
    return this.calls.size > 0 || this.asked.size > 0 || this.silent;
  }

  /** Whether the peer owes an answer, to a ping at least, for longer than it should. */
  get isSilent(): boolean {
    return this.silent;
  }

  /** When the peer was last heard, on this daemon's clock. */
  get lastHeardAt(): number {
    return this.heardAt;
  }

  /** One call. Fails with LostContact when it ends without its last part. */
  exchange(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallAnswer> {
    if (this.failure) return Promise.reject(new LostContact(this.failure.message, true));
    if (signal.aborted) return Promise.reject(new LostContact('The call was given up.', true));
    const number = ++this.lastNumber;
    if (!this.isInUse) this.startListening();
    return new Promise((resolve, reject) => {
      const abandon = () => call.onFailure(new LostContact('The call was given up.', false));
      const finish = (isComplete: boolean) => {
        signal.removeEventListener('abort', abandon);
        this.end(number, call, isComplete);
      };
      const call: LinkedCall = {
        onFirst: part => {
          if (isLast(part)) {
            finish(true);
            return resolve(answerOf(part));
          }
          const rest = (call.rest = new PartQueue<AnswerPart>());
          resolve({ first: part, rest: this.rest(number, rest, finish) });
        },
        onFailure: error => {
          call.rest?.fail(error);
          finish(false);
          reject(error);
        },
        rest: undefined,
        window: undefined,
      };
      this.calls.set(number, call);
      signal.addEventListener('abort', abandon, { once: true });
      if (Buffer.isBuffer(body)) {
        const request: RequestPart = { ...this.templates.shorten(head), body, last: true };
        this.writer.send({ call: number, request });
      } else this.sendStream(number, call, head, body).catch(abandon);
    });
  }

  /** What this daemon's configuration lacks of the peer's. Fails with LostContact when the link ends first. */
  fetchConfiguration(configurationRequest: ConfigurationRequest): Promise<ConfigurationAnswer> {
    if (this.failure) return Promise.reject(new LostContact(this.failure.message, true));
    const number = ++this.lastNumber;
    if (!this.isInUse) this.startListening();
    return new Promise((resolve, reject) => {
      this.asked.set(number, { resolve, reject });
      this.writer.send({ call: number, configurationRequest });
    });
  }

  private async *rest(
    number: number,
    parts: PartQueue<AnswerPart>,
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

  private end(number: number, call: LinkedCall, isComplete: boolean): void {
    call.window?.close();
    if (this.calls.delete(number) && !isComplete && !this.failure)
      this.writer.send({ call: number, cancel: true });
  }

  /** Ends the link and all of its calls. */
  fail(why: string): void {
    if (this.failure) return;
    this.failure = new LostContact(`${this.address} ${why}.`, false);
    for (const call of [...this.calls.values()]) call.onFailure(this.failure);
    for (const { reject } of this.asked.values()) reject(this.failure);
    this.asked.clear();
    this.stream.close();
    this.onFirstFrame();
    this.onEnd();
  }

  /** Sends a request whose body is still coming. */
  private async sendStream(
    number: number,
    call: LinkedCall,
    head: RequestHead,
    body: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    const window = (call.window = new SendWindow());
    let pending: Uint8Array[] = [];
    let bytes = 0;
    let headToSend: RequestHead | undefined = head;
    const flush = (last: boolean) => {
      if (this.calls.has(number)) {
        const travelling = headToSend ? this.templates.shorten(headToSend) : NO_HEAD;
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
      if (bytes < HELD_BYTES) continue;
      await window.take();
      flush(false);
    }
    flush(true);
  }

  private receive({ items }: LinkFrame): void {
    this.heardAt = this.clock.now();
    this.silent = false;
    this.onFirstFrame();
    for (const item of items) this.take(item);
  }

  private take({ call: number, answer, credit, configuration }: LinkItem): void {
    if (configuration) this.takeConfiguration(number, configuration);
    const call = this.calls.get(number);
    if (credit > 0) call?.window?.give(credit);
    if (!answer || !call) return;
    if (call.rest) call.rest.push(answer);
    else call.onFirst(answer);
  }

  private takeConfiguration(number: number, configuration: ConfigurationAnswer): void {
    this.asked.get(number)?.resolve(configuration);
    this.asked.delete(number);
  }

  /** The first call after a pause: the peer owed nothing until now. */
  private startListening(): void {
    this.heardAt = this.clock.now();
    this.checkedAt = this.heardAt;
  }

  /** Looks whether the peer still answers while calls wait for it; to be asked every `LINK_CHECK_MS`. */
  checkSilence(): void {
    const now = this.clock.now();
    if (!this.isInUse || this.failure) return;
    // A process that was itself stopped has not listened: what came meanwhile is read after this.
    if (now - this.checkedAt > SILENT_MS / 2) this.heardAt = now;
    this.checkedAt = now;
    const silence = now - this.heardAt;
    if (silence > LOST_MS) return this.fail(`has been silent for ${String(Math.round(silence))} ms`);
    this.silent = silence > SILENT_MS;
    if (silence > PING_AFTER_MS && now - this.pingedAt > PING_AFTER_MS) this.ping(now);
  }

  private ping(now: number): void {
    this.pingedAt = now;
    this.writer.send({ ping: ++this.lastPing });
  }
}
