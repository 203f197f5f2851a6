/** Open-loop load: arrivals that don't wait for answers, and clients that time out and retry hard. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Dispatcher, Pool } from 'undici';
import { CLASSES, type ChainClass, serviceAt } from './chain.js';

const CLIENT_TIMEOUT_MS = 3000;
const MAX_RETRIES = 3;
const MAX_RETRY_DELAY_MS = 50;
const CONNECTIONS = 400;
const TICK_MS = 2;
const ID_BATCH_SIZE = 20;

/** How one client request went, all its sends together. */
export interface Sample {
  readonly className: ChainClass;
  /** When it was due, ms on the load's clock. */
  readonly at: number;
  readonly ms: number;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'failed';
  readonly isComplete: boolean;
  readonly isMismatched: boolean;
  readonly sends: number;
  readonly token: string;
  /** Ids that were said to have run nowhere. */
  readonly notRunIds: string[];
}

/** Share of each class in the demand. */
export const CLASS_SHARES: Readonly<Record<ChainClass, number>> = { critical: 0.2, normal: 0.3, bulk: 0.5 };

/** Sends requests at a rate that can be changed, and keeps a sample of each. */
export class OpenLoopLoad implements AsyncDisposable {
  readonly samples: Sample[] = [];
  /** Requests a second. */
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

  /** Starts the arrivals. */
  start(): void {
    this.arrivals = this.runArrivals();
  }

  /** Ends the arrivals and waits for what is out. */
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

  /** A Poisson process; latencies count from when a request was due, not from when it could be sent. */
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
    let left = this.random();
    return CLASSES.find(name => (left -= CLASS_SHARES[name]) < 0) ?? 'bulk';
  }

  private async send(at: number): Promise<void> {
    const className = this.pickClass();
    const token = `${this.name}-${String(++this.count)}`;
    const notRunIds: string[] = [];
    let id: string | undefined;
    let result = NO_RESPONSE;
    let sends = 0;
    const end = at + CLIENT_TIMEOUT_MS;
    while (sends <= MAX_RETRIES && this.clock.now() < end && result.outcome !== 'answered') {
      if (sends > 0) await this.clock.sleep(MAX_RETRY_DELAY_MS * this.random());
      sends++;
      const pool = this.pools[Math.floor(this.random() * this.pools.length)];
      if (className === 'critical') id ??= await this.obtainId(pool);
      result = await sendOnce(pool, { className, token, id, timeoutMs: end - this.clock.now() });
      if (result.outcome !== 'not-run') continue;
      notRunIds.push(result.requestId);
      id = undefined;
    }
    const { outcome, isComplete: whole, isMismatched: mismatched } = result;
    this.samples.push({
      className,
      at,
      ms: this.clock.now() - at,
      token,
      sends,
      notRunIds,
      outcome,
      isComplete: whole,
      isMismatched: mismatched,
    });
  }

  /** Ids come in batches, so that a resend can be known for one. */
  private async obtainId(pool: Pool | undefined): Promise<string | undefined> {
    if (this.ids.length > 0) return this.ids.pop();
    const answer = await pool
      ?.request({ method: 'POST', path: `/cleatquay/ids?count=${String(ID_BATCH_SIZE)}` })
      .catch(() => undefined);
    const body = (await answer?.body.json().catch(() => undefined)) as { ids?: string[] } | undefined;
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
    const answer = await pool.request({
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
    return toSendResult(answer, token, await answer.body.text());
  } catch {
    return NO_RESPONSE;
  }
}

function toSendResult(answer: Dispatcher.ResponseData, token: string, text: string): SendResult {
  const outcome = (answer.headers['cleatquay-outcome'] ?? 'unknown') as Sample['outcome'];
  const requestId = String(answer.headers['cleatquay-request-id'] ?? '');
  if (answer.statusCode !== 200)
    return { ...NO_RESPONSE, outcome: outcome === 'answered' ? 'failed' : outcome, requestId };
  const body = parseBody(text);
  const whole = body !== undefined;
  return { outcome: 'answered', isComplete: whole, isMismatched: whole && body.token !== token, requestId };
}

function parseBody(text: string): { token?: string } | undefined {
  try {
    return JSON.parse(text) as { token?: string };
  } catch {
    return undefined;
  }
}
