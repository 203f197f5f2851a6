/** What this daemon has itself measured of one candidate, which goes before anything that is reported. */
import { type Clock } from '@cleatquay/clock';
import { type Load } from '@cleatquay/protocol';

const LATENCY_WEIGHT = 0.1;
const TELLING_OUTSTANDING = 3;
const REPORT_HALF_LIFE_MS = 200;
const FIRST_BACKOFF_MS = 250;
const LONGEST_BACKOFF_MS = 5000;
const LEVEL_HOLDS_MS = 500;
const LEVEL_OPENS_IN_MS = 2000;

/** How a call to the candidate ended, as far as its choice is concerned. */
export type CallResult = 'answered' | 'refused' | 'failed' | 'unreachable';

interface HeardLevel {
  readonly level: number;
  readonly at: number;
}

/** Measurements of one candidate. */
export class PeerStatistics {
  outstanding = 0;
  latencyMs = 0;
  samples = 0;
  private load: Load | undefined;
  private loadAt = 0;
  private startTimes = 0;
  private backoffMs = 0;
  private avoidUntil = 0;
  private readonly levels = new Map<string, HeardLevel>();

  constructor(private readonly clock: Clock) {}

  /** A call starts; gives the time of its start for `ended`. */
  started(): number {
    const now = this.clock.now();
    this.outstanding++;
    this.startTimes += now;
    return now;
  }

  /** The call that started at `start` ended. */
  ended(result: CallResult, start: number): void {
    this.outstanding--;
    this.startTimes -= start;
    const ms = this.clock.now() - start;
    if (result === 'unreachable') return this.backOff();
    this.backoffMs = 0;
    this.avoidUntil = 0;
    if (result !== 'answered') return;
    this.latencyMs = this.samples === 0 ? ms : this.latencyMs + (ms - this.latencyMs) * LATENCY_WEIGHT;
    this.samples++;
  }

  /** The candidate told its load with an answer or refusal for `route`. */
  heard(route: string, load: Load): void {
    if (load.limit === 0) return;
    this.load = load;
    this.loadAt = this.clock.now();
    this.levels.set(route, { level: load.admissionLevel, at: this.loadAt });
  }

  /**
   * How slow it is, ms: its mean latency, or the mean age of the calls that it has, whichever is worse. Their age tells
   * of a sudden slowness long before the first of them ends.
   */
  slownessMs(): number {
    if (this.outstanding < TELLING_OUTSTANDING) return this.latencyMs;
    const meanAge = this.clock.now() - this.startTimes / this.outstanding;
    return Math.max(this.latencyMs, meanAge);
  }

  /** How long ago it told its load, ms; infinite if it never did. */
  loadAgeMs(): number {
    return this.load ? this.clock.now() - this.loadAt : Number.POSITIVE_INFINITY;
  }

  /** Whether it was out of reach a moment ago. */
  get isAvoided(): boolean {
    return this.clock.now() < this.avoidUntil;
  }

  /** Clock time at which it last told its level for calls to `route`, ms; long ago if it never did. */
  levelHeardAt(route: string): number {
    return this.levels.get(route)?.at ?? Number.NEGATIVE_INFINITY;
  }

  /** The level from which on it refuses calls to `route`; opens by itself when nothing more is heard. */
  levelFor(route: string): number {
    const heard = this.levels.get(route);
    if (!heard) return Number.MAX_VALUE;
    const silence = this.clock.now() - heard.at - LEVEL_HOLDS_MS;
    if (silence <= 0) return heard.level;
    return heard.level + (silence / LEVEL_OPENS_IN_MS) * (1 + heard.level);
  }

  /** How busy it is, as a share of what it can run at once. */
  utilisation(slots: number): number {
    const limit = Math.max(1, this.load?.limit ?? slots);
    const age = this.clock.now() - this.loadAt;
    const reported = (this.load?.inFlight ?? 0) + (this.load?.queued ?? 0);
    const believed = reported * 0.5 ** (age / REPORT_HALF_LIFE_MS);
    return Math.max(this.outstanding, believed) / limit;
  }

  private backOff(): void {
    this.backoffMs = Math.min(LONGEST_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, this.backoffMs * 2));
    this.avoidUntil = this.clock.now() + this.backoffMs;
  }
}
