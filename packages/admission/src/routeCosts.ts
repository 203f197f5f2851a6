/**
 * What fresh requests of a route take of an upstream, against the mean of all that it runs. Where there is no room for
 * all, the room that one dear request takes serves several others of the same importance.
 *
 * Answers to: an upstream at the end of many chains that also serves long requests of its own. A request's place among
 * those of its class is the fraction of its level. One of twice the mean work or more stands at the root of its place,
 * which is further back, but is admitted at least half as often as others: dear kinds are served less, and not shut out.
 */

/** Weight of a run in the means: some fifty runs tell. */
const MEAN_WEIGHT = 0.02;
/** A route is taken for as dear as the mean until so many of its runs are known. */
const MIN_RUNS = 10;
/** Greatest exponent of a place: with 3, chains are served 0.02 more at 1.29 times the room, and long reads 0.05 less. */
const MAX_EXPONENT = 2;
/** A dear route is admitted at least so often, as a share of what others are. */
const MIN_ADMISSION_RATIO = 0.5;
/** Places lie below one. */
const MAX_FRACTION = 1 - Number.EPSILON;

interface Mean {
  ms: number;
  runs: number;
}

/** Means of one upstream. */
export class RouteCosts {
  private readonly routes = new Map<string, Mean>();
  private readonly all: Mean = { ms: 0, runs: 0 };

  /** A run of the route took so long. */
  ran(route: string, ms: number): void {
    let mean = this.routes.get(route);
    if (!mean) this.routes.set(route, (mean = { ms: 0, runs: 0 }));
    add(mean, ms);
    add(this.all, ms);
  }

  /** The level at which a fresh request of the route at `level` stands in the queue. */
  levelInQueue(route: string, level: number): number {
    const rank = Math.floor(level);
    const place = level - rank;
    const moved = Math.min(place ** (1 / this.exponent(route)), place / MIN_ADMISSION_RATIO);
    return rank + Math.min(MAX_FRACTION, Math.max(place, moved));
  }

  /** The level from which on fresh requests of the route are refused, where the queue refuses from `level` on. */
  levelForFresh(route: string, level: number): number {
    const exponent = this.exponent(route);
    if (exponent === 1 || !Number.isFinite(level)) return level;
    const rank = Math.floor(level);
    const place = level - rank;
    return rank + Math.max(place ** exponent, place * MIN_ADMISSION_RATIO);
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
