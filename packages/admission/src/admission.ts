/** Admission control for one upstream: concurrency and rate limits, a short priority queue, and the resulting admission level. */
import { type CancelSignal, type Clock, type Random, type Timer } from '@cleatquay/clock';
import { invariant } from '@cleatquay/errors';
import { type Load, type Refusal, createRefusal } from '@cleatquay/protocol';
import { AdaptiveLimit } from './adaptiveLimit.js';
import { AdmissionLevel } from './admissionLevel.js';
import { RateLimit } from './rateLimit.js';
import { UnknownRuns } from './unknownRuns.js';

const TICK_MS = 25;
const MIN_QUEUE_LENGTH = 2;
/** Work in progress is never interrupted, so short bursts of the top class overflow a queue of the ordinary length. */
const TOP_CLASS_DELAY_FACTOR = 4;
const INITIAL_LATENCY_MS = 20;
/** Weight of a response in the moving average of the latency. */
const LATENCY_WEIGHT = 0.05;
/** Requests of others count up to this multiple of the limit, so that one wrong report blocks an upstream for a second at most. */
const MAX_UNKNOWN_RATIO = 2;
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 10_000;
const MS_PER_SECOND = 1000;

/** How the request that held a permit ended: it got a response, the upstream shed it, or it failed. */
export type PermitResult = 'answered' | 'shed' | 'failed';

/** Permission to run one request on the upstream; holds one slot. */
export interface Permit {
  /** Utilisation of the announced slots when the permit was granted, including this one. */
  readonly share: number;
  /** Frees the slot; only the first call has an effect. */
  release(result: PermitResult): void;
}

/** What limits admission besides the limits of this class: requests at the upstream that are not counted here. */
export interface Occupancy {
  /** Slots that such requests use. */
  readonly reservedSlots: number;
  /** Whether requests have to wait for a moment. */
  readonly isHeld: boolean;
  /** Called with each request, before it is admitted. */
  onRequest(): void;
}

/** Settings and dependencies of an admission. */
export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Number of priority classes; a function, since the configuration may arrive later. */
  readonly classes: () => number;
  readonly slots: number;
  /** Maximum standing queue delay, ms; a function, since the configuration may change. */
  readonly maxQueueMs: () => number;
  /** Whether the limit begins with a slow start, as for an upstream that was not seen before. */
  readonly cold: boolean;
  /** Rate limit that the upstream has already reported, if any. */
  readonly rate?: RateLimit;
  readonly occupancy?: Occupancy;
}

interface QueuedRequest {
  readonly level: number;
  readonly enqueuedAt: number;
  /** Latest start, clock time: later, it would have to end in less than half of the mean latency to meet its deadline. */
  readonly latestStartAt: number;
  readonly settle: (result: Permit | Refusal) => void;
}

/** Admits, queues or refuses requests. A refused request has not run anywhere. */
export class Admission implements Disposable {
  readonly limit: AdaptiveLimit;
  readonly rate: RateLimit;
  readonly unknownRuns: UnknownRuns;
  readonly counts = { admitted: 0, refused: 0, expired: 0 };
  private readonly threshold: AdmissionLevel;
  private readonly queue: QueuedRequest[] = [];
  private inFlight = 0;
  private latencyMs = INITIAL_LATENCY_MS;
  private refusedInTick = false;
  private overloadedSince: number | undefined;
  /** Runs only while requests are queued or the admission level recovers, so that an idle daemon is not woken up. */
  private timer: Timer | undefined;

  constructor(private readonly options: AdmissionOptions) {
    this.limit = new AdaptiveLimit(options.clock, options.slots, options.cold);
    this.rate = options.rate ?? new RateLimit(options.clock);
    this.unknownRuns = new UnknownRuns(options.clock);
    this.threshold = new AdmissionLevel(options.classes);
  }

