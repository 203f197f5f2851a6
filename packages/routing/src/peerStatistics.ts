/** Measurements of this daemon for one candidate, and the load that the candidate reports. Own measurements take precedence. */
import { type Clock } from '@cleatquay/clock';
import { type Load } from '@cleatquay/protocol';
import { MeasuredSpeed } from './measuredSpeed.js';
import { ReportedWork } from './reportedWork.js';

/** Weight of a call in the moving average of the latency. */
const LATENCY_WEIGHT = 0.1;
/** The age of outstanding calls counts from this many on. */
const MIN_OUTSTANDING = 3;
const LOAD_REPORT_HALF_LIFE_MS = 200;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5000;
/** A reported admission level holds this long, then rises steadily until a newer report. */
const LEVEL_TTL_MS = 500;
/** Time in which the level rises by one plus the reported level. */
const LEVEL_RECOVERY_MS = 2000;

/** How a call to the candidate ended, as far as load balancing is concerned. */
export type CallResult = 'answered' | 'refused' | 'failed' | 'unreachable';

interface ReportedLevel {
  readonly level: number;
  readonly receivedAt: number;
}

/** Statistics of one candidate. */
export class PeerStatistics {
  outstanding = 0;
  latencyMs = 0;
  samples = 0;
  readonly speed: MeasuredSpeed;
  readonly work: ReportedWork;
  private load: Load | undefined;
  private loadReceivedAt = 0;
  private startTimesSum = 0;
  private backoffMs = 0;
  private backoffUntil = 0;
  private readonly levels = new Map<string, ReportedLevel>();

  constructor(private readonly clock: Clock) {
    this.speed = new MeasuredSpeed(clock);
    this.work = new ReportedWork(clock);
  }

  /** Records the start of a call; returns the start time for `callEnded`. */
  callStarted(): number {
    const now = this.clock.now();
    this.outstanding++;
    this.startTimesSum += now;
    return now;
  }

  /** Records the end of the call that started at `start`. */
  callEnded(result: CallResult, start: number): void {
    this.outstanding--;
    this.startTimesSum -= start;
    const ms = this.clock.now() - start;
    if (result === 'unreachable') return this.backOff();
    this.backoffMs = 0;
    this.backoffUntil = 0;
    if (result !== 'answered') return;
    this.latencyMs = this.samples === 0 ? ms : this.latencyMs + (ms - this.latencyMs) * LATENCY_WEIGHT;
    this.samples++;
  }

  /** Records the load that came with a response or refusal for `route`. */
  recordLoad(route: string, load: Load): void {
    if (load.limit === 0) return;
    this.load = load;
    this.loadReceivedAt = this.clock.now();
    this.work.record(load, this.outstanding);
    if (load.reported?.workTimePercent) this.speed.recordWorkTime(load.reported.workTimePercent);
    this.levels.set(route, { level: load.admissionLevel, receivedAt: this.loadReceivedAt });
  }

  /**
   * The larger of the mean latency and the mean age of outstanding calls, ms. The age shows a sudden slowdown long before the
   * first of these calls ends.
   */
  slownessMs(): number {
    return Math.max(this.latencyMs, this.outstandingAgeMs());
  }

  /** Mean age of the outstanding calls, ms; 0 if there are too few to tell. */
  outstandingAgeMs(): number {
    if (this.outstanding < MIN_OUTSTANDING) return 0;
    return this.clock.now() - this.startTimesSum / this.outstanding;
  }

  /** Age of the latest load report, ms; infinite if there is none. */
  loadAgeMs(): number {
    return this.load ? this.clock.now() - this.loadReceivedAt : Number.POSITIVE_INFINITY;
  }

  /** Whether a recent call found it unreachable and the backoff still runs. */
  get isBackedOff(): boolean {
    return this.clock.now() < this.backoffUntil;
  }

  /** Clock time of the latest report of its admission level for `route`, ms; negative infinity if there is none. */
  levelReceivedAt(route: string): number {
    return this.levels.get(route)?.receivedAt ?? Number.NEGATIVE_INFINITY;
  }

  /** Its admission level for `route`; recovers while there are no newer reports. */
  admissionLevelFor(route: string): number {
    const reported = this.levels.get(route);
    if (!reported) return Number.MAX_VALUE;
    const staleMs = this.clock.now() - reported.receivedAt - LEVEL_TTL_MS;
    if (staleMs <= 0) return reported.level;
    return reported.level + (staleMs / LEVEL_RECOVERY_MS) * (1 + reported.level);
  }

  /** Calls in progress relative to its concurrency limit; the reported part decays with its age. */
  utilisation(slots: number): number {
    const limit = Math.max(1, this.load?.limit ?? slots);
    const age = this.clock.now() - this.loadReceivedAt;
    const inFlight = (this.load?.inFlight ?? 0) + (this.load?.queued ?? 0);
    const estimated = inFlight * 0.5 ** (age / LOAD_REPORT_HALF_LIFE_MS);
    return Math.max(this.outstanding, estimated) / limit;
  }

  /**
   * Whether the upstream of the candidate reports how long work takes on its VM. Only then are upstreams chosen by expected time, and calls balanced
   * between failure domains.
   */
  get reportsWorkTime(): boolean {
    return (this.load?.reported?.workTimePercent ?? 0) > 0;
  }

  /** Utilisation at the time of the latest report, by the daemon's count or by the upstream's own, whichever is higher. */
  reportedUtilisation(slots: number): number {
    const { limit = slots, inFlight = 0, queued = 0, reported } = this.load ?? {};
    const here = Math.max(this.outstanding, inFlight + queued) / Math.max(1, limit);
    return reported
      ? Math.max(here, (reported.running + reported.waiting) / Math.max(1, reported.slots))
      : here;
  }

  private backOff(): void {
    this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, this.backoffMs * 2));
    this.backoffUntil = this.clock.now() + this.backoffMs;
  }
}
