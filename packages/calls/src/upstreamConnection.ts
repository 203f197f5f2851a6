/** One connection to an upstream, which is opened again when it has ended, and what is known of the requests that it carried. */
import { type Clock } from '@cleatquay/clock';
import { type Socket } from 'node:net';
import { Client, type Dispatcher, buildConnector } from 'undici';
import { HeldReading } from './heldReading.js';

/** An upstream on the same VM that takes longer to accept a connection is considered down. */
const CONNECT_TIMEOUT_MS = 500;
/** Requests that a connection remembers: a response that comes later than that many others belongs to none of them. */
const MAX_REMEMBERED_REQUESTS = 64;

/** What was known of a connection when it failed. */
export interface FailedConnection {
  readonly ageMs: number;
  /** Bytes received on it; none on a connection that never had a response. */
  readonly bytesRead: number;
  readonly bytesWritten: number;
}

/** Which connection a request was sent on. */
export interface ConnectionUse {
  /** Number of the connection among those to the upstream. */
  readonly connection: number;
  /** Requests that it carried before. */
  readonly requestsBefore: number;
  /** Whether this request is among these. */
  readonly carriedBefore: boolean;
}

/** Of a request that has not been sent. */
export const NO_CONNECTION: ConnectionUse = { connection: 0, requestsBefore: 0, carriedBefore: false };

/** The current socket. */
interface OpenSocket {
  readonly socket: Socket;
  readonly reading: HeldReading;
  readonly number: number;
  readonly openedAt: number;
  /** The latest requests that were sent on it, in their order. */
  readonly requestIds: Set<string>;
  requests: number;
  /** Why it ended, if it failed. */
  failure: (Error & { code?: string }) | undefined;
}

/** Dependencies of a connection. */
export interface UpstreamConnectionOptions {
  readonly clock: Clock;
  /** ip:port */
  readonly address: string;
  /** The number of the next socket. */
  readonly nextNumber: () => number;
  /** Called when it can take a request. */
  readonly onFree: () => void;
  /** Called when it could not be opened: it must not be used again. */
  readonly onUnusable: () => void;
  readonly onFailure: (error: Error, failed: FailedConnection) => void;
}

/** A connection that carries one request at a time. */
export class UpstreamConnection {
  private readonly client: Client;
  private open: OpenSocket | undefined;
  private isTaken = false;

  constructor(private readonly options: UpstreamConnectionOptions) {
    const { address, onFree, onUnusable } = options;
    this.client = new Client(`http://${address}`, {
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: this.connector(),
    });
    this.client.on('drain', () => {
      this.isTaken = false;
      onFree();
    });
    this.client.on('connectionError', onUnusable);
  }

  /** Whether it carries no request. */
  get isFree(): boolean {
    return !this.isTaken;
  }

  /** Whether the next request is sent on a socket that is open already. */
  get isOpen(): boolean {
    return this.open !== undefined && !this.open.socket.destroyed;
  }

  /** Whether a request with this id was sent on the open socket. */
  hasCarried(requestId: string): boolean {
    return this.isOpen && this.open?.requestIds.has(requestId) === true;
  }

  /** Why the latest socket failed; undefined if it has not. */
  get failure(): Error | undefined {
    return this.open?.failure;
  }

  /** Sends a request. It must be free. */
  dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.isTaken = !this.client.dispatch(options, handler);
  }

  /** Records that a request is being sent on the open socket. */
  recordRequest(requestId: string): ConnectionUse {
    const { open } = this;
    if (!open) return NO_CONNECTION;
    open.reading.recordRequest();
    const use = {
      connection: open.number,
      requestsBefore: open.requests++,
      carriedBefore: open.requestIds.delete(requestId),
    };
    open.requestIds.add(requestId);
    const [oldest] = open.requestIds;
    if (open.requestIds.size > MAX_REMEMBERED_REQUESTS && oldest !== undefined)
      open.requestIds.delete(oldest);
    return use;
  }

  /** Records that a part of the body of the response has arrived. */
  recordBody(): void {
    this.open?.reading.recordBody();
  }

  /** Reads nothing more of the response until `releaseReading`. */
  holdReading(): void {
    this.open?.reading.hold();
  }

  releaseReading(): void {
    this.open?.reading.release();
  }

  /** Ends it once its requests have ended. */
  async close(): Promise<void> {
    await this.client.close();
  }

  private connector(): buildConnector.connector {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return (options, callback) => {
      connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
        if (error) return callback(error, null);
        this.adopt(socket as Socket);
        callback(null, socket);
      });
    };
  }

  /** Called before undici listens to the socket, so that a failure is known here before undici reports the end of a response. */
  private adopt(socket: Socket): void {
    const { clock, nextNumber, onFailure } = this.options;
    const open: OpenSocket = {
      socket,
      reading: new HeldReading(socket),
      number: nextNumber(),
      openedAt: clock.now(),
      requestIds: new Set(),
      requests: 0,
      failure: undefined,
    };
    this.open = open;
    socket.on('end', () => {
      if (isReset(socket)) open.failure ??= new Error('The connection was reset.');
    });
    socket.on('error', error => {
      open.failure ??= error;
      const ageMs = Math.round(clock.now() - open.openedAt);
      const { bytesRead, bytesWritten } = socket;
      onFailure(error, { ageMs, bytesRead, bytesWritten });
    });
  }
}

/** A socket that is reset before all data was read may report an ordinary end, but the kernel no longer knows its peer. */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}
