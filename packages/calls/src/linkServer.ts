/** The called end of a link. */
import { CALLER_LEFT, Cancellation, type Clock } from '@cleatquay/clock';
import {
  type AnswerPart,
  type ConfigurationAnswer,
  type ConfigurationRequest,
  type LinkItem,
  type RequestHead,
  type RequestPart,
  endOf,
  isUsableHead,
  refusalOf,
} from '@cleatquay/protocol';
import { type Socket } from 'node:net';
import { type CallHandler, isLast } from './callHandler.js';
import { FrameDelays } from './frameDelays.js';
import { ReceivedTemplates } from './headTemplates.js';
import { LinkWriter, PartQueue, SendWindow } from './linkParts.js';
import { LinkStream } from './linkStream.js';
import { type WorkTurns } from './workTurns.js';

interface ServedCall {
  /** Parts of the request; undefined where the first was the whole. */
  readonly parts: PartQueue<RequestPart> | undefined;
  /** Made for answers that are sent in parts. */
  window: SendWindow | undefined;
  readonly gone: Cancellation;
}

/** What a link server needs of its daemon. */
export interface LinkServerOptions {
  readonly clock: Clock;
  readonly handle: CallHandler;
  readonly turns: WorkTurns;
  /** Answers what the peer's configuration lacks of this daemon's. */
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
}

/** Serves the calls of one link, each in a task of its own, until the peer ends it. */
export class LinkServer {
  private readonly calls = new Map<number, ServedCall>();
  private readonly templates = new ReceivedTemplates();
  private readonly writer: LinkWriter;
  private readonly stream: LinkStream;
  private readonly delays: FrameDelays;

  constructor(
    socket: Socket,
    private readonly options: LinkServerOptions,
  ) {
    this.delays = new FrameDelays(options.clock);
    this.stream = new LinkStream(socket, {
      onFrame: ({ items, sentAt }) => this.takeAll(items, this.delays.of(sentAt)),
      onEnd: () => this.end(),
    });
    this.writer = new LinkWriter(items => this.stream.write({ items, sentAt: 0 }));
  }

  /** Takes what was read off the connection before this served it. */
  receive(chunk: Buffer): void {
    this.stream.receive(chunk);
  }

  /** Closes the link; its calls are given up. */
  close(): void {
    this.stream.close();
    this.end();
  }

  private takeAll(items: readonly LinkItem[], delayMs: number): void {
    for (const item of items) this.take(item, delayMs);
  }

  private take(item: LinkItem, delayMs: number): void {
    if (item.ping > 0) this.writer.send({ pong: item.ping });
    const known = this.calls.get(item.call);
    if (item.credit > 0) known?.window?.give(item.credit);
    if (item.cancel && known) abandon(known);
    const { configurationRequest } = item;
    if (configurationRequest)
      this.writer.send({ call: item.call, configuration: this.options.configuration(configurationRequest) });
    if (!item.request) return;
    if (known) known.parts?.push(item.request);
    else if (item.request.head)
      this.begin(item.call, item.request, withLessTime(this.templates.restore(item.request), delayMs));
  }

  private begin(number: number, first: RequestPart, head: RequestHead | undefined): void {
    const call: ServedCall = {
      parts: first.last ? undefined : new PartQueue(),
      window: undefined,
      gone: new Cancellation(),
    };
    call.parts?.push(first);
    this.calls.set(number, call);
    void this.serve(number, call, first, head).finally(() => this.calls.delete(number));
  }

  /** One call. A handler that goes on after its caller left is let run to its end, so that it can keep the answer. */
  private async serve(
    number: number,
    call: ServedCall,
    first: RequestPart,
    head: RequestHead | undefined,
  ): Promise<void> {
    const { parts, gone } = call;
    const send = (part: AnswerPart) => {
      if (!gone.signal.aborted) this.writer.send({ call: number, answer: part });
    };
    if (!isUsableHead(head)) return send(endOf(refusalOf('innerMessageInvalid', 'No usable head.'), 0));
    try {
      const turn = this.options.turns.take();
      const waitedMs = turn ? await turn : 0;
      if (gone.signal.aborted) return;
      const body = parts ? this.bodyOf(number, parts) : first.body;
      const begun = withLessTime(head, waitedMs);
      if (isTooLate(begun))
        return send(endOf(refusalOf('deadlineTooShort', 'It was held up on its way.'), 0));
      const answer = await this.options.handle(begun, body, gone.signal);
      send(answer.first);
      if (!answer.rest) return;
      const window = (call.window = new SendWindow());
      if (gone.signal.aborted) window.close();
      for await (const part of answer.rest) {
        if (!isLast(part)) await window.take();
        send(part);
      }
    } catch (error) {
      send(endOf(refusalOf('internal', String(error), { elsewhereHelps: true }), 0));
    }
  }

  private async *bodyOf(number: number, parts: PartQueue<RequestPart>): AsyncIterable<Uint8Array> {
    for (;;) {
      const part = await parts.next();
      if (part.body.length > 0) yield part.body;
      if (part.last) return;
      this.writer.send({ call: number, credit: 1 });
    }
  }

  private end(): void {
    for (const call of this.calls.values()) abandon(call);
  }
}

/** The head of a call of whose time so much is gone, ms. */
function withLessTime<Head extends RequestHead | undefined>(head: Head, goneMs: number): Head {
  if (!head?.context || goneMs < 1) return head;
  const { context } = head;
  return { ...head, context: { ...context, remainingMs: Math.floor(context.remainingMs - goneMs) } };
}

function isTooLate({ context }: RequestHead): boolean {
  return context !== undefined && context.remainingMs <= 0;
}

function abandon({ parts, window, gone }: ServedCall): void {
  gone.abort(CALLER_LEFT);
  parts?.fail(new Error('The caller left before the end of its request.'));
  window?.close();
}
