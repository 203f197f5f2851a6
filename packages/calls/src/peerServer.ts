/** The server of the peer protocol: links for calls, and gRPC for rare requests, on one port. */
import { asFailure } from '@cleatquay/errors';
import {
  type ConfigurationAnswer,
  type ConfigurationRequest,
  InnerService,
  type SealAnswer,
  type SealRequest,
} from '@cleatquay/protocol';
import { type Clock, NO_METER, type WorkMeter } from '@cleatquay/clock';
import { Server, ServerCredentials, status } from '@grpc/grpc-js';
import { type AddressInfo, type Server as TcpServer, type Socket, createServer } from 'node:net';
import { type CallHandler } from './callHandler.js';
import { LinkServer } from './linkServer.js';
import { type ProcessIdentity } from './processIdentity.js';
import { type RequestScheduler } from './requestScheduler.js';

/** Handlers of the requests that peers send to this daemon. */
export interface PeerHandlers {
  readonly clock: Clock;
  readonly exchange: CallHandler;
  readonly scheduler: RequestScheduler;
  readonly process: ProcessIdentity;
  /** Measures the handlers of links. */
  readonly meter?: WorkMeter | undefined;
  readonly seal: (request: SealRequest) => Promise<SealAnswer>;
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
}

/** Serves peers until disposed of. */
export class PeerServer implements AsyncDisposable {
  private readonly grpcServer = new Server({
    'grpc.max_receive_message_length': 4 * 1_048_576,
    // Closes dead connections of peers that were partitioned and have reconnected since.
    'grpc.keepalive_time_ms': 10_000,
    'grpc.keepalive_timeout_ms': 5000,
  });
  private readonly grpcInjector = this.grpcServer.createConnectionInjector(
    ServerCredentials.createInsecure(),
  );
  private readonly links = new Map<Socket, LinkServer>();
  private readonly listener: TcpServer = createServer(socket => this.accept(socket));

  constructor(private readonly handlers: PeerHandlers) {
    this.grpcServer.addService(InnerService, {
      seal: (
        call: { request: SealRequest },
        callback: (error: object | null, response?: SealAnswer) => void,
      ) => {
        handlers.seal(call.request).then(
          response => callback(null, response),
          (error: unknown) => callback({ code: status.INTERNAL, details: String(error) }),
        );
      },
    });
  }

  /** Listens on ip:port and returns the port. Rejects with `addressTaken` if it can't. */
  async listen(ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.listener.once('error', error => reject(asFailure(error, 'addressTaken')));
      this.listener.listen(port, ip, () => resolve((this.listener.address() as AddressInfo).port));
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.listener.close();
    for (const link of [...this.links.values()]) link.close();
    const closed = new Promise<void>(resolve => this.grpcServer.tryShutdown(() => resolve()));
    const timeout = setTimeout(() => this.grpcServer.forceShutdown(), SHUTDOWN_TIMEOUT_MS);
    await closed;
    clearTimeout(timeout);
  }

  /** Detects the protocol by the first byte: HTTP/2 begins with a text, the length of a frame with a zero. */
  private accept(socket: Socket): void {
    const destroy = () => socket.destroy();
    socket.once('error', destroy);
    socket.setTimeout(FIRST_BYTE_TIMEOUT_MS, destroy);
    socket.once('data', (first: Buffer) => {
      socket.setTimeout(0);
      socket.off('error', destroy);
      if (first[0] === HTTP2_PREFACE_BYTE) this.injectGrpc(socket, first);
      else this.serveLink(socket, first);
    });
  }

  private injectGrpc(socket: Socket, first: Buffer): void {
    socket.pause();
    socket.unshift(first);
    this.grpcInjector.injectConnection(socket);
  }

  private serveLink(socket: Socket, first: Buffer): void {
    const { exchange: handle, scheduler, configuration, clock, meter = NO_METER } = this.handlers;
    const process = this.handlers.process.id;
    const link = new LinkServer(socket, { clock, handle, scheduler, process, configuration, meter });
    this.links.set(socket, link);
    socket.once('close', () => this.links.delete(socket));
    link.receive(first);
  }
}

/** "P", the first byte of the connection preface of HTTP/2 ("PRI"), on which gRPC runs. */
const HTTP2_PREFACE_BYTE = 0x50;
/** A peer sends data as soon as it has connected; a connection without any data is closed after this time. */
const FIRST_BYTE_TIMEOUT_MS = 5000;

const SHUTDOWN_TIMEOUT_MS = 500;
