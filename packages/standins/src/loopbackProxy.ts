/** A TCP proxy on loopback that simulates network faults between a process and a server. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { Transform } from 'node:stream';

/** How new connections are handled. */
export type ProxyMode = 'pass' | 'reset';

/** A stream that passes on each piece after a delay, in order. */
function delayBy(ms: number): Transform {
  return new Transform({
    transform: (piece: Buffer, _, done) => void setTimeout(() => done(null, piece), ms),
  });
}

/** Forwards connections unless a fault is injected. */
export class LoopbackProxy implements AsyncDisposable {
  mode: ProxyMode = 'pass';
  /** Delay of what new connections carry, in each direction, ms. */
  delayMs = 0;
  private readonly openSockets = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly target: { readonly host: string; readonly port: number }) {
    this.server = createServer(socket => this.handleConnection(socket));
  }

  /** Listens, and forwards to ip:port. */
  static async start(target: string): Promise<LoopbackProxy> {
    const [host = '', port] = target.split(':');
    const proxy = new LoopbackProxy({ host, port: Number(port) });
    await new Promise<void>(resolve => proxy.server.listen(0, '127.0.0.1', resolve));
    return proxy;
  }

  /** ip:port */
  get address(): string {
    return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  /** Open connections stop carrying data in both directions but stay open; new ones work. */
  stall(): void {
    for (const socket of this.openSockets) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Resets open connections, and new ones until the mode is set to `pass`. */
  reset(): void {
    this.mode = 'reset';
    for (const socket of this.openSockets) socket.resetAndDestroy();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.openSockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  private handleConnection(inbound: Socket): void {
    if (this.mode === 'reset') {
      inbound.resetAndDestroy();
      return;
    }
    const outbound = connect(this.target);
    this.pipe(inbound, outbound);
    this.pipe(outbound, inbound);
  }

  private pipe(from: Socket, to: Socket): void {
    this.openSockets.add(from);
    if (this.delayMs > 0) from.pipe(delayBy(this.delayMs)).pipe(to);
    else from.pipe(to);
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.openSockets.delete(from);
      to.destroy();
    });
  }
}
