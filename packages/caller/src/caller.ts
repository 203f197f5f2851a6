/** Sends requests to any of a few daemons, and resends the unrepeatable ones under the same id. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Dispatcher, Pool } from 'undici';

const ID_BATCH = 50;
const CONNECTIONS = 256;
const RESENDS = 4;
const RESEND_PAUSE_MS = 100;
const SHORTEST_SEND_MS = 1500;

/** What a caller starts from. */
export interface CallerOptions {
  /** URLs of daemons; the first is asked first. */
  readonly daemons: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

/** One request. */
export interface CallSpecification {
  readonly method: string;
  /** With the service first, as in /receiving/receipts */
  readonly path: string;
  /** True when the service may safely run it twice. */
  readonly idempotent: boolean;
  readonly timeoutMs: number;
  readonly body?: string;
  readonly headers?: Record<string, string>;
}

/** How it went. `unknown` means that it may have run; `not-run` that it ran nowhere and never will. */
export interface CallerResult {
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'failed';
  /** 0 when no daemon answered. */
  readonly status: number;
  readonly body: Buffer;
  /** When to come back, ms; 0 when not told. */
  readonly retryAfterMs: number;
  /** Under which a non-idempotent request can be asked about, and by `cleatquay explain`. */
  readonly requestId: string | undefined;
  /** How often it was sent. */
  readonly sends: number;
}

/** A client of the daemons. */
export class Caller implements AsyncDisposable {
  private readonly pools: Pool[];
  private ids: string[] = [];

  constructor(private readonly options: CallerOptions) {
    this.pools = options.daemons.map(
      url => new Pool(url, { connections: CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 }),
    );
  }

  /** Sends a request until its outcome is known, its time is up, or it was sent often enough. */
  async send(call: CallSpecification): Promise<CallerResult> {
    const { clock, random } = this.options;
    const end = clock.now() + call.timeoutMs;
    const requestId = call.idempotent ? undefined : await this.takeId(call.timeoutMs);
    if (!call.idempotent && requestId === undefined) return { ...NO_DAEMON, outcome: 'not-run' };
    let result: CallerResult = NO_DAEMON;
    let mayHaveRun = false;
    for (let sends = 1; sends <= RESENDS && clock.now() < end; sends++) {
      const pool = this.pools[(sends - 1) % this.pools.length];
      if (!pool) break;
      const remainingMs = end - clock.now();
      const patienceMs = Math.min(remainingMs, Math.max(SHORTEST_SEND_MS, remainingMs / 2));
      const attempted = await this.attempt(pool, call, requestId, remainingMs, patienceMs);
      result = { ...attempted, requestId, sends };
      if (result.outcome === 'not-run' && mayHaveRun) return { ...result, outcome: 'unknown' };
      if (result.outcome !== 'unknown') return result;
      // Under an id the daemons know of earlier sends; without one nobody does.
      mayHaveRun = requestId === undefined;
      await clock.sleep(RESEND_PAUSE_MS * sends * (0.5 + random()));
    }
    return result;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.pools.map(pool => pool.destroy()));
  }

  /** One send. A daemon that says nothing for `patienceMs` may be frozen: another is asked, under the same id. */
  private async attempt(
    pool: Pool,
    call: CallSpecification,
    requestId: string | undefined,
    remainingMs: number,
    patienceMs: number,
  ) {
    const id = requestId === undefined ? {} : { 'cleatquay-request-id': requestId };
    const timeout = { 'cleatquay-timeout-ms': String(Math.max(1, Math.floor(remainingMs))) };
    try {
      const answer = await pool.request({
        method: call.method as Dispatcher.HttpMethod,
        path: call.path,
        headers: { 'content-type': 'application/json', ...call.headers, ...timeout, ...id },
        body: call.body ?? null,
        signal: AbortSignal.timeout(Math.max(1, Math.floor(patienceMs) + LATE_MS)),
      });
      const body = Buffer.from(await answer.body.arrayBuffer());
      return { ...NO_DAEMON, ...told(answer.headers), status: answer.statusCode, body };
    } catch {
      return NO_DAEMON;
    }
  }

  /** Ids come in batches ahead of use, from the first daemon that gives some. */
  private async takeId(timeoutMs: number): Promise<string | undefined> {
    const known = this.ids.pop();
    if (known !== undefined) return known;
    for (const pool of this.pools) {
      const signal = AbortSignal.timeout(timeoutMs);
      const path = `/cleatquay/ids?count=${String(ID_BATCH)}`;
      const answer = await pool.request({ method: 'POST', path, signal }).catch(() => undefined);
      const { ids } = ((await answer?.body.json().catch(() => ({}))) ?? {}) as { ids?: string[] };
      if (!ids?.length) continue;
      this.ids.push(...ids);
      return this.ids.pop();
    }
    return undefined;
  }
}

/** How much longer than the deadline the daemon's own word is waited for, ms. */
const LATE_MS = 250;

const NO_DAEMON: CallerResult = {
  outcome: 'unknown',
  status: 0,
  body: Buffer.alloc(0),
  retryAfterMs: 0,
  requestId: undefined,
  sends: 0,
};

const OUTCOMES = ['answered', 'not-run', 'unknown', 'failed'] as const;

function told(headers: Record<string, string | string[] | undefined>) {
  const outcome = OUTCOMES.find(o => o === headers['cleatquay-outcome']) ?? 'unknown';
  return { outcome, retryAfterMs: Number(headers['cleatquay-retry-after-ms'] ?? 0) };
}
