/**
 * A simulated upstream with concurrency slots, a backlog, service times, cold start, load shedding, draining,
 * cancellation, deadlines, and calls to downstream services through its local daemon.
 */
import { type Random } from '@cleatquay/clock';
import { CallGraph, type OperatorFile, type Route } from '@cleatquay/settings';
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Pool } from 'undici';
import { Ledger } from './ledger.js';
import { Semaphore } from './semaphore.js';
import { EVEN, UnevenWork, type Unevenness } from './unevenWork.js';

const ANNOUNCE_INTERVAL_MS = 1000;
const CHILD_CONNECTIONS = 512;
const DEFAULT_CONNECTIONS = 1000;

/** Identity of the upstream, and its local daemon. */
export interface UpstreamIdentity {
  readonly service: string;
  readonly file: OperatorFile;
  /** URL of its daemon's caller API. */
  readonly callerUrl: string;
  /** URL of its daemon's operator API, which also accepts announcements. */
  readonly operatorUrl: string;
  /** Ledger file for executed requests, if any. */
  readonly ledgerPath?: string | undefined;
}

/** Simulated behaviour; may be changed at run time. */
export interface UpstreamBehaviour {
  slots: number;
  /** Mean service time. */
  serviceMs: number;
  /** Distribution of service times. */
  serviceTimes: 'exponential' | 'constant';
  /** Requests beyond the slots and this backlog are refused with 503. */
  backlog: number;
  /** Factor on service times at the start, which falls to 1 over `coldMs`. */
  coldFactor: number;
  coldMs: number;
  /** Factor on all service times, to simulate a slowdown. */
  slowFactor: number;
  /** Announces itself as draining. */
  draining: boolean;
  /** Slots to announce instead of the real number; 0 for the real number. */
  claimedSlots: number;
  /** Requests a second that it reports as its limit in all responses; no limit if empty. */
  rateLimit: string;
  /** Reports in all responses that it shuts down, regardless of its announcements. */
  saysLeaving: boolean;
  /** Reports its load in all responses. */
  reportsLoad: boolean;
  /** Differences of its work time from others and over time. */
  unevenness: Unevenness;
  /** To requests beyond the slots and the backlog it never responds, nor to anything later on their connection, instead of refusing them. */
  hangsWhenFull: boolean;
}

const DEFAULTS: UpstreamBehaviour = {
  slots: 16,
  serviceMs: 20,
  serviceTimes: 'exponential',
  backlog: 100_000,
  coldFactor: 1,
  coldMs: 0,
  slowFactor: 1,
  draining: false,
  claimedSlots: 0,
  rateLimit: '',
  saysLeaving: false,
  reportsLoad: false,
  unevenness: EVEN,
  hangsWhenFull: false,
};

interface RunningRequest {
  readonly route: Route;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly token: string;
  readonly requestId: string;
  /** Aborted when the client disconnects. */
  readonly disconnected: AbortSignal;
}

export class UpstreamStandin implements AsyncDisposable {
  readonly behaviour: UpstreamBehaviour;
  private readonly ledger: Ledger;
  private readonly graph: CallGraph;
  private readonly server: Server;
  private readonly children: Pool;
  private readonly slots = new Semaphore(() => this.behaviour.slots);
  private readonly work: UnevenWork;
  private readonly stopped = new AbortController();
  private readonly startedAt = performance.now();
  private readonly silentSockets = new WeakSet<Socket>();
  private workMs = { useful: 0, wasted: 0 };

