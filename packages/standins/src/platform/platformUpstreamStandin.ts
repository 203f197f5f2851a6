/** A simulated upstream of the users' platform: announces itself to its daemon, runs requests in slots, and injects faults. */
import {
  Agent,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
  request as sendRequest,
} from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { seededRandom } from '@cleatquay/clock';
import { Semaphore } from '../semaphore.js';
import { EVEN, UnevenWork, type Unevenness } from '../unevenWork.js';

/** Fault to inject for a request. */
export type UpstreamFault =
  | 'none'
  /** Runs the request, and closes the connection without a response. */
  | 'drop-response'
  /** Runs it, and truncates the response. */
  | 'truncate-response'
  /** Runs it, and resets the connection in the middle of a close-delimited response. */
  | 'reset-close-delimited'
  /** Runs it, and closes the connection in the middle of a close-delimited response. */
  | 'truncate-close-delimited'
  /** Sends a complete close-delimited response. */
  | 'close-delimited'
  /** Responds twice; the second response comes late, where that of the next request is expected. */
  | 'respond-twice'
  /** Sends bytes that are not an HTTP response. */
  | 'invalid-response'
  /** Sends bytes without end until its connection is closed. */
  | 'endless'
  /** Responds as `scripted` of its behaviour does. */
  | 'scripted'
  /** Responds before it has read the body, and then reads it. */
  | 'respond-before-body'
  /** Refuses the request, and reports that it did not run it. */
  | 'shed'
  /** The same, and refuses it a second time where the response to the next request on the connection is expected. */
  | 'shed-twice'
  /** The same without the id of the request. */
  | 'shed-twice-without-id'
  /** Reports that another instance has the address. */
  | 'other-instance'
  /** Resets the connection before reading the request. */
  | 'reset-before-request'
  /** Crashes with all requests in flight some time after the start of this one, and restarts later as another instance. */
  | 'crash';

/** A call to another service during a request. */
export interface UpstreamCall {
  readonly host: string;
  readonly path: string;
}

/** Simulated behaviour; may be changed at run time. */
export interface PlatformUpstreamBehaviour {
  slots: number;
  workMs: number;
  bytes: number;
  calls: readonly UpstreamCall[];
  /** Time for reading each 64 KiB of a request body. */
  bodyReadMs: number;
  /** Selects the fault for a request. */
  fault: (requestId: string, path: string) => UpstreamFault;
  /** Time from the start of a query of death to the crash. */
  crashDelayMs: number;
  /** Time from a crash to the restart. */
  restartDelayMs: number;
  /** Requests a second that it reports as its limit in all responses; no limit if undefined. */
  rateLimit: string | string[] | undefined;
  /** Reports in all responses that it shuts down, regardless of its announcements. */
  saysLeaving: boolean;
  /** Reports its load in all responses, with these changes; reports none if undefined. */
  reportedLoad: ((figures: readonly number[]) => string) | undefined;
  unevenness: Unevenness;
  /**
   * Number of requests that may wait for a slot. To one more it never responds, nor to anything later on its connection; it runs no
   * part of it.
   */
  queue: number;
  /** What an endless response begins with, and what it repeats. */
  endless: { readonly beginning: string; readonly repeated: string };
  /** Responds by itself on the connection of a request. */
  scripted: (socket: Socket, requestId: string, path: string) => void;
  /** Completes runs whose caller has disconnected. */
  runsToTheEnd: boolean;
}

/** A request that reached the upstream. */
export interface ReceivedRequest {
  readonly requestId: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  /** Time of receipt by `performance.now()`, ms. */
  readonly at: number;
  ran: boolean;
  /** Bytes of the body that were read so far. */
  bodyBytes: number;
  /** The connection closed before the end of the body. */
  isBodyBroken: boolean;
  ended: boolean;
}

/** A simulated crash, and the request that caused it. */
export interface SimulatedCrash {
  /** Time of the crash by `performance.now()`, ms. */
  readonly at: number;
  readonly requestId: string;
}

const BODY_PART_BYTES = 65_536;

