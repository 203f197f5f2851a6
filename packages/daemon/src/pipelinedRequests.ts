/** Bounds the requests that callers pipeline: those of one connection that are served at once, and the memory of all that wait behind them. */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type Socket } from 'node:net';
import { type LogLine, boundedLog } from './boundedLog.js';

/** Requests of one connection that are served at the same time. Their responses are sent in order, so that more would gain little. */
const MAX_SERVED = 16;
/**
 * Memory for requests that wait, of all connections together: some 250 requests. A connection may have as much of it as is left for others, so that
 * one alone gets the half, and callers that take all they can leave room for one more.
 */
const MAX_WAITING_BYTES = 2_097_152;
/** The objects of a request and its response, beside the strings of its head. */
const REQUEST_BYTES = 8192;

interface WaitingRequest {
  readonly bytes: number;
  readonly resume: () => void;
}

/** What a handler of the parser returns so that it reads no further; the server gets an error of this code. */
const STOP_PARSER = -1;
const STOPPED_CODE = 'HPE_CB_HEADERS_COMPLETE';

/** The parser of a connection; it calls its handler for each complete head of what one read got, also while the connection is paused. */
interface HttpParser {
  onIncoming: (request: IncomingMessage, keepAlive: boolean) => number;
}

interface HttpSocket extends Socket {
  readonly parser?: HttpParser;
}

interface Connection {
  readonly served: Set<ServerResponse>;
  readonly waiting: Map<ServerResponse, WaitingRequest>;
  waitingBytes: number;
  isClosed: boolean;
}

/** Whether an error of the parser is the end of a connection whose caller has pipelined too many requests. */
export function isPipelineExcess({ code }: Error & { code?: string }): boolean {
  return code === STOPPED_CODE;
}

/**
 * The outstanding requests of callers, by connection. A connection with requests that wait is read on, which shows when its caller leaves. Once there is
 * no room for the next one, it is parsed no further; what was accepted before is served, since an upstream may run it.
 */
export class PipelinedRequests {
  private readonly connections = new WeakMap<Socket, Connection>();
  private waitingBytes = 0;
  private readonly turns = new WeakMap<ServerResponse, Promise<void>>();

  private readonly log: LogLine;

  constructor(log: LogLine) {
    this.log = boundedLog(log);
  }

  /** Follows the requests of a server, from their heads to the ends of their responses. */
  watch(server: Server): void {
    server.on('connection', (socket: HttpSocket) => this.limit(socket));
    // The parser goes on before a listener that does anything else has run.
    server.prependListener('request', (request, response) => this.add(request, response));
  }

  /** Returns undefined if the request may be served at once; otherwise resolves when it may, or when its connection has closed. */
  turnOf(response: ServerResponse): Promise<void> | undefined {
    return this.turns.get(response);
  }

  private limit(socket: HttpSocket): void {
    const { parser } = socket;
    if (!parser) return;
    const handle = parser.onIncoming;
    parser.onIncoming = (request, keepAlive) =>
      this.hasRoom(socket) ? handle(request, keepAlive) : STOP_PARSER;
  }

  private hasRoom(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    if (!connection || connection.served.size < MAX_SERVED) return true;
    if (connection.waitingBytes <= MAX_WAITING_BYTES - this.waitingBytes) return true;
    const facts = { requests: connection.waiting.size, bytes: connection.waitingBytes };
    this.log(
      'Callers: A connection is read no further, since its pipelined requests take too much memory.',
      facts,
    );
    return false;
  }

  private add(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connectionOf(request.socket);
    response.once('close', () => this.remove(connection, response));
    if (connection.served.size < MAX_SERVED) {
      connection.served.add(response);
      return;
    }
    const turn = new Promise<void>(resume =>
      this.wait(connection, response, { bytes: bytesOf(request), resume }),
    );
    this.turns.set(response, turn);
  }

  private connectionOf(socket: Socket): Connection {
    const known = this.connections.get(socket);
    if (known) return known;
    const connection: Connection = {
      served: new Set(),
      waiting: new Map(),
      waitingBytes: 0,
      isClosed: false,
    };
    this.connections.set(socket, connection);
    socket.once('close', () => this.release(connection));
    return connection;
  }

  private wait(connection: Connection, response: ServerResponse, request: WaitingRequest): void {
    connection.waiting.set(response, request);
    this.count(connection, request.bytes);
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
    if (!connection.isClosed) this.count(connection, -request.bytes);
    request.resume();
  }

  /** Not every response that waits on a connection which closes gets an event for that. */
  private release(connection: Connection): void {
    connection.isClosed = true;
    this.waitingBytes -= connection.waitingBytes;
  }

  private count(connection: Connection, bytes: number): void {
    connection.waitingBytes += bytes;
    this.waitingBytes += bytes;
  }
}

function bytesOf({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((bytes, text) => bytes + text.length, REQUEST_BYTES + url.length);
}
