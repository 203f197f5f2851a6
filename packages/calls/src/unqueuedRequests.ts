/**
 * Finds requests that a full upstream could neither run nor queue, and to which it never responds. The reasoning is in
 * docs/design/unresponsive-upstreams.md.
 */

/** A request waits unusually long after the mean time of its route plus this many mean deviations, as for TCP's retransmissions. */
const DEVIATIONS = 4;
const MIN_UNUSUAL_MS = 100;
/** The same for a route of which no response is known. */
const UNKNOWN_ROUTE_UNUSUAL_MS = 500;
/** Weight of a response in the moving averages. */
const TIME_WEIGHT = 0.05;
/** Bounds the memory if routes are renamed often. */
const MAX_ROUTES = 256;
/** Time between health checks, ms: a check is work for the upstream, too, and comes when it is full. */
const MIN_CHECK_INTERVAL_MS = 200;
/** The interval doubles up to this with each check that shows that nothing is missing, or that gets no response. */
const MAX_CHECK_INTERVAL_MS = 1000;
/** Independent checks after which a request is taken for missing. A single one errs if a response is read late. */
const REQUIRED_PROOFS = 3;
/** Checks that are kept until the other requests of them have responded. */
const MAX_OPEN_CHECKS = 16;
/** How long reports of an upstream are not used after they contradicted a response. */
const DISTRUST_MS = 30_000;

/** A request that was sent to the upstream and has no response yet. */
export interface SentRequest {
  readonly route: string;
  /** Clock time, ms. */
  readonly sentAt: number;
  /** Number of checks that prove that it is not at the upstream. */
  proofs: number;
}

/** A health check in progress. */
export interface LoadCheck {
  /** Clock time, ms. */
  readonly startedAt: number;
  readonly before: readonly SentRequest[];
  /** Requests sent since the start of the check. */
  sentSince: number;
}

/** A check that showed requests to be missing. */
interface OpenCheck {
  /** Those of its requests that have not responded. */
  readonly remaining: Set<SentRequest>;
  /** How many of these are missing at least. */
  missing: number;
}

/** What a finished check says about the requests of this daemon. */
export interface CheckedRequests {
  /** In progress during the whole check. */
  readonly throughout: number;
  /** In progress at any time during the check. */
  readonly atAnyTime: number;
}

interface ResponseTime {
  meanMs: number;
  deviationMs: number;
}

/** The requests in progress at one upstream. Has no timers. */
export class UnqueuedRequests {
  private readonly inProgress = new Set<SentRequest>();
  private readonly responseTimes = new Map<string, ResponseTime>();
  private readonly found = new Set<SentRequest>();
  private openChecks: OpenCheck[] = [];
  private runningCheck: LoadCheck | undefined;
  private lastCheckAt = Number.NEGATIVE_INFINITY;
  private intervalMs = MIN_CHECK_INTERVAL_MS;
  private distrustedUntil = Number.NEGATIVE_INFINITY;

  /** Number of requests in progress. */
  get size(): number {
    return this.inProgress.size;
  }

  /** Records a request that has been sent completely. */
  recordSent(route: string, now: number): SentRequest {
    const request: SentRequest = { route, sentAt: now, proofs: 0 };
    this.inProgress.add(request);
    if (this.runningCheck) this.runningCheck.sentSince++;
    return request;
  }

  /** Records the head of a response, which shows that the request was at the upstream. */
  recordResponse(request: SentRequest, now: number): void {
    if (!this.inProgress.delete(request)) return;
    this.found.delete(request);
    this.recordTime(request.route, now - request.sentAt);
    if (request.proofs > 0) return this.distrust(now);
    for (const check of this.openChecks) check.remaining.delete(request);
    this.evaluateOpenChecks();
  }

  /** Records that a request ended without a response: whether it was at the upstream stays open. */
  recordGivenUp(request: SentRequest): void {
    if (!this.inProgress.delete(request)) return;
    this.found.delete(request);
    for (const check of this.openChecks) if (check.remaining.delete(request)) check.missing--;
    this.evaluateOpenChecks();
  }

  /** When the next health check is worth its cost, clock time in ms; undefined while nothing is in progress. */
  nextCheckAt(): number | undefined {
    if (this.inProgress.size === 0) return undefined;
    let unusualAt = Number.POSITIVE_INFINITY;
    for (const { route, sentAt } of this.inProgress)
      unusualAt = Math.min(unusualAt, sentAt + this.unusualMs(route));
    return Math.max(unusualAt, this.lastCheckAt + this.intervalMs, this.distrustedUntil);
  }

  /** Starts a health check; requests from now on are not part of it. */
  startCheck(now: number): LoadCheck {
    this.lastCheckAt = now;
    this.runningCheck = { startedAt: now, before: [...this.inProgress], sentSince: 0 };
    return this.runningCheck;
  }

  /** Ends a check that got no response, or none that can be used. */
  failCheck(): void {
    this.runningCheck = undefined;
    this.lengthenInterval();
  }

  /** Ends a check with the number of requests that the upstream reported, running and waiting. */
  finishCheck(check: LoadCheck, total: number, now: number): CheckedRequests {
    this.runningCheck = undefined;
    const remaining = check.before.filter(request => this.inProgress.has(request));
    const atAnyTime = check.before.length + check.sentSince;
    if (atAnyTime <= total) this.lengthenInterval();
    else this.intervalMs = MIN_CHECK_INTERVAL_MS;
    const missing = remaining.length - total;
    if (missing > 0 && now >= this.distrustedUntil) {
      this.openChecks.push({ remaining: new Set(remaining), missing });
      if (this.openChecks.length > MAX_OPEN_CHECKS) this.openChecks.shift();
      this.evaluateOpenChecks();
    }
    return { throughout: remaining.length, atAnyTime };
  }

  /** The requests that are not at the upstream and were not returned before. */
  takeFound(): SentRequest[] {
    const found = [...this.found];
    this.found.clear();
    return found;
  }

  /** Once only as many requests of a check remain as were missing, they are the missing ones. */
  private evaluateOpenChecks(): void {
    this.openChecks = this.openChecks.filter(({ remaining, missing }) => {
      if (missing <= 0) return false;
      if (remaining.size > missing) return true;
      for (const request of remaining) if (++request.proofs === REQUIRED_PROOFS) this.found.add(request);
      return false;
    });
  }

  private distrust(now: number): void {
    this.distrustedUntil = now + DISTRUST_MS;
    this.openChecks = [];
    this.found.clear();
    for (const request of this.inProgress) request.proofs = 0;
  }

  private lengthenInterval(): void {
    this.intervalMs = Math.min(MAX_CHECK_INTERVAL_MS, 2 * this.intervalMs);
  }

  private unusualMs(route: string): number {
    const time = this.responseTimes.get(route);
    if (!time) return UNKNOWN_ROUTE_UNUSUAL_MS;
    return Math.max(MIN_UNUSUAL_MS, time.meanMs + DEVIATIONS * time.deviationMs);
  }

  private recordTime(route: string, ms: number): void {
    const time = this.responseTimes.get(route);
    if (!time) {
      if (this.responseTimes.size < MAX_ROUTES)
        this.responseTimes.set(route, { meanMs: ms, deviationMs: ms / 2 });
      return;
    }
    time.deviationMs += (Math.abs(ms - time.meanMs) - time.deviationMs) * TIME_WEIGHT;
    time.meanMs += (ms - time.meanMs) * TIME_WEIGHT;
  }
}
