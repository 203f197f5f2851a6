/** What this daemon has itself measured of one candidate, which goes before anything that is reported. */
import { type Clock } from '@cleatquay/clock';
import { type Load } from '@cleatquay/protocol';

const LATENCY_WEIGHT = 0.1;
const MIN_OUTSTANDING = 3;
const LOAD_REPORT_HALF_LIFE_MS = 200;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 5000;
const LEVEL_TTL_MS = 500;
const LEVEL_RECOVERY_MS = 2000;

/** How a call to the candidate ended, as far as its choice is concerned. */
export type CallResult = 'answered' | 'refused' | 'failed' | 'unreachable';

interface ReportedLevel {
  readonly level: number;
  readonly receivedAt: number;
}

/** Measurements of one candidate. */
export class PeerStatistics {
  outstanding = 0;
  latencyMs = 0;
  samples = 0;
  private load: Load | undefined;
  private loadReceivedAt = 0;
  private startTimesSum = 0;
  private backoffMs = 0;
  private backoffUntil = 0;
  private readonly levels = new Map<string, ReportedLevel>();

  constructor(private readonly clock: Clock) {}

  /** A call starts; gives the time of its start for `ended`. */
  callStarted(): number {
    const now = this.clock.now();
    this.outstanding++;
    this.startTimesSum += now;
    return now;
  }

  /** The call that started at `start` ended. */
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

  /** The candidate told its load with an answer or refusal for `route`. */
  recordLoad(route: string, load: Load): void {
    if (load.limit === 0) return;
    this.load = load;
    this.loadReceivedAt = this.clock.now();
    this.levels.set(route, { level: load.admissionLevel, receivedAt: this.loadReceivedAt });
  }

  /**
   * How slow it is, ms: its mean latency, or the mean age of the calls that it has, whichever is worse. Their age tells
   * of a sudden slowness long before the first of them ends.
   */
  slownessMs(): number {
    if (this.outstanding < MIN_OUTSTANDING) return this.latencyMs;
    const meanAge = this.clock.now() - this.startTimesSum / this.outstanding;
    return Math.max(this.latencyMs, meanAge);
  }

  /** How long ago it told its load, ms; infinite if it never did. */
  loadAgeMs(): number {
    return this.load ? this.clock.now() - this.loadReceivedAt : Number.POSITIVE_INFINITY;
  }

  /** Whether it was out of reach a moment ago. */
  get isBackedOff(): boolean {
    return this.clock.now() < this.backoffUntil;
  }

  /** Clock time at which it last told its level for calls to `route`, ms; long ago if it never did. */
  levelReceivedAt(route: string): number {
    return this.levels.get(route)?.receivedAt ?? Number.NEGATIVE_INFINITY;
  }

  /** The level from which on it refuses calls to `route`; opens by itself when nothing more is reported. */
  admissionLevelFor(route: string): number {
    const reported = this.levels.get(route);
    if (!reported) return Number.MAX_VALUE;
    const staleMs = this.clock.now() - reported.receivedAt - LEVEL_TTL_MS;
    if (staleMs <= 0) return reported.level;
    return reported.level + (staleMs / LEVEL_RECOVERY_MS) * (1 + reported.level);
  }

  /** How busy it is, as a share of what it can run at once. */
  utilisation(slots: number): number {
    const limit = Math.max(1, this.load?.limit ?? slots);
    const age = this.clock.now() - this.loadReceivedAt;
    const inFlight = (this.load?.inFlight ?? 0) + (this.load?.queued ?? 0);
    const estimated = inFlight * 0.5 ** (age / LOAD_REPORT_HALF_LIFE_MS);
    return Math.max(this.outstanding, estimated) / limit;
  }

  private backOff(): void {
    this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, this.backoffMs * 2));
    this.backoffUntil = this.clock.now() + this.backoffMs;
  }
}
