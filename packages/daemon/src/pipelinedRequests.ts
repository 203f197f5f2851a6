/** Bounds the requests that callers pipeline: those of one connection that are served at once, and the memory of all that wait behind them. */
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type LogLine, boundedLog } from './boundedLog.js';
import { noteClose } from './closeLog.js';

/** Requests of one connection that are served at the same time. Their responses are sent in order, so that more would gain little. */
const MAX_SERVED = 16;
/** Memory for requests that wait, of all connections together: some hundred requests. */
const MAX_WAITING_BYTES = 1_048_576;
/** The objects of a request and its response, beside the strings of its head. */
const REQUEST_BYTES = 8192;

interface WaitingRequest {
  readonly bytes: number;
  readonly resume: () => void;
}

/** A connection whose output is full is paused by the HTTP server of Node.js, too, together with its parser. */
interface HttpSocket extends Socket {
  readonly _paused?: boolean;
}

interface Connection {
  readonly socket: HttpSocket;
  readonly served: Set<ServerResponse>;
  readonly waiting: Map<ServerResponse, WaitingRequest>;
  waitingBytes: number;
}

/** The outstanding requests of callers, by connection. */
export class PipelinedRequests {
  private readonly connections = new WeakMap<Socket, Connection>();
  /** Connections with requests that wait. */
  private readonly waiting = new Set<Connection>();
  private waitingBytes = 0;

  private readonly log: LogLine;

  constructor(log: LogLine) {
    this.log = boundedLog(log);
  }

  /** Returns undefined if the request may be served at once; otherwise resolves when it may, or when its connection has closed. */
  add(request: IncomingMessage, response: ServerResponse): Promise<void> | undefined {
    const connection = this.connectionOf(request.socket);
    response.once('close', () => this.remove(connection, response));
    if (connection.served.size < MAX_SERVED) {
      connection.served.add(response);
      return undefined;
    }
    return new Promise(resume => this.wait(connection, response, { bytes: bytesOf(request), resume }));
  }

  private connectionOf(socket: Socket): Connection {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection = { socket, served: new Set<ServerResponse>(), waiting: new Map(), waitingBytes: 0 };
    this.connections.set(socket, connection);
    return connection;
  }

  private wait(connection: Connection, response: ServerResponse, request: WaitingRequest): void {
    connection.waiting.set(response, request);
    connection.socket.pause();
    // Node.js passes on the rest of what it has read of a connection that was closed here.
    if (connection.socket.destroyed) return;
    this.waiting.add(connection);
    this.count(connection, request.bytes);
    if (this.waitingBytes > MAX_WAITING_BYTES) this.closeLargest();
  }

  private remove(connection: Connection, response: ServerResponse): void {
    const { served, waiting } = connection;
    if (served.delete(response)) {
      const [next] = waiting.keys();
      if (next === undefined) return;
      this.resume(connection, next);
      served.add(next);
    } else this.resume(connection, response);
  }

  private resume(connection: Connection, response: ServerResponse): void {
    const request = connection.waiting.get(response);
    if (!request) return;
    connection.waiting.delete(response);
    if (this.waiting.has(connection)) this.count(connection, -request.bytes);
    request.resume();
    if (connection.waiting.size > 0) return;
    this.waiting.delete(connection);
    const { socket } = connection;
    // Its parser accepts nothing before the server resumes the connection itself.
    if (!socket.destroyed && socket._paused !== true) socket.resume();
  }

  private count(connection: Connection, bytes: number): void {
    connection.waitingBytes += bytes;
    this.waitingBytes += bytes;
  }

  private closeLargest(): void {
    const [first, ...others] = this.waiting;
    if (!first) return;
    const largest = others.reduce((a, b) => (b.waitingBytes > a.waitingBytes ? b : a), first);
    this.waiting.delete(largest);
    this.waitingBytes -= largest.waitingBytes;
    const facts = { requests: largest.waiting.size, bytes: largest.waitingBytes };
    this.log('Callers: Closed a connection, since its pipelined requests took too much memory.', facts);
    noteClose(largest.socket, 'pipelinedRequests');
    // An ordinary end could complete a response that is being sent.
    largest.socket.resetAndDestroy();
  }
}

function bytesOf({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((bytes, text) => bytes + text.length, REQUEST_BYTES + url.length);
}
