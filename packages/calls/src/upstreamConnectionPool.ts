/** Chooses the connection to an upstream on which a request is sent, and lets requests wait while all are in use. */
import { UpstreamConnection, type UpstreamConnectionOptions } from './upstreamConnection.js';

/** Dependencies of a pool. */
export interface UpstreamConnectionPoolOptions extends Pick<
  UpstreamConnectionOptions,
  'clock' | 'address' | 'onFailure'
> {
  readonly maxConnections: number;
}

/**
 * What a request needs of its connection. A request is never sent twice on one: an upstream may send a response again, late, and the id of the
 * request would not tell a copy from the response to the later send.
 */
export interface ConnectionDemand {
  readonly requestId: string;
  /** Whether it may be sent on a connection that has carried other requests. */
  readonly mayReuse: boolean;
}

interface WaitingRequest {
  readonly demand: ConnectionDemand;
  readonly start: (connection: UpstreamConnection) => void;
}

/** The connections to one upstream. */
export class UpstreamConnectionPool implements AsyncDisposable {
  private connections: UpstreamConnection[] = [];
  private readonly waiting: WaitingRequest[] = [];
  private sockets = 0;
  private onWaitingEnd: (() => void) | undefined;
  private isClosed = false;

  constructor(private readonly options: UpstreamConnectionPoolOptions) {}

  /** Calls `start` with a free connection, at once or when there is one. The request has to be dispatched on it before `start` returns. */
  acquire(demand: ConnectionDemand, start: (connection: UpstreamConnection) => void): void {
    if (this.isClosed) throw new Error('The connections to the upstream are closed.');
    if (this.waiting.length > 0) this.serveWaiting();
    const connection = this.waiting.length === 0 ? this.choose(demand) : undefined;
    if (connection) start(connection);
    else this.waiting.push({ demand, start });
  }

  /** Closes the connections once all requests have ended. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    if (this.waiting.length > 0) await new Promise<void>(resolve => (this.onWaitingEnd = resolve));
    await Promise.all(this.connections.map(connection => connection.close()));
  }

  /** A free connection, preferably one that is open; undefined if all are in use. */
  private choose(demand: ConnectionDemand): UpstreamConnection | undefined {
    let closed: UpstreamConnection | undefined;
    let unsuitable: UpstreamConnection | undefined;
    for (const connection of this.connections) {
      if (!connection.isFree) continue;
      if (!connection.isOpen) closed ??= connection;
      else if (demand.mayReuse && !connection.hasCarried(demand.requestId)) return connection;
      else unsuitable ??= connection;
    }
    if (closed) return closed;
    if (this.connections.length < this.options.maxConnections) return this.add();
    return unsuitable && this.replace(unsuitable);
  }

  private add(): UpstreamConnection {
    const { clock, address, onFailure } = this.options;
    const connection: UpstreamConnection = new UpstreamConnection({
      clock,
      address,
      onFailure,
      nextNumber: () => ++this.sockets,
      onFree: () => this.serveWaiting(),
      onUnusable: () => {
        this.remove(connection);
        this.serveWaiting();
      },
    });
    this.connections.push(connection);
    return connection;
  }

  private replace(connection: UpstreamConnection): UpstreamConnection {
    this.remove(connection);
    void connection.close();
    return this.add();
  }

  private remove(connection: UpstreamConnection): void {
    this.connections = this.connections.filter(other => other !== connection);
  }

  private serveWaiting(): void {
    for (let next = this.waiting[0]; next; next = this.waiting[0]) {
      const connection = this.choose(next.demand);
      if (!connection) return;
      this.waiting.shift();
      next.start(connection);
    }
    this.onWaitingEnd?.();
  }
}
