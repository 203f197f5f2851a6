/** In-memory table service and object store of the platform, with simulated outages, latency and lost responses. */
import { type CommitResult, type Row, type RowWrite } from '@cleatquay/store';
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Faults that are active now. */
export interface StoreFaults {
  /** Requests have no effect, and their connections are closed without a response. */
  down: boolean;
  /** Added to the time of every response. */
  delayMs: number;
  /** Ratio of writes that take effect but whose response is lost, 0 to 1. */
  loseAnswers: number;
}

/** Serves the platform over HTTP. */
export class StoreStandin implements AsyncDisposable {
  readonly faults: StoreFaults = { down: false, delayMs: 0, loseAnswers: 0 };
  /** Requests received. */
  readonly counts = { reads: 0, writes: 0 };
  private readonly rows = new Map<string, Row>();
  private readonly objects = new Map<string, string>();
  private readonly server: Server;

  constructor(private readonly random: () => number = Math.random) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens, and returns the URL. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(port, '127.0.0.1', resolve));
    return `http://127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    const path = request.url ?? '/';
    if (path === '/_faults') {
      Object.assign(this.faults, JSON.parse(body));
      return void response.end('{}');
    }
    if (path === '/_counts') return void response.end(JSON.stringify(this.counts));
    if (this.faults.down) return void response.destroy();
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    const result = this.handle(request.method ?? 'GET', path, body);
    const isLost = request.method !== 'GET' && this.random() < this.faults.loseAnswers;
    if (isLost) return void response.destroy();
    response.statusCode = result === undefined ? 404 : 200;
    response.end(result ?? '');
  }

  private handle(method: string, path: string, body: string): string | undefined {
    if (method === 'GET') this.counts.reads++;
    else this.counts.writes++;
    const name = decodeURIComponent(path.split('/')[2] ?? '');
    if (path.startsWith('/objects/')) return this.handleObject(method, name, body);
    if (method === 'POST')
      return JSON.stringify(this.commit((JSON.parse(body) as { writes: RowWrite[] }).writes));
    const row = this.rows.get(name);
    return row && JSON.stringify(row);
  }

  private handleObject(method: string, name: string, body: string): string | undefined {
    if (method === 'GET') return this.objects.get(name);
    if (!this.objects.has(name)) this.objects.set(name, body);
    return '{}';
  }

  private commit(writes: RowWrite[]): CommitResult {
    const conflict = writes.find(write => (this.rows.get(write.key)?.version ?? 0) !== write.ifVersion);
    if (conflict) return { committed: false, conflict: conflict.key };
    for (const { key, value, ifVersion } of writes)
      this.rows.set(key, { key, value, version: ifVersion + 1 });
    return { committed: true };
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}
