/** HTTP connections to the local upstream, and requests over them. */
import { type CancelSignal, type Clock } from '@cleatquay/clock';
import { Readable } from 'node:stream';
import { type Dispatcher } from 'undici';
import { withEnd } from './requestProgress.js';
import { type FailedConnection } from './upstreamConnection.js';
import { UpstreamConnectionPool } from './upstreamConnectionPool.js';
import { type StreamPacer } from './streamPacer.js';
import { UpstreamExchange, type UpstreamRequest, type UpstreamResponse } from './upstreamExchange.js';

/**
 * For this long after a mismatched response or a failed connection, non-idempotent requests use a new connection each:
 * losing the response of one would cost more than some hundred new connections.
 */
const NO_REUSE_MS = 30_000;

/** The connections of one upstream. */
export class UpstreamConnections implements AsyncDisposable {
  private readonly pool: UpstreamConnectionPool;
  private noReuseUntil = Number.NEGATIVE_INFINITY;
  private readonly failedConnections = new WeakMap<object, FailedConnection>();

  constructor(
    private readonly clock: Clock,
    address: string,
    maxConnections: number,
    private readonly pacer: StreamPacer,
  ) {
    const onFailure = (error: Error, failed: FailedConnection) =>
      void this.failedConnections.set(error, failed);
    this.pool = new UpstreamConnectionPool({ clock, address, maxConnections, onFailure });
  }

  /** Sends a request; resolves when the response is complete, or has become too large for a single part. */
  send(request: UpstreamRequest, signal: CancelSignal): Promise<UpstreamResponse> {
    const isReuseUnsafe = this.clock.now() < this.noReuseUntil;
    const mayReuse = request.idempotent || !isReuseUnsafe;
    return new Promise((resolve, reject) => {
      const exchange = new UpstreamExchange(request, signal, this.pacer, { resolve, reject });
      const { id, method, path, headers, body } = request;
      const options: Dispatcher.DispatchOptions = {
        method: method as Dispatcher.HttpMethod,
        path,
        headers,
        body:
          body === undefined || Buffer.isBuffer(body)
            ? (body ?? null)
            : Readable.from(withEnd(body, () => exchange.onStreamedBodyEnd())),
        // A connection of its own ends with its response.
        ...(!mayReuse && { reset: true }),
      };
      this.pool.acquire({ requestId: id, mayReuse }, connection => {
        exchange.onConnection(connection);
        connection.dispatch(options, exchange);
      });
    });
  }

  /** Called after a mismatched response or a failed connection: stops the reuse of connections for non-idempotent requests for a while. */
  suspendReuse(): void {
    this.noReuseUntil = this.clock.now() + NO_REUSE_MS;
  }

  /** The connection whose failure ended an exchange with this error; undefined if the error has another cause. */
  failedConnection(error: unknown): FailedConnection | undefined {
    return typeof error === 'object' && error !== null ? this.failedConnections.get(error) : undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.pool[Symbol.asyncDispose]();
  }
}
