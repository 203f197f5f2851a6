/** The platform over HTTP. */
import { Failure } from '@cleatquay/errors';
import { Pool } from 'undici';
import { type CommitResult, type ObjectStore, type Row, type RowWrite, type Table } from './store.js';

const MAX_CONNECTIONS = 4;
const DEFAULT_TIMEOUT_MS = 2000;

/** Client of both services at one URL. Makes no retries: its users know what may be repeated. */
export class HttpStore implements Table, ObjectStore, AsyncDisposable {
  private readonly pool: Pool;

  constructor(
    url: string,
    private readonly timeoutMs = DEFAULT_TIMEOUT_MS,
  ) {
    this.pool = new Pool(url, {
      connections: MAX_CONNECTIONS,
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
  }

  async read(key: string): Promise<Row | undefined> {
    const answer = await this.request('GET', `/table/${encodeURIComponent(key)}`);
    return answer.status === 404 ? undefined : parse<Row>(answer.text);
  }

  async commit(writes: readonly RowWrite[]): Promise<CommitResult> {
    const answer = await this.request('POST', '/table', JSON.stringify({ writes }));
    return parse<CommitResult>(answer.text);
  }

  async get(name: string): Promise<string | undefined> {
    const answer = await this.request('GET', `/objects/${encodeURIComponent(name)}`);
    return answer.status === 404 ? undefined : answer.text;
  }

  async put(name: string, content: string): Promise<void> {
    await this.request('PUT', `/objects/${encodeURIComponent(name)}`, content);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool.destroy();
  }

  private async request(method: 'GET' | 'POST' | 'PUT', path: string, body?: string) {
    try {
      const signal = AbortSignal.timeout(this.timeoutMs);
      const answer = await this.pool.request({ method, path, signal, body: body ?? null });
      const text = await answer.body.text();
      if (answer.statusCode < 500) return { status: answer.statusCode, text };
      throw new Error(`status ${String(answer.statusCode)}`);
    } catch (error) {
      throw new Failure(`The platform gave no answer to ${method} ${path}.`, {
        result: 'platformDown',
        cause: error,
      });
    }
  }
}

function parse<T>(text: string): T {
  try {
    return JSON.parse(text) as T;
  } catch (error) {
    throw new Failure("The platform's answer is not JSON.", {
      result: 'platformAnswerInvalid',
      cause: error,
    });
  }
}
