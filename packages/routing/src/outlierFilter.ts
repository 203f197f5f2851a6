/** Finds the candidates of a service that are much slower than the others. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type MeasuredCandidate } from './candidateSubset.js';

/** A candidate is an outlier if it is slower than the median by more than this factor. */
const OUTLIER_FACTOR = 3;
const OUTLIER_MIN_SAMPLES = 5;
/** Ratio of the choices for lower classes that may select an outlier, to detect its recovery. */
const OUTLIER_PROBE_RATIO = 0.05;
/** Shorter than it takes to detect a slow upstream, which needs three outstanding calls. */
const OUTLIER_BOUND_TTL_MS = 10;
/** Limits the choices per computed bound, so that the bound stays current under the heaviest load, too. */
const OUTLIER_BOUND_MAX_CHOICES = 8;

/** Cached bound of the slowness above which a candidate is an outlier. */
interface OutlierBound {
  readonly ms: number;
  readonly at: number;
  choicesLeft: number;
}

/** Leaves out the outliers of one service. */
export class OutlierFilter {
  private bound: OutlierBound = {
    ms: Number.POSITIVE_INFINITY,
    at: Number.NEGATIVE_INFINITY,
    choicesLeft: 0,
  };

  constructor(private readonly options: { readonly clock: Clock; readonly random: Random }) {}

  /**
   * Leaves out candidates that are much slower than the median over all failure domains, except for a small ratio of calls of
   * lower classes, which detect recovery. The bound leaves at least half of the candidates from which it was computed: those up to the median.
   */
  leaveOut(candidates: readonly MeasuredCandidate[], level: number): readonly MeasuredCandidate[] {
    const isProbe = level >= 1 && this.options.random() < OUTLIER_PROBE_RATIO;
    if (candidates.length < 3 || isProbe) return candidates;
    const bound = this.currentBound(candidates);
    return candidates.filter(
      ({ statistics }) => statistics.samples < OUTLIER_MIN_SAMPLES || statistics.slownessMs() <= bound,
    );
  }

  /** Cached for some choices and milliseconds, so that not every choice sorts all candidates. */
  private currentBound(candidates: readonly MeasuredCandidate[]): number {
    const now = this.options.clock.now();
    const { bound } = this;
    if (bound.choicesLeft-- > 0 && now - bound.at < OUTLIER_BOUND_TTL_MS) return bound.ms;
    const measured = candidates.filter(({ statistics }) => statistics.samples >= OUTLIER_MIN_SAMPLES);
    const latencies = measured.map(({ statistics }) => statistics.slownessMs()).sort((a, b) => a - b);
    const median = latencies[Math.floor((latencies.length - 1) / 2)];
    const ms = median === undefined ? Number.POSITIVE_INFINITY : median * OUTLIER_FACTOR;
    this.bound = { ms, at: now, choicesLeft: OUTLIER_BOUND_MAX_CHOICES };
    return ms;
  }
}
