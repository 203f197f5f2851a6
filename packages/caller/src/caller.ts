/** Client for callers: sends requests to several daemons in turn until the outcome is known, non-idempotent ones under one request id. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Dispatcher, Pool } from 'undici';
import { isDelimited } from './delimitedResponse.js';

const ID_BATCH_SIZE = 50;
const MAX_CONNECTIONS = 256;
const MAX_SENDS = 4;
const RESEND_DELAY_MS = 100;
const MIN_ATTEMPT_TIMEOUT_MS = 1500;

export interface CallerOptions {
  /** URLs of daemons, in the order in which they are used. */
  readonly daemons: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

export interface CallSpecification {
  readonly method: string;
  /** Starts with the service, as in /receiving/receipts */
  readonly path: string;
  /** Whether the service may safely run it more than once. */
  readonly idempotent: boolean;
  readonly timeoutMs: number;
  readonly body?: string;
  readonly headers?: Record<string, string>;
}

/** Result of a request. `unknown` means that it may have run; `not-run` that it has run nowhere and never will. */
export interface CallerResult {
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'failed';
  /** HTTP status; 0 if no daemon responded. */
  readonly status: number;
  readonly body: Buffer;
  /** Delay before a retry; 0 if the response names none. */
  readonly retryAfterMs: number;
  /** Identifies a non-idempotent request in queries of its outcome, and for `cleatquay explain`. */
  readonly requestId: string | undefined;
  /** Number of times that it was sent. */
  readonly sends: number;
}

/** Sends requests, and fetches the request ids that non-idempotent ones need. */
export class Caller implements AsyncDisposable {
  private readonly pools: Pool[];
  private ids: string[] = [];

  constructor(private readonly options: CallerOptions) {
    this.pools = options.daemons.map(
      url => new Pool(url, { connections: MAX_CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 }),
    );
  }

  /** Sends a request until its outcome is known, its timeout has passed, or it was sent `MAX_SENDS` times. */
  async send(call: CallSpecification): Promise<CallerResult> {
    const { clock, random } = this.options;
    const end = clock.now() + call.timeoutMs;
    const requestId = call.idempotent ? undefined : await this.nextId(call.timeoutMs);
    if (!call.idempotent && requestId === undefined) return { ...NO_RESPONSE, outcome: 'not-run' };
    let result: CallerResult = NO_RESPONSE;
    let mayHaveRun = false;
    for (let sends = 1; sends <= MAX_SENDS && clock.now() < end; sends++) {
      const pool = this.pools[(sends - 1) % this.pools.length];
      if (!pool) break;
      const remainingMs = end - clock.now();
      const attemptTimeoutMs = Math.min(remainingMs, Math.max(MIN_ATTEMPT_TIMEOUT_MS, remainingMs / 2));
      const attempted = await this.attempt(pool, call, requestId, remainingMs, attemptTimeoutMs);
      result = { ...attempted, requestId, sends };
      if (result.outcome === 'not-run' && mayHaveRun) return { ...result, outcome: 'unknown' };
      if (result.outcome !== 'unknown') return result;
      // Daemons deduplicate by request id; without one, an earlier send may have run.
      mayHaveRun = requestId === undefined;
      await clock.sleep(RESEND_DELAY_MS * sends * (0.5 + random()));
    }
    return result;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.pools.map(pool => pool.destroy()));
  }

  /** Sends once. A daemon that does not respond within `attemptTimeoutMs` may be frozen; the next send goes to another one under the same id. */
  private async attempt(
    pool: Pool,
    call: CallSpecification,
    requestId: string | undefined,
    remainingMs: number,
    attemptTimeoutMs: number,
  ) {
    const id = requestId === undefined ? {} : { 'cleatquay-request-id': requestId };
    const timeout = { 'cleatquay-timeout-ms': String(Math.max(1, Math.floor(remainingMs))) };
    try {
      const response = await pool.request({
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: { 'content-type': 'application/json', ...call.headers, ...timeout, ...id },
        body: call.body ?? null,
        signal: AbortSignal.timeout(Math.max(1, Math.floor(attemptTimeoutMs) + RESPONSE_GRACE_MS)),
      });
      const body = Buffer.from(await response.body.arrayBuffer());
      if (!isDelimited(call.method, response)) return NO_RESPONSE;
      return { ...NO_RESPONSE, ...parseOutcome(response.headers), status: response.statusCode, body };
    } catch {
      return NO_RESPONSE;
    }
  }

  /** Takes an id from a batch that was fetched ahead of use from the first daemon that issued one. */
  private async nextId(timeoutMs: number): Promise<string | undefined> {
    const known = this.ids.pop();
    if (known !== undefined) return known;
    for (const pool of this.pools) {
      const signal = AbortSignal.timeout(timeoutMs);
      const path = `/cleatquay/ids?count=${String(ID_BATCH_SIZE)}`;
      const response = await pool.request({ method: 'POST', path, signal }).catch(() => undefined);
      const { ids } = ((await response?.body.json().catch(() => ({}))) ?? {}) as { ids?: string[] };
      if (!ids?.length) continue;
      this.ids.push(...ids);
      return this.ids.pop();
    }
    return undefined;
  }
}

/** Added to an attempt's timeout, so that the daemon's own timeout response can arrive at the deadline. */
const RESPONSE_GRACE_MS = 250;

const NO_RESPONSE: CallerResult = {
  outcome: 'unknown',
  status: 0,
  body: Buffer.alloc(0),
  retryAfterMs: 0,
  requestId: undefined,
  sends: 0,
};

const OUTCOMES = ['answered', 'not-run', 'unknown', 'failed'] as const;

function parseOutcome(headers: Record<string, string | string[] | undefined>) {
  const outcome = OUTCOMES.find(o => o === headers['cleatquay-outcome']) ?? 'unknown';
  return { outcome, retryAfterMs: Number(headers['cleatquay-retry-after-ms'] ?? 0) };
}
