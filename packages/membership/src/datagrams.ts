/** Datagram transport by IP address and port: UDP, or a simulated network in tests. */
import { asFailure } from '@cleatquay/errors';
import { type Socket, createSocket } from 'node:dgram';
import { type AddressInfo } from 'node:net';

/** Sends and receives datagrams, which may be lost, duplicated or delayed. */
export interface Datagrams {
  /** Own address, as ip:port. */
  readonly address: string;
  send(to: string, bytes: Uint8Array): void;
  receive(handler: (bytes: Uint8Array) => void): void;
}

/** Datagrams over a UDP socket. */
export class UdpDatagrams implements Datagrams, AsyncDisposable {
  private constructor(
    private readonly socket: Socket,
    readonly address: string,
  ) {}

  /** Binds to `ip`; port 0 picks a free port. */
  static async bind(ip: string, port: number): Promise<UdpDatagrams> {
    const socket = createSocket('udp4');
    await new Promise<void>((resolve, reject) => {
      socket.once('error', error => reject(asFailure(error, 'addressTaken')));
      socket.bind(port, ip, resolve);
    });
    socket.removeAllListeners('error');
    socket.on('error', () => undefined);
    const bound: AddressInfo = socket.address();
    return new UdpDatagrams(socket, `${ip}:${String(bound.port)}`);
  }

  send(to: string, bytes: Uint8Array): void {
    const colon = to.lastIndexOf(':');
    this.socket.send(bytes, Number(to.slice(colon + 1)), to.slice(0, colon), () => undefined);
  }

  receive(handler: (bytes: Uint8Array) => void): void {
    this.socket.on('message', handler);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>(resolve => this.socket.close(() => resolve()));
  }
}
