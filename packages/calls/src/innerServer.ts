/** The gRPC server of the inner protocol. */
import { CALLER_LEFT } from '@cleatquay/clock';
import {
  type AnswerPart,
  type ConfigurationAnswer,
  type ConfigurationRequest,
  InnerService,
  type RequestPart,
  type SealAnswer,
  type SealRequest,
  endOf,
  isUsableHead,
  refusalOf,
} from '@cleatquay/protocol';
import { Server, ServerCredentials, type ServerDuplexStream, status } from '@grpc/grpc-js';
import { once } from 'node:events';
import { type CallHandler } from './callHandler.js';
import { streamParts } from './streamParts.js';

/** What peers may ask of this daemon. */
export interface InnerHandlers {
  readonly exchange: CallHandler;
  readonly seal: (request: SealRequest) => Promise<SealAnswer>;
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
}

/** Serves peers until disposed of. */
export class InnerServer implements AsyncDisposable {
  private readonly server = new Server({ 'grpc.max_receive_message_length': 4 * 1_048_576 });

  constructor(private readonly handlers: InnerHandlers) {
    this.server.addService(InnerService, {
      exchange: (call: ServerDuplexStream<RequestPart, AnswerPart>) => void this.exchange(call),
      seal: (
        call: { request: SealRequest },
        callback: (error: object | null, answer?: SealAnswer) => void,
      ) => {
        handlers.seal(call.request).then(
          answer => callback(null, answer),
          (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
        );
      },
      fetchConfiguration: (
        call: { request: ConfigurationRequest },
        callback: (error: null, answer: ConfigurationAnswer) => void,
      ) => callback(null, handlers.configuration(call.request)),
    });
  }

  /** Listens on ip:port and gives the port. */
  async listen(ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.bindAsync(`${ip}:${String(port)}`, ServerCredentials.createInsecure(), (error, bound) => {
        if (error) reject(error);
        else resolve(bound);
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>(resolve => this.server.tryShutdown(() => resolve()));
    const forced = setTimeout(() => this.server.forceShutdown(), SHUTDOWN_MS);
    await closed;
    clearTimeout(forced);
  }

  /** One exchange, written straight down: read the head, handle, write the parts. */
  private async exchange(call: ServerDuplexStream<RequestPart, AnswerPart>): Promise<void> {
    const gone = new AbortController();
    call.on('cancelled', () => gone.abort(CALLER_LEFT));
    call.on('error', () => gone.abort(CALLER_LEFT));
    try {
      const parts = streamParts<RequestPart>(call);
      const first = await parts.next();
      const head = first.done === true ? undefined : first.value.head;
      if (!isUsableHead(head)) return void call.end(invalid());
      for await (const part of this.handlers.exchange(
        head,
        bodyOf(first.value as RequestPart, parts),
        gone.signal,
      )) {
        if (gone.signal.aborted) return;
        if (!call.write(part)) await Promise.race([once(call, 'drain'), once(gone.signal, 'abort')]);
      }
      call.end();
    } catch (error) {
      call.emit('error', { code: status.INTERNAL, details: String(error) });
    }
  }
}

const SHUTDOWN_MS = 500;

function invalid(): AnswerPart {
  return endOf(refusalOf('innerMessageInvalid', 'The exchange began without a usable head.'), 0);
}

async function* bodyOf(first: RequestPart, rest: AsyncIterator<RequestPart>): AsyncIterable<Uint8Array> {
  for (let part = first; ;) {
    if (part.body.length > 0) yield part.body;
    if (part.last) return;
    const next = await rest.next();
    if (next.done === true) throw new Error('The request broke off.');
    part = next.value;
  }
}
