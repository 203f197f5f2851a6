/** Open-loop load: arrivals don't wait for responses, and clients time out and retry aggressively. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Dispatcher, Pool } from 'undici';
import { CLASSES, type ChainClass, serviceAt } from './chain.js';

const CLIENT_TIMEOUT_MS = 3000;
const MAX_RETRIES = 3;
const MAX_RETRY_DELAY_MS = 50;
const CONNECTIONS = 400;
const TICK_MS = 2;
const ID_BATCH_SIZE = 20;

/** Result of one client request, over all its sends. */
export interface Sample {
  readonly className: ChainClass;
  /** When the request was due, ms on the clock of the load. */
  readonly at: number;
  readonly ms: number;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'failed';
  /** Whether the response is complete. */
  readonly isComplete: boolean;
  /** Whether the response belongs to another request. */
  readonly isMismatched: boolean;
  readonly sends: number;
  readonly token: string;
  /** Request ids for which the outcome was `not-run`. */
  readonly notRunIds: string[];
}

/** Fraction of the demand by class. */
export const CLASS_SHARES: Readonly<Record<ChainClass, number>> = { critical: 0.2, normal: 0.3, bulk: 0.5 };

/** Sends requests at an adjustable rate, and records a sample of each. */
export class OpenLoopLoad implements AsyncDisposable {
  readonly samples: Sample[] = [];
  /** Mean arrival rate, requests a second. */
  rate = 0;
  private readonly pools: Pool[];
  private readonly pending = new Set<Promise<void>>();
  private readonly ids: string[] = [];
  private count = 0;
  private stopped = false;
  private arrivals: Promise<void> = Promise.resolve();

  constructor(
    urls: readonly string[],
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly name: string,
  ) {
    this.pools = urls.map(
      url => new Pool(url, { connections: CONNECTIONS, headersTimeout: 0, bodyTimeout: 0 }),
    );
  }

  start(): void {
    this.arrivals = this.runArrivals();
  }

  /** Stops the arrivals and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.arrivals;
    await Promise.all(this.pending);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped = true;
    await this.arrivals;
    await Promise.all(this.pools.map(pool => pool.destroy()));
  }

  /**
   * A Poisson process. Latencies count from when a request was due and not from when it was sent, so that delays of the load
   * generator don't hide latency (coordinated omission).
   */
  private async runArrivals(): Promise<void> {
    let due = this.clock.now();
    while (!this.stopped) {
      const now = this.clock.now();
      while (due <= now && this.rate > 0) {
        const request = this.send(due).finally(() => this.pending.delete(request));
        this.pending.add(request);
        due += (-Math.log(1 - this.random()) * 1000) / this.rate;
      }
      if (this.rate === 0) due = now;
      await this.clock.sleep(TICK_MS);
    }
  }

  private pickClass(): ChainClass {
    let remaining = this.random();
    return CLASSES.find(name => (remaining -= CLASS_SHARES[name]) < 0) ?? 'bulk';
  }

  private async send(at: number): Promise<void> {
    const className = this.pickClass();
    const token = `${this.name}-${String(++this.count)}`;
    const notRunIds: string[] = [];
    let id: string | undefined;
    let result = NO_RESPONSE;
    let sends = 0;
    const deadline = at + CLIENT_TIMEOUT_MS;
    while (sends <= MAX_RETRIES && this.clock.now() < deadline && result.outcome !== 'answered') {
      if (sends > 0) await this.clock.sleep(MAX_RETRY_DELAY_MS * this.random());
      sends++;
      const pool = this.pools[Math.floor(this.random() * this.pools.length)];
      if (className === 'critical') id ??= await this.obtainId(pool);
      result = await sendOnce(pool, { className, token, id, timeoutMs: deadline - this.clock.now() });
      if (result.outcome !== 'not-run') continue;
      notRunIds.push(result.requestId);
      id = undefined;
    }
    const { outcome, isComplete, isMismatched } = result;
    this.samples.push({
      className,
      at,
      ms: this.clock.now() - at,
      token,
      sends,
      notRunIds,
      outcome,
      isComplete,
      isMismatched,
    });
  }

  /** An id obtained before the first send lets daemons recognise retries. Ids are fetched in batches. */
  private async obtainId(pool: Pool | undefined): Promise<string | undefined> {
    if (this.ids.length > 0) return this.ids.pop();
    const response = await pool
      ?.request({ method: 'POST', path: `/cleatquay/ids?count=${String(ID_BATCH_SIZE)}` })
      .catch(() => undefined);
    const body = (await response?.body.json().catch(() => undefined)) as { ids?: string[] } | undefined;
    this.ids.push(...(body?.ids ?? []));
    return this.ids.pop();
  }
}

interface SendOptions {
  readonly className: ChainClass;
  readonly token: string;
  readonly id: string | undefined;
  readonly timeoutMs: number;
}

interface SendResult {
  readonly outcome: Sample['outcome'];
  readonly isComplete: boolean;
  readonly isMismatched: boolean;
  readonly requestId: string;
}

const NO_RESPONSE: SendResult = { outcome: 'unknown', isComplete: false, isMismatched: false, requestId: '' };

async function sendOnce(
  pool: Pool | undefined,
  { className, token, id, timeoutMs }: SendOptions,
): Promise<SendResult> {
  if (!pool || timeoutMs <= 0) return NO_RESPONSE;
  const isCritical = className === 'critical';
  try {
    const response = await pool.request({
      method: isCritical ? 'POST' : 'GET',
      path: `/${serviceAt(1)}/${className}`,
      headers: {
        'x-token': token,
        'cleatquay-timeout-ms': String(Math.ceil(timeoutMs)),
        ...(id === undefined ? {} : { 'cleatquay-request-id': id }),
      },
      body: isCritical ? '{}' : null,
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    return toSendResult(response, token, await response.body.text());
  } catch {
    return NO_RESPONSE;
  }
}

function toSendResult(response: Dispatcher.ResponseData, token: string, text: string): SendResult {
  const outcome = (response.headers['cleatquay-outcome'] ?? 'unknown') as Sample['outcome'];
  const requestId = String(response.headers['cleatquay-request-id'] ?? '');
  if (response.statusCode !== 200)
    return { ...NO_RESPONSE, outcome: outcome === 'answered' ? 'failed' : outcome, requestId };
  const body = parseBody(text);
  const isComplete = body !== undefined;
  return { outcome: 'answered', isComplete, isMismatched: isComplete && body.token !== token, requestId };
}

function parseBody(text: string): { token?: string } | undefined {
  try {
    return JSON.parse(text) as { token?: string };
  } catch {
    return undefined;
  }
}
