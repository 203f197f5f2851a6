/** Follows requests whose response is complete while a part of their body has not been read: their connections carry nothing else meanwhile. */
import { type Clock, type Timer } from '@cleatquay/clock';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Metrics } from './metrics.js';

/** An unread body is logged after this time, ms. */
const LATE_MS = 3000;
/** Lines of one daemon; further ones show in the gauges only. */
const MAX_LINES = 100;

/** Dependencies of the watch. */
export interface UnreadBodiesOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: (message: string, facts: object) => void;
}

/** The requests of callers that have a response and an unread rest of their body. */
export class UnreadBodies {
  /** When their responses were complete, clock time in ms. */
  private readonly answeredAt = new Map<IncomingMessage, number>();
  private lines = 0;

  constructor(private readonly options: UnreadBodiesOptions) {
    const { metrics } = options;
    metrics.gauge(
      'cleatquay_unread_bodies',
      'Requests with a complete response of whose body a part is unread',
      () => this.answeredAt.size,
    );
    metrics.gauge(
      'cleatquay_unread_body_age_ms',
      'Time since the oldest of these responses',
      () => this.oldestMs,
    );
  }

  private get oldestMs(): number {
    const [oldest] = this.answeredAt.values();
    return oldest === undefined ? 0 : this.options.clock.now() - oldest;
  }

  /** Follows a request with a body. */
  follow(request: IncomingMessage, response: ServerResponse): void {
    response.once('finish', () => {
      if (!request.complete) this.watch(request);
    });
  }

  private watch(request: IncomingMessage): void {
    const { clock } = this.options;
    this.answeredAt.set(request, clock.now());
    const timer: Timer = clock.after(LATE_MS, () => this.logLate(request));
    request.once('close', () => {
      this.answeredAt.delete(request);
      timer[Symbol.dispose]();
    });
  }

  private logLate(request: IncomingMessage): void {
    if (++this.lines > MAX_LINES) return;
    const { bytesRead } = request.socket;
    const contentLength = Number(request.headers['content-length'] ?? 0);
    const facts = { path: request.url, bytesRead, contentLength, forMs: LATE_MS };
    this.options.log('Callers: The rest of the body of an answered request is unread.', facts);
  }
}
