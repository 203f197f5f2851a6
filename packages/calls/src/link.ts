/** The calling end of a link: many calls to one peer over one long-lived connection. */
import { type CancelSignal, type Clock } from '@cleatquay/clock';
import {
  type AnswerPart,
  type LinkFrame,
  type LinkItem,
  type RequestHead,
  type RequestPart,
} from '@cleatquay/protocol';
import { type Socket } from 'node:net';
import { HELD_BYTES } from './answers.js';
import { type CallAnswer, type CallBody, isLast } from './callHandler.js';
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
 * daemon (up to 0.5 s while it warms up, measured), shorter than most callers' targets.
 */
const LOST_MS = 900;

interface LinkedCall {
  readonly answers: PartQueue<AnswerPart>;
  readonly window: SendWindow;
}

/** One link. It ends when the stream does, or when the peer falls silent. */
export class Link {
  private readonly calls = new Map<number, LinkedCall>();
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
    this.writer = new LinkWriter(frame => this.stream.write(frame));
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
    return this.calls.size > 0 || this.silent;
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
  async exchange(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallAnswer> {
    if (this.failure) throw new LostContact(this.failure.message, true);
    if (signal.aborted) throw new LostContact('The call was given up.', true);
    const number = ++this.lastNumber;
    const call: LinkedCall = { answers: new PartQueue(), window: new SendWindow() };
    if (!this.isInUse) this.startListening();
    this.calls.set(number, call);
    const abandon = () => {
      call.answers.fail(new LostContact('The call was given up.', false));
      this.end(number, call, false);
    };
    signal.addEventListener('abort', abandon, { once: true });
    const finish = (isComplete: boolean) => {
      signal.removeEventListener('abort', abandon);
      this.end(number, call, isComplete);
    };
    if (Buffer.isBuffer(body)) this.writer.send({ call: number, request: { head, body, last: true } });
    else this.sendStream(number, call, head, body).catch(abandon);
    try {
      const first = await call.answers.next();
      if (!isLast(first)) return { first, rest: this.rest(number, call, finish) };
      finish(true);
      return { first, rest: undefined };
    } catch (error) {
      finish(false);
      throw error;
    }
  }

  private async *rest(
    number: number,
    call: LinkedCall,
    finish: (isComplete: boolean) => void,
  ): AsyncGenerator<AnswerPart> {
    let isComplete = false;
    try {
      while (!isComplete) {
        this.writer.send({ call: number, credit: 1 });
        const part = await call.answers.next();
        isComplete = isLast(part);
        yield part;
      }
    } finally {
      finish(isComplete);
    }
  }

  private end(number: number, call: LinkedCall, isComplete: boolean): void {
    call.window.close();
    if (this.calls.delete(number) && !isComplete && !this.failure)
      this.writer.send({ call: number, cancel: true });
  }

  /** Ends the link and all of its calls. */
  fail(why: string): void {
    if (this.failure) return;
    this.failure = new LostContact(`${this.address} ${why}.`, false);
    for (const call of this.calls.values()) {
      call.answers.fail(this.failure);
      call.window.close();
    }
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
    let pending: Uint8Array[] = [];
    let bytes = 0;
    let headToSend: RequestHead | undefined = head;
    const flush = (last: boolean) => {
      const request: RequestPart = { head: headToSend, body: Buffer.concat(pending), last };
      if (this.calls.has(number)) this.writer.send({ call: number, request });
      headToSend = undefined;
      pending = [];
      bytes = 0;
    };
    for await (const chunk of body) {
      pending.push(chunk);
      bytes += chunk.length;
      if (bytes < HELD_BYTES) continue;
      await call.window.take();
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

  private take({ call: number, answer, credit }: LinkItem): void {
    const call = this.calls.get(number);
    if (answer) call?.answers.push(answer);
    if (credit > 0) call?.window.give(credit);
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
