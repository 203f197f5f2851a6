/** A TCP proxy on loopback between a process and what it is connected to, with the faults of a network. */
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';

/** What it does with connections that are opened from now on. */
export type ProxyMode = 'pass' | 'reset';

/** Passes connections on, until it is told otherwise. */
export class LoopbackProxy implements AsyncDisposable {
  mode: ProxyMode = 'pass';
  private readonly open = new Set<Socket>();
  private readonly server: Server;

  private constructor(private readonly target: { readonly host: string; readonly port: number }) {
    this.server = createServer(socket => this.handleConnection(socket));
  }

  /** Listens in front of ip:port. */
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

  /** Open connections carry nothing any more, either way, and stay open; new ones work. */
  silence(): void {
    for (const socket of this.open) {
      socket.unpipe();
      socket.pause();
    }
  }

  /** Resets what is open, and whatever is opened until the mode is set back. */
  reset(): void {
    this.mode = 'reset';
    for (const socket of this.open) socket.resetAndDestroy();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.open) socket.destroy();
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
    this.open.add(from);
    from.pipe(to);
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.open.delete(from);
      to.destroy();
    });
  }
}
