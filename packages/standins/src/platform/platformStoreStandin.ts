/** In-memory store of the users' platform: versioned rows, conditional transactions, a change feed, and simulated faults. */
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Faults that are active now. */
export interface PlatformStoreFaults {
  /** How calls fail: with an error status, with a reset, or without any response. */
  down: 'no' | 503 | 429 | 'reset' | 'silent';
  /** Added to the time of every response. */
  delayMs: number;
  /** Ratio of writes that take effect but whose response is lost, 0 to 1. */
  loseAnswers: number;
  /** Delay after which writes take effect if their condition still holds; they get no response. 0 disables this fault. */
  lateWritesMs: number;
}

interface Row {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly rowVersion: number;
  readonly deleted?: true;
}

interface Transaction {
  readonly expect?: readonly { table: string; part: string; key: string; rowVersion: number }[];
  readonly puts?: readonly { table: string; part: string; key: string; value: string }[];
  readonly remove?: readonly { table: string; part: string; key: string }[];
}

const rowId = ({ table, part, key }: { table: string; part: string; key: string }) =>
  [table, part, key].join('\n');

/** Serves the store over HTTP. */
export class PlatformStoreStandin implements AsyncDisposable {
  readonly faults: PlatformStoreFaults = { down: 'no', delayMs: 0, loseAnswers: 0, lateWritesMs: 0 };
  /** Number of calls received for each path. */
  readonly calls = new Map<string, number>();
  private readonly rows = new Map<string, Row>();
  private history: Row[] = [];
  private historyStart = 0;
  private version = 0;
  private readonly feedWaiters = new Set<() => void>();
  private readonly server: Server;

  constructor(private readonly random: () => number = Math.random) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
  }

  /** Listens, and returns ip:port. */
  async listen(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${String((this.server.address() as AddressInfo).port)}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const wake of this.feedWaiters) wake();
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Writes a row of the unnamed part. */
  put(table: string, key: string, text: string): void {
    this.apply({ puts: [{ table, part: '', key, value: Buffer.from(text).toString('base64') }] });
  }

  /** Returns the decoded value of a row of the unnamed part. */
  text(table: string, key: string): string | undefined {
    const row = this.rows.get(rowId({ table, part: '', key }));
    return row && Buffer.from(row.value, 'base64').toString('utf8');
  }

  /** Removes a row, as if it had expired. */
  remove(table: string, key: string): void {
    this.apply({ remove: [{ table, part: '', key }] });
  }

  /** Discards the history; feed requests for it get status 410. */
  discardHistory(): void {
    this.history = [];
    this.historyStart = this.version;
    for (const wake of this.feedWaiters) wake();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const url = new URL(request.url ?? '/', 'http://store');
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
    const { down, delayMs, lateWritesMs } = this.faults;
    const isWrite = url.pathname.endsWith('-tx');
    if (down === 'silent') return;
    if (down === 'reset') return void request.socket.resetAndDestroy();
    if (down !== 'no') return writeJson(response, down, {});
    if (delayMs > 0) await sleep(delayMs);
    const text = Buffer.concat(chunks).toString('utf8');
    if (isWrite && lateWritesMs > 0) {
      response.destroy();
      await sleep(lateWritesMs);
    }
    const { status, body } = await this.dispatch(url, text);
    const isLost = isWrite && this.random() < this.faults.loseAnswers;
    if (isLost) response.destroy();
    else writeJson(response, status, body);
  }

  private async dispatch(url: URL, text: string): Promise<{ status: number; body: object }> {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/cleatquay/rows-tx':
        return this.apply(JSON.parse(text) as Transaction);
      case '/cleatquay/rows-get':
        return { status: 200, body: { ...this.page(query), ...this.versionAndTime() } };
      case '/cleatquay/rows-feed':
        return this.feed(query.get('table') ?? '', Number(query.get('after')), Number(query.get('waitMs')));
      default:
        return { status: 404, body: {} };
    }
  }

  private page(query: URLSearchParams): { rows: Row[]; hasMore: boolean } {
    const rows = this.find(query);
    const limit = Number(query.get('limit') ?? rows.length);
    return { rows: rows.slice(0, limit), hasMore: rows.length > limit };
  }

  private find(query: URLSearchParams): Row[] {
    const [table, part, from, to] = ['table', 'part', 'from', 'to'].map(name => query.get(name) ?? '');
    return [...this.rows.values()]
      .filter(row => row.table === table && row.part === part)
      .filter(row => row.key >= (from ?? '') && (to === '' || row.key < (to ?? '')))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  private async feed(
    table: string,
    after: number,
    waitMs: number,
  ): Promise<{ status: number; body: object }> {
    const end = performance.now() + waitMs;
    for (;;) {
      if (after < this.historyStart) return { status: 410, body: {} };
      const rows = this.history.filter(row => row.table === table && row.rowVersion > after);
      const remainingMs = end - performance.now();
      if (rows.length > 0 || remainingMs <= 0)
        return { status: 200, body: { rows, ...this.versionAndTime() } };
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, remainingMs);
        const wake = () => {
          clearTimeout(timer);
          this.feedWaiters.delete(wake);
          resolve();
        };
        this.feedWaiters.add(wake);
      });
    }
  }

  private apply({ expect = [], puts = [], remove = [] }: Transaction): { status: number; body: object } {
    const versionOf = (id: { table: string; part: string; key: string }) =>
      this.rows.get(rowId(id))?.rowVersion ?? 0;
    if (expect.some(e => versionOf(e) !== e.rowVersion)) {
      const rows = expect.flatMap(e => this.rows.get(rowId(e)) ?? []);
      return { status: 412, body: { rows, ...this.versionAndTime() } };
    }
    this.version++;
    for (const put of puts) {
      const row: Row = { ...put, rowVersion: this.version };
      this.rows.set(rowId(put), row);
      this.history.push(row);
    }
    for (const id of remove) {
      this.rows.delete(rowId(id));
      this.history.push({ ...id, value: '', rowVersion: this.version, deleted: true });
    }
    for (const wake of this.feedWaiters) wake();
    return { status: 200, body: this.versionAndTime() };
  }

  private versionAndTime(): { rowVersion: number; nowS: number } {
    return { rowVersion: this.version, nowS: performance.now() / 1000 };
  }
}

function writeJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