  constructor(
    private readonly identity: UpstreamIdentity,
    behaviour: Partial<UpstreamBehaviour>,
    private readonly random: Random,
  ) {
    this.behaviour = { ...DEFAULTS, ...behaviour };
    this.work = new UnevenWork(() => this.behaviour.unevenness, random, random);
    this.ledger = new Ledger(identity.ledgerPath);
    this.graph = new CallGraph(identity.file);
    this.children = new Pool(identity.callerUrl, {
      connections: CHILD_CONNECTIONS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens, announces itself periodically, and returns its address. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', 1024, resolve));
    const address = `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
    void this.keepAnnouncing(address);
    return address;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
    await this.children.destroy();
  }

  private async keepAnnouncing(address: string): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await this.announce(address).catch(() => undefined);
      await sleep(ANNOUNCE_INTERVAL_MS, undefined, { signal: this.stopped.signal }).catch(() => undefined);
    }
  }

  private async announce(address: string): Promise<void> {
    const announcement = {
      service: this.identity.service,
      address,
      slots: this.behaviour.claimedSlots || this.behaviour.slots,
      connections: DEFAULT_CONNECTIONS,
      state: this.behaviour.draining ? 'draining' : 'ready',
    };
    await fetch(`${this.identity.operatorUrl}/upstreams`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(announcement),
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/';
    if (path.startsWith('/_')) return this.control(path, request, response);
    const route = this.graph.find(this.identity.service, request.method ?? 'GET', path);
    this.setNoticeHeaders(response);
    if (!route) return writeJson(response, 404, { error: 'no such route' });
    if (this.isSilentTo(request.socket)) return;
    if (this.slots.waiting >= this.behaviour.backlog) return writeJson(response, 503, { error: 'shed' });
    const disconnect = new AbortController();
    response.on('close', () => disconnect.abort());
    if (!(await this.slots.acquire(disconnect.signal))) return;
    const token = headerValue(request, 'x-token');
    const requestId = headerValue(request, 'cleatquay-request-id');
    const job: RunningRequest = {
      route,
      request,
      response,
      token,
      requestId,
      disconnected: disconnect.signal,
    };
    try {
      await this.run(job);
    } finally {
      this.slots.release();
    }
  }

  /** Whether it never responds on this connection: always after a request that could not be queued. */
  private isSilentTo(socket: Socket): boolean {
    const { hangsWhenFull, slots, backlog } = this.behaviour;
    if (hangsWhenFull && this.slots.inUse >= slots && this.slots.waiting >= backlog)
      this.silentSockets.add(socket);
    return this.silentSockets.has(socket);
  }

  /** Sets the headers with which an upstream reports its state in each response. */
  private setNoticeHeaders(response: ServerResponse): void {
    const { rateLimit, saysLeaving, reportsLoad, slots } = this.behaviour;
    if (rateLimit !== '') response.setHeader('cleatquay-rate-limit', rateLimit);
    if (saysLeaving) response.setHeader('cleatquay-leaving', '1');
    const percent = this.work.reportedPercent(performance.now());
    const load = [this.slots.inUse, this.slots.waiting, slots, percent].join(',');
    if (reportsLoad) response.setHeader('cleatquay-load', load);
  }

  private async run({
    route,
    request,
    response,
    token,
    requestId,
    disconnected,
  }: RunningRequest): Promise<void> {
    const done = this.ledger.started({ token, route: route.name, requestId });
    const received = await countBodyBytes(request);
    const ms = this.serviceTime();
    await sleep(ms, undefined, { signal: disconnected }).catch(() => undefined);
    if (disconnected.aborted) return this.recordWork(ms, false);
    const children = await this.callChildren({
      route,
      request,
      response,
      token,
      requestId,
      disconnected,
    });
    const allSucceeded = children.every(child => child !== undefined);
    if (disconnected.aborted) return this.recordWork(ms, false);
    this.recordWork(ms, allSucceeded);
    if (!allSucceeded) return writeJson(response, 502, { error: 'a downstream call failed', token });
    done();
    const size = Number(new URL(request.url ?? '/', 'http://u').searchParams.get('size') ?? 0);
    writeJson(response, 200, { token, route: route.name, received, children, filler: 'x'.repeat(size) });
  }

  private recordWork(ms: number, useful: boolean): void {
    if (useful) this.workMs.useful += ms;
    else this.workMs.wasted += ms;
  }

  private serviceTime(): number {
    const { serviceMs, serviceTimes, slowFactor, coldFactor, coldMs } = this.behaviour;
    const age = performance.now() - this.startedAt;
    const cold = age < coldMs ? 1 + (coldFactor - 1) * (1 - age / coldMs) : 1;
    const spread = serviceTimes === 'constant' ? 1 : -Math.log(1 - this.random());
    return spread * serviceMs * slowFactor * cold * this.work.factor(performance.now());
  }

  private async callChildren(job: RunningRequest): Promise<unknown[]> {
    const responses: unknown[] = [];
    for (const [index, name] of job.route.calls.entries()) {
      const child = this.graph.get(name);
      const response = child && (await this.callChild(child, String(index), job));
      responses.push(response);
      if (response === undefined) break;
    }
    return responses;
  }

  /** Calls a downstream service through the local daemon; undefined if the call fails. */
  private async callChild(
    child: Route,
    key: string,
    { token, requestId, disconnected }: RunningRequest,
  ): Promise<unknown> {
    try {
      const response = await this.children.request({
        method: child.method as 'GET',
        path: `/${child.service}${child.path.replaceAll(/:\w+/g, '1')}`,
        signal: disconnected,
        headers: { 'x-token': token, 'cleatquay-parent': requestId, 'cleatquay-call-key': key },
        body: child.method === 'GET' ? null : '{}',
      });
      const body = (await response.body.json()) as { token?: string };
      return response.statusCode === 200 && body.token === token ? body : undefined;
    } catch {
      return undefined;
    }
  }

  private async control(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (path === '/_health') {
      this.setNoticeHeaders(response);
      return writeJson(response, 200, {});
    }
    if (path === '/_work') return writeJson(response, 200, { ...this.workMs, waiting: this.slots.waiting });
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (path === '/_reset') this.workMs = { useful: 0, wasted: 0 };
    else Object.assign(this.behaviour, JSON.parse(Buffer.concat(chunks).toString('utf8')));
    writeJson(response, 200, this.behaviour);
  }
}

function headerValue(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

async function countBodyBytes(request: IncomingMessage): Promise<number> {
  let length = 0;
  for await (const chunk of request) length += (chunk as Buffer).length;
  return length;
}

function writeJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
