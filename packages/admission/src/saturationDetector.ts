/**
 * Detects whether an upstream has a higher throughput with a tenth of its slots left free. Some upstreams slow down when nearly all of
 * their slots are in use. The detector compares run durations at full and at partial utilisation, and uses the other number of slots for a
 * twentieth of the time to keep both measured.
 *
 * Guards against: a service whose upstreams are permanently overloaded.
 */
import { type Clock } from '@cleatquay/clock';

/** Runs that began at this utilisation or above count as full. */
const FULL_UTILISATION = 0.95;
/** Runs that began at this utilisation or above, but below full, measure the speed with some slots free. */
const PARTIAL_UTILISATION = 0.5;
const REDUCED_SLOTS_RATIO = 0.9;
/** With a tenth of the slots free, throughput is higher if full runs take more than 1.11 times as long; 5 % are added for noise. */
const MAX_SLOWDOWN = 1.05 / REDUCED_SLOTS_RATIO;
/**
 * Weight of a run in the moving averages, and runs that a route needs before it counts. The spread of an average is then a twenty-fifth of the
 * spread of the durations, so that noise rarely leads to a wrong decision.
 */
const MEAN_WEIGHT = 0.003;
const MIN_RUNS = 100;
/**
 * The other number of slots is tried for a twentieth of the time, which costs 0.5 % of the capacity where it gains nothing. Until enough runs
 * are known, it is tried for half of the time: a busy upstream then has enough within one second instead of ten.
 */
const TRIAL_INTERVAL_MS = 2000;
const INITIAL_TRIAL_INTERVAL_MS = 200;
const TRIAL_DURATION_MS = 100;

interface Mean {
  ms: number;
  runs: number;
}

/** Mean run durations of one route. */
interface RouteTimes {
  readonly partial: Mean;
  readonly full: Mean;
}

/** Measures the runs of one upstream. */
export class SaturationDetector {
  private readonly routes = new Map<string, RouteTimes>();
  private slotsRatio = 1;

  constructor(private readonly clock: Clock) {}

  /** Ratio of the announced slots to use now. */
  get usableRatio(): number {
    return this.slotsRatio;
  }

  /**
   * Records a run by the utilisation at its start and its duration. Only for runs that made no calls: the duration of others depends
   * on the services that they called.
   */
  recordRun(route: string, utilisation: number, ms: number): void {
    const times = this.timesOf(route);
    if (utilisation >= FULL_UTILISATION) add(times.full, ms);
    else if (utilisation >= PARTIAL_UTILISATION) add(times.partial, ms);
    else return;
    const factor = this.slowdownWhenFull();
    const intervalMs = factor === undefined ? INITIAL_TRIAL_INTERVAL_MS : TRIAL_INTERVAL_MS;
    const isTrial = this.clock.now() % intervalMs < TRIAL_DURATION_MS;
    const isSlower = (factor ?? 1) > MAX_SLOWDOWN;
    this.slotsRatio = isSlower === isTrial ? 1 : REDUCED_SLOTS_RATIO;
  }

  /** Ratio of run durations at full to those at partial utilisation; undefined if there are too few runs. */
  private slowdownWhenFull(): number | undefined {
    let partialMs = 0;
    let fullMs = 0;
    for (const { partial, full } of this.routes.values()) {
      if (Math.min(partial.runs, full.runs) < MIN_RUNS) continue;
      const runs = partial.runs + full.runs;
      partialMs += runs * partial.ms;
      fullMs += runs * full.ms;
    }
    return partialMs === 0 ? undefined : fullMs / partialMs;
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
