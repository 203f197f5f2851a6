/** The server side of a link. */
import { CALLER_DISCONNECTED, Cancellation, type Clock, NO_METER, type WorkMeter } from '@cleatquay/clock';
import {
  type AnswerPart,
  type ConfigurationAnswer,
  type ConfigurationRequest,
  type LinkFrame,
  type LinkItem,
  type RequestHead,
  type RequestPart,
  refusalPart,
  isValidHead,
  createRefusal,
} from '@cleatquay/protocol';
import { type Socket } from 'node:net';
import { type CallHandler, isFinalPart } from './callHandler.js';
import { TransitDelays } from './transitDelays.js';
import { HeadDecoder } from './headCompression.js';
import { AsyncQueue, FrameWriter, SendWindow } from './flowControl.js';
import { FrameStream } from './frameStream.js';
import { IncompleteBody } from './uploadIntake.js';
import { type RequestScheduler } from './requestScheduler.js';

/** Later parts of a response that are sent before the receiver has granted any; it grants as many as it has memory for. */
const INITIAL_RESPONSE_PARTS = 1;

interface ServedCall {
  /** Undefined if the request is complete with its first part. */
  readonly requestParts: AsyncQueue<RequestPart> | undefined;
  /** Defined only for responses that are sent in several parts. */
  window: SendWindow | undefined;
  readonly cancellation: Cancellation;
}

/** Dependencies of a link server. */
export interface LinkServerOptions {
  readonly clock: Clock;
  readonly handle: CallHandler;
  readonly scheduler: RequestScheduler;
  /** Measures the handlers of frames and of calls. */
  readonly meter?: WorkMeter;
  /** Identifies this process to the peer; see `ProcessIdentity`. */
  readonly process: string;
  /** Returns what the peer's configuration lacks of this daemon's. */
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
}

/** Serves the calls of one link concurrently until the peer closes it. */
export class LinkServer {
  private readonly calls = new Map<number, ServedCall>();
  private readonly headDecoder = new HeadDecoder();
  private readonly writer: FrameWriter;
  private readonly stream: FrameStream;
  private readonly transitDelays: TransitDelays;
  private readonly meter: WorkMeter;

  constructor(
    socket: Socket,
    private readonly options: LinkServerOptions,
  ) {
    this.transitDelays = new TransitDelays(options.clock);
    this.meter = options.meter ?? NO_METER;
    const onFrame = ({ items, sentAt }: LinkFrame) =>
      this.handleFrame(items, this.transitDelays.measure(sentAt));
    this.stream = new FrameStream(socket, { onFrame, onEnd: () => this.cancelCalls() }, this.meter);
    this.writer = new FrameWriter(items => this.stream.write({ items, sentAt: 0 }));
  }

  /** Handles bytes that were read from the connection before this server was attached to it. */
  receive(chunk: Buffer): void {
    this.stream.receive(chunk);
  }

  /** Closes the link and cancels its calls. */
  close(): void {
    this.stream.close();
    this.cancelCalls();
  }

  private handleFrame(items: readonly LinkItem[], delayMs: number): void {
    for (const item of items) this.handleItem(item, delayMs);
  }

  private handleItem(item: LinkItem, delayMs: number): void {
    if (item.ping > 0) this.writer.send({ pong: item.ping, process: this.options.process });
    const call = this.calls.get(item.call);
    if (item.credit > 0) call?.window?.release(item.credit);
    if (item.cancel && call) cancelCall(call);
    const { configurationRequest } = item;
    if (configurationRequest)
      this.writer.send({ call: item.call, configuration: this.options.configuration(configurationRequest) });
    if (!item.request) return;
    if (call) call.requestParts?.push(item.request);
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
    const isMeasured = this.meter.enter('calls');
    try {
      void this.processCall(number, call, first, head).finally(() => this.calls.delete(number));
    } finally {
      if (isMeasured) this.meter.leave();
    }
  }

  /**
   * Processes one call. If the caller disconnects, a handler that is still running may finish, so that it can store the
   * response; a response that is streamed is not stored, and is read no further.
   */
  private async processCall(
    number: number,
    call: ServedCall,
    first: RequestPart,
    head: RequestHead | undefined,
  ): Promise<void> {
    const { requestParts, cancellation } = call;
    const send = (part: AnswerPart) => {
      if (!cancellation.signal.aborted) this.writer.send({ call: number, answer: part });
    };
    if (!isValidHead(head))
      return send(
        refusalPart(createRefusal('innerMessageInvalid', 'The request head is missing or invalid.'), 0),
      );
    try {
      const queued = this.options.scheduler.acquire();
      const waitedMs = queued ? await queued : 0;
      if (cancellation.signal.aborted) return;
      const body = requestParts ? this.readBody(number, requestParts) : first.body;
      const adjustedHead = deductTime(head, waitedMs);
      if (isDeadlinePassed(adjustedHead))
        return send(
          refusalPart(
            createRefusal('deadlineTooShort', 'The deadline passed in transit or in the queue.'),
            0,
          ),
        );
      const response = await this.options.handle(adjustedHead, body, cancellation.signal);
      send(response.first);
      if (!response.rest) return;
      const window = (call.window = new SendWindow(INITIAL_RESPONSE_PARTS));
      if (cancellation.signal.aborted) window.close();
      for await (const part of response.rest) {
        if (!isFinalPart(part)) await window.acquire();
        if (cancellation.signal.aborted) return;
        send(part);
      }
    } catch (error) {
      send(refusalPart(createRefusal('internal', String(error), { elsewhereHelps: true }), 0));
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

/** The head with the elapsed time subtracted from its remaining time. */
function deductTime<Head extends RequestHead | undefined>(head: Head, elapsedMs: number): Head {
  if (!head?.context || elapsedMs < 1) return head;
  const { context } = head;
  return { ...head, context: { ...context, remainingMs: Math.floor(context.remainingMs - elapsedMs) } };
}

function isDeadlinePassed({ context }: RequestHead): boolean {
  return context !== undefined && context.remainingMs <= 0;
}

function cancelCall({ requestParts, window, cancellation }: ServedCall): void {
  cancellation.abort(CALLER_DISCONNECTED);
  requestParts?.fail(new IncompleteBody('The caller disconnected before the end of its request.'));
  window?.close();
}