const DEFAULTS: PlatformUpstreamBehaviour = {
  slots: 20,
  workMs: 5,
  bytes: 200,
  calls: [],
  bodyReadMs: 0,
  fault: () => 'none',
  crashDelayMs: 55,
  restartDelayMs: 2500,
  rateLimit: undefined,
  saysLeaving: false,
  reportedLoad: undefined,
  unevenness: EVEN,
  queue: Number.POSITIVE_INFINITY,
  endless: { beginning: '', repeated: 'x' },
  scripted: socket => socket.destroy(),
  runsToTheEnd: false,
};

export class PlatformUpstreamStandin implements AsyncDisposable {
  readonly behaviour: PlatformUpstreamBehaviour;
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly crashes: SimulatedCrash[] = [];
  /** Requests to which it does not respond because they could not be queued. */
  readonly unqueuedRequests: ReceivedRequest[] = [];
  /** Connections with an endless response that are open. */
  readonly endlessSockets = new Set<Socket>();
  /** Connections on which it no longer responds. */
  readonly silentSockets = new Set<Socket>();
  /** Second copies of responses, which are sent at the next request on their connection. */
  private readonly lateCopies = new WeakMap<Socket, string>();
  private server: Server;
  private readonly slots = new Semaphore(() => this.behaviour.slots);
  private readonly work: UnevenWork;
  private readonly stopped = new AbortController();
  private isAnnouncing = false;
  private isLeaving = false;
  private sequence = 0;
  private calls = 0;
  private heartbeatMs = 0;
  private starts = 1;
  address = '';

  constructor(
    private readonly name: string,
    readonly service: string,
    /** ip:port at which its daemon accepts announcements, and calls. */
    private readonly daemon: { readonly announcements: string; readonly callers: string },
    behaviour: Partial<PlatformUpstreamBehaviour> = {},
  ) {
    this.behaviour = { ...DEFAULTS, ...behaviour };
    const random = seededRandom(name);
    this.work = new UnevenWork(() => this.behaviour.unevenness, random, random);
    this.server = this.createHttpServer();
  }

  /** Instance id, which differs for each process start. */
  get instanceId(): string {
    return this.starts === 1 ? this.name : `${this.name}-${String(this.starts)}`;
  }

  /** Whether it has started again after its latest crash. */
  get hasRestarted(): boolean {
    return this.starts > this.crashes.length;
  }

  /** Listens, without announcing itself. */
  async listen(port = 0): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Announces itself once, and returns the status of the daemon's response. */
  async announce(change: Record<string, unknown> = {}): Promise<number> {
    const { slots } = this.behaviour;
    const body = {
      service: this.service,
      address: this.address,
      zone: 'z',
      version: 'v1',
      slots,
      state: 'ready',
      warmupLeftS: 0,
      sequence: ++this.sequence,
      ...change,
    };
    return this.postAnnouncement('heartbeat', JSON.stringify(body));
  }

  /** Announces itself periodically until it is disposed of. */
  keepAnnouncing(intervalMs: number): void {
    this.isAnnouncing = true;
    this.heartbeatMs = intervalMs;
    const announceRepeatedly = async (): Promise<void> => {
      while (!this.stopped.signal.aborted && this.isAnnouncing) {
        if (this.server.listening) await this.announce().catch(() => 0);
        await sleep(intervalMs, undefined, { signal: this.stopped.signal }).catch(() => undefined);
      }
    };
    void announceRepeatedly();
  }

  /** Stops the periodic announcements. */
  stopAnnouncing(): void {
    this.isAnnouncing = false;
  }

  /** Simulates a crash: closes all connections and the listener, and restarts later as another instance. */
  async crash(requestId = ''): Promise<void> {
    if (!this.server.listening) return;
    this.crashes.push({ at: performance.now(), requestId });
    this.isAnnouncing = false;
    const { server } = this;
    this.server = this.createHttpServer();
    const closed = new Promise(resolve => server.close(resolve));
    server.closeAllConnections();
    await closed;
    await sleep(this.behaviour.restartDelayMs, undefined, { signal: this.stopped.signal }).catch(
      () => undefined,
    );
    if (this.stopped.signal.aborted) return;
    this.starts++;
    this.sequence = 0;
    this.isLeaving = false;
    await this.listen(Number(this.address.split(':')[1]));
    if (this.heartbeatMs > 0) this.keepAnnouncing(this.heartbeatMs);
  }