  /** Resolves to a permit, at once or after a short wait, or to a refusal. `remainingMs` is the time until the deadline. */
  async request(level: number, remainingMs: number, signal: CancelSignal): Promise<Permit | Refusal> {
    if (signal.aborted) return createRefusal('deadlineTooShort', 'The caller has disconnected.');
    this.options.occupancy?.onRequest();
    if (this.queue.length === 0 && this.hasCapacity) return this.grant();
    return new Promise(resolve => this.enqueue({ level, remainingMs }, signal, resolve));
  }

  /** Records how many requests the upstream reports to have, running and waiting: those not sent by this daemon take slots, too. */
  recordReported(requests: number): void {
    this.unknownRuns.recordReport(requests, this.inFlight, MAX_UNKNOWN_RATIO * this.limit.value);
  }

  /** The load that is reported to calling daemons. */
  load(): Load {
    return {
      inFlight: this.inFlight + Math.round(this.otherRequests),
      queued: this.queue.length,
      limit: Math.min(this.limit.value, this.concurrencyAtRate()),
      admissionLevel: this.rate.perSecond === 0 ? 0 : this.threshold.value,
      reported: undefined,
      chain: undefined,
    };
  }

  /** Admits queued requests after the occupancy has changed. */
  onCapacity(): void {
    this.dequeue();
  }

