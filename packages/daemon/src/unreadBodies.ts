/**
 * Bounds what is read of a request's body after its response. The connection carries nothing else meanwhile, so that the rest has to be
 * read, but not for good.
 */
import { type Clock } from '@cleatquay/clock';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type LogLine, boundedLog } from './boundedLog.js';
import { type BodyLimits } from './callerBody.js';
import { noteClose } from './closeLog.js';
import { type Metrics } from './metrics.js';

/** How often the limits of a rest are checked, ms. */
const CHECK_INTERVAL_MS = 250;

/** Dependencies. */
export interface UnreadBodiesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
}

/** What is left of a body whose response is complete. */
interface Rest {
  readonly request: IncomingMessage;
  readonly limits: BodyLimits;
  /** When the response was complete, clock time in ms. */
  readonly answeredAt: number;
  /** Bytes that the connection had received by then. */
  readonly bytesBefore: number;
}

/** The requests of callers that have a response and an unread rest of their body. */
export class UnreadBodies {
  private readonly rests = new Set<Rest>();
  private readonly log: LogLine;
  private closed = 0;

  constructor(private readonly options: UnreadBodiesOptions) {
    const { metrics, log } = options;
    this.log = boundedLog(log);
    const gauge = (name: string, help: string, read: () => number) =>
      metrics.gauge(`cleatquay_${name}`, help, read);
    gauge(
      'unread_bodies',
      'Requests with a complete response of whose body a part is unread',
      () => this.rests.size,
    );
    gauge('unread_body_age_ms', 'Time since the oldest of these responses', () => this.oldestMs);
    gauge(
      'unread_bodies_closed',
      'Connections that were closed since the rest of a body took too long',
      () => this.closed,
    );
  }

  private get oldestMs(): number {
    const [oldest] = this.rests;
    return oldest === undefined ? 0 : this.options.clock.now() - oldest.answeredAt;
  }

  /**
   * Follows a request with a body. Once its response is complete, the rest may be as long as a body, and take `idleTimeoutMs` in all; then its
   * connection is closed.
   */
  follow(request: IncomingMessage, response: ServerResponse, limits: BodyLimits): void {
    response.once('finish', () => {
      if (request.complete) return;
      const answeredAt = this.options.clock.now();
      const rest = { request, limits, answeredAt, bytesBefore: request.socket.bytesRead };
      this.rests.add(rest);
      this.check(rest);
    });
  }

  private check(rest: Rest): void {
    const { clock } = this.options;
    const { request, limits, answeredAt, bytesBefore } = rest;
    if (request.complete || request.socket.destroyed) return void this.rests.delete(rest);
    const bytes = request.socket.bytesRead - bytesBefore;
    const forMs = clock.now() - answeredAt;
    if (bytes > limits.bodyBytes || forMs >= limits.idleTimeoutMs) return this.close(rest, bytes, forMs);
    clock.after(CHECK_INTERVAL_MS, () => this.check(rest));
  }

  private close(rest: Rest, bytes: number, forMs: number): void {
    this.rests.delete(rest);
    noteClose(rest.request.socket, 'unreadBody');
    rest.request.socket.destroy();
    this.closed++;
    const facts = { path: rest.request.url, bytes, forMs: Math.round(forMs) };
    this.log('Callers: Closed a connection, since the rest of a body took too long.', facts);
  }
}
