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
import { TransitDelays } from './frameDelays.js';
import { HeadDecoder } from './headTemplates.js';
import { FrameWriter, AsyncQueue, SendWindow } from './linkParts.js';
import { FrameStream } from './linkStream.js';
import { type WorkTurns } from './workTurns.js';

interface ServedCall {
  /** Parts of the request; undefined where the first was the whole. */
  readonly requestParts: AsyncQueue<RequestPart> | undefined;
  /** Made for answers that are sent in parts. */
  window: SendWindow | undefined;
  readonly cancellation: Cancellation;
}

/** What a link server needs of its daemon. */
export interface LinkServerOptions {
  readonly clock: Clock;
  readonly handle: CallHandler;
  readonly scheduler: WorkTurns;
  /** Answers what the peer's configuration lacks of this daemon's. */
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
}

/** Serves the calls of one link, each in a task of its own, until the peer ends it. */
export class LinkServer {
  private readonly calls = new Map<number, ServedCall>();
  private readonly headDecoder = new HeadDecoder();
  private readonly writer: FrameWriter;
  private readonly stream: FrameStream;
  private readonly transitDelays: TransitDelays;

  constructor(
    socket: Socket,
    private readonly options: LinkServerOptions,
  ) {
    this.transitDelays = new TransitDelays(options.clock);
    this.stream = new FrameStream(socket, {
      onFrame: ({ items, sentAt }) => this.handleFrame(items, this.transitDelays.measure(sentAt)),
      onEnd: () => this.cancelCalls(),
    });
    this.writer = new FrameWriter(items => this.stream.write({ items, sentAt: 0 }));
  }

  /** Takes what was read off the connection before this served it. */
  receive(chunk: Buffer): void {
    this.stream.receive(chunk);
  }

  /** Closes the link; its calls are given up. */
  close(): void {
    this.stream.close();
    this.cancelCalls();
  }

  private handleFrame(items: readonly LinkItem[], delayMs: number): void {
    for (const item of items) this.handleItem(item, delayMs);
  }

  private handleItem(item: LinkItem, delayMs: number): void {
    if (item.ping > 0) this.writer.send({ pong: item.ping });
    const known = this.calls.get(item.call);
    if (item.credit > 0) known?.window?.release(item.credit);
    if (item.cancel && known) cancelCall(known);
    const { configurationRequest } = item;
    if (configurationRequest)
      this.writer.send({ call: item.call, configuration: this.options.configuration(configurationRequest) });
    if (!item.request) return;
    if (known) known.requestParts?.push(item.request);
    else if (item.request.head)
      this.startCall(item.call, item.request, deductTime(this.headDecoder.decode(item.request), delayMs));
  }

  private startCall(number: number, first: RequestPart, head: RequestHead | undefined): void {
    const call: ServedCall = {
      requestParts: first.last ? undefined : new AsyncQueue(),
      window: undefined,
      cancellation: new Cancellation(),
    };
    call.requestParts?.push(first);
    this.calls.set(number, call);
    void this.processCall(number, call, first, head).finally(() => this.calls.delete(number));
  }

  /** One call. A handler that goes on after its caller left is let run to its end, so that it can keep the answer. */
  private async processCall(
    number: number,
    call: ServedCall,
    first: RequestPart,
    head: RequestHead | undefined,
  ): Promise<void> {
    const { requestParts: parts, cancellation: gone } = call;
    const send = (part: AnswerPart) => {
      if (!gone.signal.aborted) this.writer.send({ call: number, answer: part });
    };
    if (!isUsableHead(head)) return send(endOf(refusalOf('innerMessageInvalid', 'No usable head.'), 0));
    try {
      const turn = this.options.scheduler.take();
      const waitedMs = turn ? await turn : 0;
      if (gone.signal.aborted) return;
      const body = parts ? this.readBody(number, parts) : first.body;
      const begun = deductTime(head, waitedMs);
      if (isDeadlinePassed(begun))
        return send(endOf(refusalOf('deadlineTooShort', 'It was held up on its way.'), 0));
      const answer = await this.options.handle(begun, body, gone.signal);
      send(answer.first);
      if (!answer.rest) return;
      const window = (call.window = new SendWindow());
      if (gone.signal.aborted) window.close();
      for await (const part of answer.rest) {
        if (!isLast(part)) await window.acquire();
        send(part);
      }
    } catch (error) {
      send(endOf(refusalOf('internal', String(error), { elsewhereHelps: true }), 0));
    }
  }

  private async *readBody(number: number, parts: AsyncQueue<RequestPart>): AsyncIterable<Uint8Array> {
    for (;;) {
      const part = await parts.next();
      if (part.body.length > 0) yield part.body;
      if (part.last) return;
      this.writer.send({ call: number, credit: 1 });
    }
  }

  private cancelCalls(): void {
    for (const call of this.calls.values()) cancelCall(call);
  }
}

/** The head of a call of whose time so much is gone, ms. */
function deductTime<Head extends RequestHead | undefined>(head: Head, goneMs: number): Head {
  if (!head?.context || goneMs < 1) return head;
  const { context } = head;
  return { ...head, context: { ...context, remainingMs: Math.floor(context.remainingMs - goneMs) } };
}

function isDeadlinePassed({ context }: RequestHead): boolean {
  return context !== undefined && context.remainingMs <= 0;
}

function cancelCall({ requestParts: parts, window, cancellation: gone }: ServedCall): void {
  gone.abort(CALLER_LEFT);
  parts?.fail(new Error('The caller left before the end of its request.'));
  window?.close();
}
