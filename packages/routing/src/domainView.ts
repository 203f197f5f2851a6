/** What this daemon knows of the upstreams of one service in one failure domain, and the ratio of calls that it sends there. */
import { type MeasuredCandidate } from './candidateSubset.js';

/** Weight of a report by its age. */
const REPORT_HALF_LIFE_MS = 500;
/** Older reports say nothing. */
const MAX_REPORT_AGE_MS = 2000;
/** Time constants of the moving averages; the difference of the utilisations gives the trend. */
const FAST_MS = 300;
const SLOW_MS = 1200;
/** Longer, since the speed of upstreams changes less than their utilisation, and single calls vary. */
const TIME_MS = 1000;
/** Time in which a changed ratio takes effect on the utilisation. */
const PREDICTION_MS = 700;
/** Slow enough that a difference of 100 ms moves little; calls return home faster. */
const RISE_MS = 500;
const FALL_MS = 200;
/** A ratio below this is 0. */
const MIN_RATIO = 0.005;

/** Limits a number to the range from 0 to 1. */
export function clamp(value: number): number {
  return Math.min(1, Math.max(0, value));
}

/** Figures of one failure domain. */
export class DomainView {
  /** Expected time of a call, ms; undefined if no upstream has responded yet. */
  timeMs: number | undefined;
  /** Ratio of the calls that cross to this failure domain. */
  ratio = 0;
  /** Ratio of calls that would cross before the room there is considered, 0 to 1. */
  wantedRatio = 0;
  probedAt = Number.NEGATIVE_INFINITY;
  private utilisation: number | undefined;
  private slowUtilisation = 0;
  private measuredAt = 0;
  private approachedAt = 0;
  private newestReportAt = Number.NEGATIVE_INFINITY;

  /** Takes the figures of its candidates. */
  measure(
    candidates: readonly MeasuredCandidate[],
    now: number,
    expectedTimeMs: (candidate: MeasuredCandidate) => number | undefined,
  ): void {
    const elapsedMs = now - this.measuredAt;
    this.measuredAt = now;
    const newestAge = Math.min(...candidates.map(({ statistics }) => statistics.loadAgeMs()));
    this.newestReportAt = now - newestAge;
    const timeMs = meanOfLowerHalf(candidates.map(expectedTimeMs));
    if (timeMs !== undefined) this.timeMs = averaged(this.timeMs, timeMs, elapsedMs / TIME_MS);
    const utilisation = reportedUtilisation(candidates);
    if (utilisation === undefined) return;
    if (this.utilisation === undefined) this.slowUtilisation = utilisation;
    this.utilisation = averaged(this.utilisation, utilisation, elapsedMs / FAST_MS);
    this.slowUtilisation = averaged(this.slowUtilisation, utilisation, elapsedMs / SLOW_MS);
  }

  /** Moves the ratio towards the target. */
  approach(target: number, now: number): void {
    const elapsedMs = Math.min(now - this.approachedAt, RISE_MS);
    this.approachedAt = now;
    const timeConstant = target > this.ratio ? RISE_MS : FALL_MS;
    const ratio = averaged(this.ratio, target, elapsedMs / timeConstant);
    this.ratio = ratio < MIN_RATIO && target < MIN_RATIO ? 0 : ratio;
  }

  /** Utilisation in the near future by its trend. */
  get predictedUtilisation(): number {
    const current = this.utilisation ?? 0;
    return Math.max(0, current + this.trend);
  }

  /** The larger of the present and the predicted utilisation: a falling trend gives no room yet. */
  get risingUtilisation(): number {
    return (this.utilisation ?? 0) + Math.max(0, this.trend);
  }

  /** Clock time of the latest report or probe, ms. */
  get lastHeardOrProbedAt(): number {
    return Math.max(this.newestReportAt, this.probedAt);
  }

  /** Whether there are reports recent enough to judge its room. */
  isCurrent(now: number): boolean {
    return this.utilisation !== undefined && now - this.newestReportAt <= MAX_REPORT_AGE_MS;
  }

  private get trend(): number {
    return (((this.utilisation ?? 0) - this.slowUtilisation) * PREDICTION_MS) / (SLOW_MS - FAST_MS);
  }
}

/** Moving average over time, for samples at irregular intervals. */
function averaged(previous: number | undefined, sample: number, timeConstants: number): number {
  if (previous === undefined) return sample;
  return previous + (sample - previous) * (1 - Math.exp(-timeConstants));
}

/** The router avoids the slower upstreams of a failure domain, so that these don't count. */
function meanOfLowerHalf(values: readonly (number | undefined)[]): number | undefined {
  const known = values.filter(value => value !== undefined).sort((a, b) => a - b);
  if (known.length === 0) return undefined;
  const lower = known.slice(0, Math.ceil(known.length / 2));
  return lower.reduce((sum, value) => sum + value, 0) / lower.length;
}

/** Mean utilisation of those that reported recently, by the daemon's count and by the upstream's own. */
function reportedUtilisation(candidates: readonly MeasuredCandidate[]): number | undefined {
  let [sum, weights] = [0, 0];
  for (const { candidate, statistics } of candidates) {
    const ageMs = statistics.loadAgeMs();
    if (ageMs > MAX_REPORT_AGE_MS) continue;
    const weight = 0.5 ** (ageMs / REPORT_HALF_LIFE_MS);
    sum += weight * statistics.reportedUtilisation(candidate.slots);
    weights += weight;
  }
  return weights === 0 ? undefined : sum / weights;
}
