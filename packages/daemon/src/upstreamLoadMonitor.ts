/**
 * Sends health checks to one upstream where they are worth their cost, ends the exchanges of requests that are not at the
 * upstream, and tells admission how many slots other requests use; see docs/design/unresponsive-upstreams.md.
 */
import { type Occupancy } from '@cleatquay/admission';
import {
  ForeignRuns,
  type LatestUpstreamLoad,
  type LoadCheck,
  type RequestProgress,
  type SentRequest,
  UnqueuedRequest,
  UnqueuedRequests,
  type UpstreamLoad,
} from '@cleatquay/calls';
import { type Clock, type Timer } from '@cleatquay/clock';
import { setImmediate as readPendingInput } from 'node:timers/promises';

/** Requests are held back this long before a health check, ms, so that none is on its way when the upstream reports. */
const TRANSIT_MS = 3;
/** Requests are held back for a check at most this long, ms. */
const MAX_HOLD_MS = 20;
/** The same for the first check: nothing is known of what the upstream already runs. */
const MAX_INITIAL_HOLD_MS = 100;
/** Time after a report in which responses that were sent before it are read, ms. */
const SETTLE_MS = 5;
/** How often the slots that other requests use are updated, ms, while requests arrive. */
const FOREIGN_RUNS_INTERVAL_MS = 500;
/** Failed first checks after which the upstream is served without health checks. */
const MAX_INITIAL_FAILURES = 3;
const INITIAL_RETRY_MS = 1000;
const MIN_LOG_INTERVAL_MS = 1000;
const MIN_CHECK_LOG_INTERVAL_MS = 10_000;

/** Counters of all monitors of a daemon. */
export interface MonitorCounts {
  healthChecks: number;
  retiredConnections: number;
}

/** Dependencies of a monitor. */
export interface UpstreamLoadMonitorOptions {
  readonly clock: Clock;
  /** Whether the active configuration has a health check for the upstream. */
  readonly hasHealthCheck: () => boolean;
  /** Returns the load in the response to a health check, undefined if there is none. Rejects if the upstream does not respond. */
  readonly fetchLoad: () => Promise<UpstreamLoad | undefined>;
  readonly loads: Pick<LatestUpstreamLoad, 'record' | 'latest'>;
  /** Number of permits in use. */
  readonly inFlight: () => number;
  /** Called when requests that were held back may be admitted. */
  readonly onCapacity: () => void;
  readonly counts: MonitorCounts;
  readonly log: (message: string, facts: object) => void;
}

/** Whether the upstream reports its load at its health path. */
type Reporting = 'unknown' | 'yes' | 'no';