  /** Announces its shutdown. */
  leave(): Promise<number> {
    this.isLeaving = true;
    return this.postAnnouncement('leave', '');
  }

  /** Number of times that the request ran. */
  countRuns(requestId: string): number {
    return this.receivedRequests.filter(received => received.requestId === requestId && received.ran).length;
  }

  private createHttpServer(): Server {
    return createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  private async postAnnouncement(what: string, body: string): Promise<number> {
    const url = `http://${this.daemon.announcements}/cleatquay/instances/${this.instanceId}/${what}`;
    const response = await fetch(url, {
      method: 'POST',
      body,
      headers: { 'content-type': 'application/json' },
    });
    await response.arrayBuffer();
    return response.status;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = String(request.headers['request-id'] ?? '');
    if (request.url === '/health')
      return this.write(response, this.isLeaving ? 503 : 200, requestId, 'health', {
        'Instance-Id': this.instanceId,
      });
    const received: ReceivedRequest = {
      requestId,
      path: request.url ?? '',
      headers: request.headers,
      at: performance.now(),
      ran: false,
      bodyBytes: 0,
      isBodyBroken: false,
      ended: false,
    };
    this.receivedRequests.push(received);
    this.sendLateCopy(request.socket);
    if (this.silentSockets.has(request.socket) || this.isFull) {
      this.unqueuedRequests.push(received);
      return void this.silentSockets.add(request.socket);
    }
    const fault = this.behaviour.fault(requestId, received.path);
    if (fault === 'reset-before-request') return void request.socket.resetAndDestroy();
    if (fault === 'shed') return this.write(response, 503, requestId, 'full', { 'Not-Executed': '1' });
    if (fault === 'shed-twice') return this.shedTwice(request, response, { 'Request-Id': requestId });
    if (fault === 'shed-twice-without-id') return this.shedTwice(request, response, {});
    const expected = request.headers['expect-instance'];
    if (fault === 'other-instance' || (expected !== undefined && expected !== this.instanceId))
      return this.write(response, 421, requestId, 'other');
    const disconnect = new AbortController();
    response.on('close', () => this.behaviour.runsToTheEnd || disconnect.abort());
    if (!(await this.slots.acquire(disconnect.signal))) return;
    try {
      received.ran = true;
      if (fault === 'crash') setTimeout(() => void this.crash(requestId), this.behaviour.crashDelayMs);
      const reading = this.readBody(request, received);
      if (fault === 'respond-before-body') this.respond('none', request, response, requestId);
      await reading;
      if (fault === 'respond-before-body') return;
      if (fault === 'crash') await sleep(2 * this.behaviour.crashDelayMs);
      const workMs = this.behaviour.workMs * this.work.factor(performance.now());
      await sleep(workMs, undefined, { signal: disconnect.signal }).catch(() => undefined);
      const allSucceeded = await this.makeCalls(requestId);
      received.ended = !disconnect.signal.aborted;
      if (!allSucceeded) return this.write(response, 500, requestId, 'a call failed');
      this.respond(fault, request, response, requestId);
    } finally {
      this.slots.release();
    }
  }

  private async readBody(request: IncomingMessage, received: ReceivedRequest): Promise<void> {
    // After a response, node does not report that the rest of the request is missing.
    const { socket } = request;
    const onClose = () => request.destroy(new Error('The connection closed before the end of the body.'));
    socket.once('close', onClose);
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        received.bodyBytes += chunk.length;
        const readMs = (this.behaviour.bodyReadMs * chunk.length) / BODY_PART_BYTES;
        if (readMs >= 1) await sleep(readMs);
      }
    } catch (error) {
      received.isBodyBroken = true;
      throw error;
    } finally {
      socket.off('close', onClose);
    }
  }

  private shedTwice(request: IncomingMessage, response: ServerResponse, id: Record<string, string>): void {
    const headers = { ...id, 'Not-Executed': '1', 'Content-Length': '4' };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    this.lateCopies.set(request.socket, `HTTP/1.1 503 Full\r\n${lines.join('')}\r\nfull`);
    response.writeHead(503, headers);
    response.end('full');
  }

  private sendLateCopy(socket: Socket): void {
    const copy = this.lateCopies.get(socket);
    this.lateCopies.delete(socket);
    if (copy !== undefined) socket.write(copy);
  }

  private get isFull(): boolean {
    const { slots, queue } = this.behaviour;
    return this.slots.inUse >= slots && this.slots.waiting >= queue;
  }

  private respond(
    fault: UpstreamFault,
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): void {
    const text = `${requestId} ${'x'.repeat(this.behaviour.bytes)}`;
    const { socket } = request;
    const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Stamp: ${this.instanceId}\r\n`;
    const framed = `${head}Content-Length: ${String(text.length)}\r\n\r\n`;
    switch (fault) {
      case 'drop-response':
        return void socket.destroy();
      case 'truncate-response':
        return void socket.end(framed + text.slice(0, text.length / 2));
      case 'reset-close-delimited':
        return void socket.write(`${head}Connection: close\r\n\r\n${text.slice(0, text.length / 2)}`, () =>
          setTimeout(() => socket.resetAndDestroy(), 20),
        );
      case 'truncate-close-delimited':
        return void socket.end(`${head}Connection: close\r\n\r\n${text.slice(0, text.length / 2)}`);
      case 'close-delimited':
        return void socket.end(`${head}Connection: close\r\n\r\n${text}`);
      case 'invalid-response':
        return void socket.end('not an HTTP response\r\n\r\n');
      case 'endless':
        return this.respondEndlessly(socket, requestId);
      case 'scripted':
        return this.behaviour.scripted(socket, requestId, request.url ?? '');
      case 'respond-twice':
        this.write(response, 200, requestId, text);
        return void setTimeout(() => socket.writable && socket.write(framed + text), 30);
      default:
        return this.write(response, 200, requestId, text);
    }
  }

  /** Sends bytes as fast as they are taken. */
  private respondEndlessly(socket: Socket, requestId: string): void {
    const { beginning, repeated } = this.behaviour.endless;
    const bytes = Buffer.from(repeated.repeat(Math.ceil(BODY_PART_BYTES / repeated.length)));
    this.endlessSockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.endlessSockets.delete(socket));
    socket.write(beginning.replaceAll('{id}', requestId));
    const send = () => {
      while (!socket.destroyed && socket.write(bytes));
    };
    socket.on('drain', send);
    send();
  }

  private write(
    response: ServerResponse,
    status: number,
    requestId: string,
    text: string,
    more: Record<string, string> = {},
  ): void {
    response.writeHead(status, {
      'Request-Id': requestId,
      'Server-Stamp': this.instanceId,
      'Instance-Id': this.instanceId,
      'Content-Length': String(text.length),
      ...this.noticeHeaders(),
      ...more,
    });
    response.end(text);
  }

  /** Headers with which an upstream reports its state in each response. */
  private noticeHeaders(): Record<string, string | string[]> {
    const { rateLimit, saysLeaving, reportedLoad, slots } = this.behaviour;
    const percent = this.work.reportedPercent(performance.now());
    return {
      ...(reportedLoad && {
        'Server-Load': reportedLoad([this.slots.inUse, this.slots.waiting, slots, percent]),
      }),
      ...(rateLimit !== undefined && { 'Server-Limit': rateLimit }),
      ...(saysLeaving && { 'Server-Leaving': '1' }),
    };
  }

  private async makeCalls(requestId: string): Promise<boolean> {
    for (const { host, path } of this.behaviour.calls) {
      const id = `${requestId}.${String(++this.calls)}`;
      if ((await sendCall(this.daemon.callers, host, path, id)) !== 200) return false;
    }
    return true;
  }
}

const KEEP_ALIVE_AGENT = new Agent({ keepAlive: true });

async function sendCall(daemon: string, host: string, path: string, id: string): Promise<number> {
  const [ip, port] = daemon.split(':');
  return new Promise(resolve => {
    const call = sendRequest(
      {
        host: ip,
        port,
        path,
        agent: KEEP_ALIVE_AGENT,
        headers: { host, 'Request-Id': id, 'Deadline-Ms': '2000' },
      },
      response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', () => resolve(0));
      },
    );
    call.on('error', () => resolve(0));
    call.end();
  });
}