  /** Delay before a refused caller should retry, with jitter: an overload is expected to last about as long as it has lasted. */
  retryAfterMs(): number {
    const { clock, random } = this.options;
    const age = this.overloadedSince === undefined ? 0 : clock.now() - this.overloadedSince;
    const base = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, age));
    return Math.round(base * (0.5 + random()));
  }

  [Symbol.dispose](): void {
    this.timer?.[Symbol.dispose]();
    for (const request of this.queue.splice(0))
      request.settle(createRefusal('draining', 'The upstream is shutting down.', ELSEWHERE_HELPS));
  }

  /** Number of requests that this daemon has in progress at the upstream. */
  get permitsInUse(): number {
    return this.inFlight;
  }

  private get hasCapacity(): boolean {
    if (this.options.occupancy?.isHeld) return false;
    const inUse = this.inFlight + this.otherRequests;
    return inUse < Math.min(this.limit.value, this.rate.maxInFlight) && this.rate.hasToken;
  }

  /** Requests at the upstream that are not counted here, by its reports in responses and at its health path, which overlap. */
  private get otherRequests(): number {
    return Math.max(this.unknownRuns.count, this.options.occupancy?.reservedSlots ?? 0);
  }

  /** Concurrency that the upstream's rate limit allows, at least one (Little's law). */
  private concurrencyAtRate(): number {
    const { perSecond } = this.rate;
    if (perSecond === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.ceil((perSecond * this.latencyMs) / MS_PER_SECOND));
  }

  private grant(): Permit {
    invariant(this.hasCapacity, 'Admission: a permit was granted beyond a limit.');
    this.inFlight++;
    this.unknownRuns.recordOwn(this.inFlight);
    this.rate.consumeToken();
    this.counts.admitted++;
    const start = this.options.clock.now();
    let isActive = true;
    return {
      share: this.limit.utilisationAt(this.inFlight),
      release: result => {
        if (!isActive) return;
        isActive = false;
        this.unknownRuns.recordOwn(this.inFlight);
        this.inFlight--;
        this.recordResult(result, this.options.clock.now() - start);
        this.dequeue();
      },
    };
  }

  private recordResult(result: PermitResult, latencyMs: number): void {
    if (result === 'shed') return this.limit.onShed();
    if (result === 'failed') return;
    this.limit.onResponse();
    this.latencyMs += (latencyMs - this.latencyMs) * LATENCY_WEIGHT;
  }

  private enqueue(
    { level, remainingMs }: { level: number; remainingMs: number },
    signal: CancelSignal,
    resolve: (result: Permit | Refusal) => void,
  ): void {
    const now = this.options.clock.now();
    const settle = (result: Permit | Refusal) => {
      signal.removeEventListener('abort', onAbort);
      resolve(result);
    };
    const request: QueuedRequest = {
      level,
      enqueuedAt: now,
      latestStartAt: now + remainingMs - this.latencyMs / 2,
      settle,
    };
    const onAbort = () => this.cancel(request);
    signal.addEventListener('abort', onAbort, { once: true });
    this.scheduleTick();
    this.insert(request);
    this.evictIfFull();
  }

  /** Keeps the queue sorted by level, and in order of arrival within a level. */
  private insert(request: QueuedRequest): void {
    let low = 0;
    let high = this.queue.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.queue[middle]?.level ?? 0) <= request.level) low = middle + 1;
      else high = middle;
    }
    this.queue.splice(low, 0, request);
  }

  /** Number of requests that the upstream can start within the maximum delay. */
  private maxQueueLength(isTop: boolean): number {
    const delayMs = this.maxDelayMs(isTop);
    const byConcurrency = Math.floor((this.limit.value * delayMs) / this.latencyMs);
    return Math.min(Math.max(MIN_QUEUE_LENGTH, byConcurrency), Math.floor(this.rate.tokensWithin(delayMs)));
  }

  /** Refuses the request of lowest priority if the top class, or all the others, exceed their maximum queue length. */
  private evictIfFull(): void {
    const top = this.topClassCount();
    const isFull = this.queue.length - top > this.maxQueueLength(false) || top > this.maxQueueLength(true);
    const worst = isFull ? this.queue.pop() : undefined;
    if (!worst) return;
    invariant(
      (this.queue.at(-1)?.level ?? 0) <= worst.level,
      'Admission: a request of lower priority stayed in the queue.',
    );
    this.refuse(worst);
  }

  /** Maximum queue delay, ms; longer for the top class. */
  private maxDelayMs(isTop: boolean): number {
    return this.options.maxQueueMs() * (isTop ? TOP_CLASS_DELAY_FACTOR : 1);
  }

  private topClassCount(): number {
    const first = this.queue.findIndex(request => request.level >= 1);
    return first < 0 ? this.queue.length : first;
  }

  private refuse(request: QueuedRequest): void {
    this.threshold.onRefusal(request.level);
    this.refusedInTick = true;
    this.scheduleTick();
    this.overloadedSince ??= this.options.clock.now();
    this.counts.refused++;
    request.settle(
      createRefusal('overloaded', 'The upstream has no capacity for a request of this priority.', {
        retryAfterMs: this.retryAfterMs(),
        elsewhereHelps: true,
      }),
    );
  }

  private cancel(request: QueuedRequest): void {
    const index = this.queue.indexOf(request);
    if (index < 0) return;
    this.queue.splice(index, 1);
    this.counts.expired++;
    request.settle(
      createRefusal('deadlineTooShort', 'The caller disconnected while the request was queued.'),
    );
  }

  private dequeue(): void {
    const now = this.options.clock.now();
    while (this.queue.length > 0 && this.hasCapacity) {
      const next = this.queue.shift();
      if (!next) return;
      if (now <= next.latestStartAt) next.settle(this.grant());
      else this.expire(next);
    }
  }

  private expire(request: QueuedRequest): void {
    this.counts.expired++;
    request.settle(createRefusal('deadlineTooShort', 'The request would have finished after its deadline.'));
  }

  private scheduleTick(): void {
    this.timer ??= this.options.clock.after(TICK_MS, () => this.tick());
  }

  private tick(): void {
    this.timer = undefined;
    const now = this.options.clock.now();
    const isOverdue = ({ level, enqueuedAt }: QueuedRequest) =>
      now - enqueuedAt > 2 * this.maxDelayMs(level < 1);
    for (const request of this.queue.filter(isOverdue)) {
      this.queue.splice(this.queue.indexOf(request), 1);
      this.refuse(request);
    }
    this.dequeue();
    if (!this.refusedInTick) this.threshold.rise();
    if (!this.refusedInTick && this.threshold.isOpen) this.overloadedSince = undefined;
    this.refusedInTick = false;
    if (this.queue.length > 0 || !this.threshold.isOpen) this.scheduleTick();
  }
}

const ELSEWHERE_HELPS = { elsewhereHelps: true };
