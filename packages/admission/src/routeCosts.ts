/**
 * Ranks root requests of expensive routes behind others of their class: under overload, the capacity that one expensive
 * request takes serves several others of the same priority. The cost of a route is the mean duration of its runs, relative to
 * the mean of all runs of the upstream.
 *
 * Guards against: an upstream at the end of many call chains that also serves long root requests. The fraction of a
 * request's level is its position within its class. For a route of twice the mean cost or more, the position becomes its
 * square root, which is further back, but the route is still admitted at least half as often as others, so that it isn't starved.
 */

/** Weight of a run in the moving averages, which cover some fifty runs. */
const MEAN_WEIGHT = 0.02;
/** A route counts as of mean cost until this many of its runs are known. */
const MIN_RUNS = 10;
/** With 3, the served ratio of chains is 0.02 higher at 1.29 times the capacity, and that of long reads 0.05 lower. */
const MAX_EXPONENT = 2;
/** An expensive route is admitted at least this often, relative to others. */
const MIN_ADMISSION_RATIO = 0.5;
/** Largest fraction of a level. */
const MAX_FRACTION = 1 - Number.EPSILON;

interface Mean {
  ms: number;
  runs: number;
}

/** Mean run durations by route, for one upstream. */
export class RouteCosts {
  private readonly routes = new Map<string, Mean>();
  private readonly all: Mean = { ms: 0, runs: 0 };

  /** Records the duration of a run. */
  recordRun(route: string, ms: number): void {
    let mean = this.routes.get(route);
    if (!mean) this.routes.set(route, (mean = { ms: 0, runs: 0 }));
    add(mean, ms);
    add(this.all, ms);
  }

  /** The level by which a root request of the route is queued, given its own `level`. */
  queueLevel(route: string, level: number): number {
    const rank = Math.floor(level);
    const fraction = level - rank;
    const adjusted = Math.min(fraction ** (1 / this.exponent(route)), fraction / MIN_ADMISSION_RATIO);
    return rank + Math.min(MAX_FRACTION, Math.max(fraction, adjusted));
  }

  /** The admission level for root requests of the route, given the admission level of the queue; the inverse of the queue level. */
  rootAdmissionLevel(route: string, level: number): number {
    const exponent = this.exponent(route);
    if (exponent === 1 || !Number.isFinite(level)) return level;
    const rank = Math.floor(level);
    const fraction = level - rank;
    return rank + Math.max(fraction ** exponent, fraction * MIN_ADMISSION_RATIO);
  }

  private exponent(route: string): number {
    const mean = this.routes.get(route);
    if (!mean || mean.runs < MIN_RUNS || this.all.ms === 0) return 1;
    return Math.min(MAX_EXPONENT, Math.max(1, mean.ms / this.all.ms));
  }
}

function add(mean: Mean, ms: number): void {
  mean.runs++;
  mean.ms += (ms - mean.ms) * Math.max(MEAN_WEIGHT, 1 / mean.runs);
}