/** Watches one registered upstream. */
export class UpstreamLoadMonitor implements Occupancy, Disposable {
  private readonly requests = new UnqueuedRequests();
  private readonly foreignRuns = new ForeignRuns();
  private readonly abortOf = new Map<SentRequest, (error: Error) => void>();
  private reporting: Reporting = 'unknown';
  private isChecking = false;
  private isHeldBack = false;
  private isDisposed = false;
  /** Whether requests have arrived since the last check. */
  private hasDemand = false;
  private initialFailures = 0;
  private lastCheckAt = Number.NEGATIVE_INFINITY;
  private timer: Timer | undefined;
  private lastLoggedAt = Number.NEGATIVE_INFINITY;
  private retiredSinceLog = 0;
  private checkLoggedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: UpstreamLoadMonitorOptions) {}

  /** Sends the first health check if the configuration is known; otherwise, the first request does so. */
  start(): void {
    if (this.reporting !== 'unknown' || this.isChecking || this.isDisposed) return;
    const { clock, hasHealthCheck } = this.options;
    if (!hasHealthCheck() || clock.now() - this.lastCheckAt < INITIAL_RETRY_MS) return;
    void this.check(0, MAX_INITIAL_HOLD_MS);
  }

  get isHeld(): boolean {
    return this.isHeldBack;
  }

  get reservedSlots(): number {
    return this.reporting === 'yes' ? this.foreignRuns.count(this.options.clock.now()) : 0;
  }

  onRequest(): void {
    if (this.reporting === 'unknown') this.start();
    else if (this.reporting === 'yes' && this.foreignRuns.isReported) {
      this.hasDemand = true;
      this.schedule();
    }
  }

  /** Tracks a request that is about to be sent; undefined for an upstream that reports no load. */
  track(route: string): RequestProgress | undefined {
    if (this.reporting === 'no' || !this.options.hasHealthCheck()) return undefined;
    const { clock } = this.options;
    let request: SentRequest | undefined;
    // A response may arrive before all of the body has been sent.
    let isOver = false;
    const forget = () => {
      if (request) this.abortOf.delete(request);
      request = undefined;
    };
    return {
      onSent: abort => {
        if (request || isOver) return;
        request = this.requests.recordSent(route, clock.now());
        this.abortOf.set(request, abort);
        if (this.reporting === 'yes') this.schedule();
      },
      onResponse: ran => {
        isOver = true;
        if (!request) return;
        if (ran) this.requests.recordResponse(request, clock.now());
        else this.requests.recordGivenUp(request);
        forget();
        this.endFound();
      },
      onEnd: isRetired => {
        isOver = true;
        if (!request) return;
        this.requests.recordGivenUp(request);
        forget();
        if (!isRetired) this.foreignRuns.recordGivenUp(clock.now());
        this.endFound();
      },
    };
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    this.timer?.[Symbol.dispose]();
    this.release();
  }

  /** One timer at a time: a request that becomes due earlier is noticed when it fires. */
  private schedule(): void {
    if (this.timer || this.isChecking || this.isDisposed) return;
    const { clock } = this.options;
    const at = this.nextCheckAt();
    if (at === undefined) return;
    this.timer = clock.after(Math.max(1, at - clock.now()), () => {
      this.timer = undefined;
      const due = this.nextCheckAt();
      if (due !== undefined && due <= clock.now()) void this.check(TRANSIT_MS, MAX_HOLD_MS);
      else this.schedule();
    });
  }

  private nextCheckAt(): number | undefined {
    const forRequests = this.requests.nextCheckAt();
    if (!this.foreignRuns.isReported || !this.hasDemand) return forRequests;
    return Math.min(forRequests ?? Number.POSITIVE_INFINITY, this.lastCheckAt + FOREIGN_RUNS_INTERVAL_MS);
  }

  private async check(transitMs: number, maxHoldMs: number): Promise<void> {
    const { clock, inFlight, fetchLoad, counts } = this.options;
    this.isChecking = true;
    this.hasDemand = false;
    this.lastCheckAt = clock.now();
    this.isHeldBack = true;
    const holdTimer = clock.after(maxHoldMs, () => this.release());
    if (transitMs > 0) await clock.sleep(transitMs);
    const check = this.requests.startCheck(clock.now());
    const inFlightBefore = inFlight();
    counts.healthChecks++;
    this.logCheck();
    const response = await fetchLoad().then(
      load => ({ load }),
      () => undefined,
    );
    holdTimer[Symbol.dispose]();
    if (response?.load) this.options.loads.record(response.load);
    if (this.reporting !== 'yes') this.onInitialResponse(response);
    if (response?.load && this.reporting === 'yes')
      await this.apply(response.load, check, inFlightBefore + check.sentSince);
    else {
      this.requests.failCheck();
      this.release();
    }
    this.isChecking = false;
    this.endFound();
    if (this.reporting === 'yes') this.schedule();
  }

  private onInitialResponse(response: { readonly load: UpstreamLoad | undefined } | undefined): void {
    if (response) this.reporting = response.load ? 'yes' : 'no';
    else if (++this.initialFailures >= MAX_INITIAL_FAILURES) this.reporting = 'no';
    if (this.reporting !== 'no') return;
    const reason = response
      ? 'An upstream reports no load at its health path.'
      : 'An upstream is served without health checks: the first ones failed.';
    this.options.log(reason, {});
  }

  private async apply(load: UpstreamLoad, check: LoadCheck, ownBefore: number): Promise<void> {
    const { clock } = this.options;
    const total = load.running + load.waiting;
    if (this.requests.size === 0 && ownBefore === 0) {
      // Nothing can be missing, so that the requests that are held back need not wait for late responses.
      this.requests.finishCheck(check, total, clock.now());
      this.foreignRuns.record({ total, ownAtLeast: 0, ownAtMost: 0, checkedAt: check.startedAt });
      return this.release();
    }
    this.release();
    await clock.sleep(SETTLE_MS);
    // After a suspension or a delay of the event loop the timer fires before the responses that have arrived are read.
    await readPendingInput();
    const own = this.requests.finishCheck(check, total, clock.now());
    const ownAtMost = Math.max(ownBefore, own.atAnyTime);
    this.foreignRuns.record({ total, ownAtLeast: own.throughout, ownAtMost, checkedAt: check.startedAt });
    this.options.onCapacity();
  }

  private release(): void {
    if (!this.isHeldBack) return;
    this.isHeldBack = false;
    if (!this.isDisposed) this.options.onCapacity();
  }

  private endFound(): void {
    const { clock, counts, loads } = this.options;
    for (const request of this.requests.takeFound()) {
      const abort = this.abortOf.get(request);
      if (!abort) continue;
      counts.retiredConnections++;
      this.retiredSinceLog++;
      const waitedMs = Math.round(clock.now() - request.sentAt);
      this.logRetired({ route: request.route, waitedMs, ...loads.latest()?.load });
      abort(new UnqueuedRequest('The upstream could not queue the request, and will not respond to it.'));
    }
  }

  private logCheck(): void {
    const now = this.options.clock.now();
    if (this.reporting !== 'yes' || now - this.checkLoggedAt < MIN_CHECK_LOG_INTERVAL_MS) return;
    this.checkLoggedAt = now;
    const facts = { inProgress: this.requests.size, otherRequests: this.reservedSlots };
    this.options.log('Health checks ask an upstream for its load: requests wait unusually long.', facts);
  }

  private logRetired(facts: object): void {
    const now = this.options.clock.now();
    if (now - this.lastLoggedAt < MIN_LOG_INTERVAL_MS) return;
    this.lastLoggedAt = now;
    this.options.log('A connection was retired: the upstream does not have its request.', {
      ...facts,
      retired: this.retiredSinceLog,
    });
    this.retiredSinceLog = 0;
  }
}
