/** The gRPC server of the inner protocol. */
import {
  type ConfigurationAnswer,
  type ConfigurationRequest,
  InnerService,
  type LinkFrame,
  type SealAnswer,
  type SealRequest,
} from '@cleatquay/protocol';
import { Server, ServerCredentials, type ServerDuplexStream, status } from '@grpc/grpc-js';
import { type CallHandler } from './callHandler.js';
import { LinkServer } from './linkServer.js';

/** What peers may ask of this daemon. */
export interface InnerHandlers {
  readonly exchange: CallHandler;
  /** Whether this process is behind with reading. */
  readonly isLagging: () => boolean;
  readonly seal: (request: SealRequest) => Promise<SealAnswer>;
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
}

/** Serves peers until disposed of. */
export class InnerServer implements AsyncDisposable {
  private readonly server = new Server({
    'grpc.max_receive_message_length': 4 * 1_048_576,
    'grpc-node.flow_control_window': 1_048_576,
    // Ends connections of peers that were cut off and have made new ones since.
    'grpc.keepalive_time_ms': 10_000,
    'grpc.keepalive_timeout_ms': 5000,
  });

  constructor(private readonly handlers: InnerHandlers) {
    this.server.addService(InnerService, {
      link: (call: ServerDuplexStream<LinkFrame, LinkFrame>) =>
        void new LinkServer(call, this.handlers.exchange, this.handlers.isLagging),
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
}

const SHUTDOWN_MS = 500;
