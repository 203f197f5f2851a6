/**
 * Watches the operator server for requests that get no response, and for connections that bring no request: both look the same to an
 * operator whose command doesn't return.
 */
import { type Clock } from '@cleatquay/clock';
import { type Server } from 'node:http';
import { type LogLine, boundedLog } from './boundedLog.js';
import { type Metrics } from './metrics.js';

/** A request or a connection that is open for longer is logged, ms. */
const LATE_MS = 5000;

/** Dependencies of the watch. */
export interface OperatorRequestsOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly log: LogLine;
}

/** The open requests and connections of an operator server. */
export class OperatorRequests {
  private readonly startedAt = new Map<object, number>();
  private connections = 0;
  private readonly log: LogLine;

  constructor(private readonly options: OperatorRequestsOptions) {
    const { metrics, log } = options;
    this.log = boundedLog(log);
    metrics.gauge(
      'cleatquay_operator_requests',
      'Operator requests without a response',
      () => this.startedAt.size,
    );
    metrics.gauge('cleatquay_operator_request_age_ms', 'Age of the oldest of them', () => this.oldestMs);
    metrics.gauge('cleatquay_operator_connections', 'Open connections of operators', () => this.connections);
  }

  /** Age of the oldest open request, ms; 0 if there is none. */
  get oldestMs(): number {
    const [oldest] = this.startedAt.values();
    return oldest === undefined ? 0 : this.options.clock.now() - oldest;
  }

  /** Watches a server; call it before the server listens. */
  watch(server: Server): void {
    const { clock } = this.options;
    server.on('connection', socket => {
      this.connections++;
      const hasRequest = () => socket.bytesRead > 0;
      const timer = clock.after(LATE_MS, () => {
        if (!hasRequest()) this.logLate('Operators: A connection has brought no request.', {});
      });
      socket.once('close', () => {
        this.connections--;
        timer[Symbol.dispose]();
      });
    });
    server.on('request', (request, response) => {
      this.startedAt.set(request, clock.now());
      const timer = clock.after(LATE_MS, () => {
        const { headersSent, writableEnded } = response;
        this.logLate('Operators: A request has had no response.', {
          path: request.url,
          headersSent,
          writableEnded,
        });
      });
      response.once('close', () => {
        this.startedAt.delete(request);
        timer[Symbol.dispose]();
      });
    });
  }

  private logLate(message: string, facts: object): void {
    const { startedAt, connections } = this;
    this.log(message, { ...facts, forMs: LATE_MS, requests: startedAt.size, connections });
  }
}
