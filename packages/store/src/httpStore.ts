/** HTTP client of the platform. */
import { Failure } from '@cleatquay/errors';
import { Pool } from 'undici';
import { boundedText } from './boundedText.js';
import { completeText } from './completeText.js';
import { type CommitResult, type ObjectStore, type Row, type RowWrite, type Table } from './store.js';

const MAX_CONNECTIONS = 4;
const DEFAULT_TIMEOUT_MS = 2000;
/** More than any object that a daemon stores. */
const MAX_RESPONSE_BYTES = 33_554_432;
const MIN_UNEXPECTED_STATUS = 300;
const NOT_FOUND = 404;

/** Client of the table service and the object store at one URL. It does not retry: callers know which requests are idempotent. */
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
    const response = await this.request('GET', `/table/${encodeURIComponent(key)}`);
    return response.status === NOT_FOUND ? undefined : parse<Row>(response.text);
  }

  async commit(writes: readonly RowWrite[]): Promise<CommitResult> {
    const response = await this.request('POST', '/table', JSON.stringify({ writes }));
    return parse<CommitResult>(response.text);
  }

  async get(name: string): Promise<string | undefined> {
    const response = await this.request('GET', `/objects/${encodeURIComponent(name)}`);
    return response.status === NOT_FOUND ? undefined : response.text;
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
      const response = await this.pool.request({ method, path, signal, body: body ?? null });
      const { statusCode: status } = response;
      const text =
        method === 'PUT'
          ? await boundedText(response.body, MAX_RESPONSE_BYTES)
          : await completeText(response, MAX_RESPONSE_BYTES);
      if (status < MIN_UNEXPECTED_STATUS || (method === 'GET' && status === NOT_FOUND))
        return { status, text };
      throw new Error(`status ${String(status)}`);
    } catch (error) {
      if (error instanceof Failure) throw error;
      throw new Failure(`The platform did not respond to ${method} ${path}.`, {
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
    throw new Failure("The platform's response is not JSON.", {
      result: 'platformAnswerInvalid',
      cause: error,
    });
  }
}
