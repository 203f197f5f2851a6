/**
 * How many of its slots an upstream is worth. Some slow down when nearly all of them are in use, and run more requests a second with a few
 * left free. So it is tried: for a twentieth of the time the other number of slots is used, and the times of runs are compared.
 *
 * Answers to: a service that is too small for what is asked of it.
 */
import { type Clock } from '@cleatquay/clock';

/** From this share of its slots on, an upstream is nearly full. */
const FULL_UTILISATION = 0.95;
/** Runs that began from this share on, and below that, tell how fast it is with some slots free. */
const PARTIAL_UTILISATION = 0.5;
const REDUCED_SLOTS_RATIO = 0.9;
/** It runs more a second with that share if it is slower by more than 1.11 when full; a twentieth above that, for noise. */
const MAX_SLOWDOWN = 1.05 / REDUCED_SLOTS_RATIO;
/**
 * Weight of a run in the means, and runs of a route that tell: a mean then spreads by a twenty-fifth of what the times do, so that noise makes
 * few findings wrong.
 */
const MEAN_WEIGHT = 0.003;
const MIN_RUNS = 100;
/**
 * The other number of slots is tried for a twentieth of the time: where nothing is gained by it, that costs half a hundredth of the room. Until
 * enough is known, it is tried for half of the time: a busy upstream then tells within a second, in place of ten.
 */
const TRIAL_INTERVAL_MS = 2000;
const INITIAL_TRIAL_INTERVAL_MS = 200;
const TRIAL_DURATION_MS = 100;

interface Mean {
  ms: number;
  runs: number;
}

/** Times of the runs of one route. */
interface RouteTimes {
  readonly partial: Mean;
  readonly full: Mean;
}

/** What the runs of one upstream tell. */
export class FullLoad {
  private readonly routes = new Map<string, RouteTimes>();
  private slotsRatio = 1;

  constructor(private readonly clock: Clock) {}

  /** The share of its slots to use now. */
  get usableRatio(): number {
    return this.slotsRatio;
  }

  /**
   * A run ended that began with such a share of the slots in use, and took so long. Only for runs that made no calls: the time of others is that
   * of what they called.
   */
  recordRun(route: string, share: number, ms: number): void {
    const times = this.timesOf(route);
    if (share >= FULL_UTILISATION) add(times.full, ms);
    else if (share >= PARTIAL_UTILISATION) add(times.partial, ms);
    else return;
    const factor = this.slowdownWhenFull();
    const intervalMs = factor === undefined ? INITIAL_TRIAL_INTERVAL_MS : TRIAL_INTERVAL_MS;
    const isTrial = this.clock.now() % intervalMs < TRIAL_DURATION_MS;
    const isSlower = (factor ?? 1) > MAX_SLOWDOWN;
    this.slotsRatio = isSlower === isTrial ? 1 : REDUCED_SLOTS_RATIO;
  }

  /** How much longer the same runs take when it is nearly full; undefined if not enough is known. */
  private slowdownWhenFull(): number | undefined {
    let partlyMs = 0;
    let fullMs = 0;
    for (const { partial: partly, full } of this.routes.values()) {
      if (Math.min(partly.runs, full.runs) < MIN_RUNS) continue;
      const runs = partly.runs + full.runs;
      partlyMs += runs * partly.ms;
      fullMs += runs * full.ms;
    }
    return partlyMs === 0 ? undefined : fullMs / partlyMs;
  }

  private timesOf(route: string): RouteTimes {
    let times = this.routes.get(route);
    if (!times) {
      times = { partial: { ms: 0, runs: 0 }, full: { ms: 0, runs: 0 } };
      this.routes.set(route, times);
    }
    return times;
  }
}

function add(mean: Mean, ms: number): void {
  mean.runs++;
  mean.ms += (ms - mean.ms) * Math.max(MEAN_WEIGHT, 1 / mean.runs);
}
