/**
 * Holds the repeats of a whole fleet at each service to a fraction of its requests, in any window. No daemon asks
 * another: each spends its own part, worked out from the requests that it sent itself, and less by what it had to send
 * though it repeats something: a call of a run that is a repeat.
 */
import { type Clock } from '@cleatquay/clock';
import { type Repeat, type RetryBudget } from './retryAllowance.js';

/**
 * Part of the fraction that is spent. The rest is for daemons that had to send more repeats than their part, since the
 * runs that call again are not spread evenly.
 */
const SPENT_PART = 0.8;
/**
 * Parts while more tries ask to be repeated than can be: for the first call of a request, and more for each call that was
 * made before. Answers to: a service that refuses a share of all its calls. A chain is lost with any of its calls, so that
 * repeats are worth most for its last ones.
 */
const SCARCE_FIRST_PART = 0.2;
const SCARCE_PART_A_CALL = 0.2;
/**
 * Part for tries that may have run. Each repeats the calls of its run, so that the repeats of all levels above add up at
 * the deepest service: with seven levels they make 0.84.
 */
const RUN_PART = 0.12;
/** The window is counted in so many steps. */
const STEPS = 10;
/** Whether repeats are scarce is told by so many steps, one of them not over yet. */
const LATEST_STEPS = 2;
/** Part of the fixed allowance that the fleet may spend; the rest covers daemons that this one does not know of. */
const FIXED_PART = 0.5;

/** Bounds of the fleet for one service. */
export interface FleetRetryBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that, for the whole fleet, in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

interface Step {
  readonly index: number;
  requests: number;
  /** Repeats of tries that ran nowhere, and calls that runs which are repeats made again. */
  others: number;
  /** Repeats of tries that may have run. */
  runs: number;
  /** Tries that were to be repeated, whether they could be or not. */
  wanted: number;
}

/** The budget of one daemon. */
export class FleetRetryBudget implements RetryBudget {
  private readonly steps = new Map<string, Step[]>();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: FleetRetryBounds,
    /** How many daemons share the fixed allowance, this one included. */
    private readonly daemons: () => number,
  ) {}

  requested(service: string, isRepeat: boolean): void {
    const step = this.step(service);
    if (isRepeat) step.others++;
    else step.requests++;
  }

  succeeded(): void {
    // Requests count, however they end.
  }

  take(service: string, { before, callsBefore }: Repeat): boolean {
    const current = this.step(service);
    current.wanted++;
    const { ratio, extra } = this.bounds;
    let requests = 0;
    let others = 0;
    let runs = 0;
    for (const step of this.steps.get(service) ?? []) {
      requests += step.requests;
      others += step.others;
      runs += step.runs;
    }
    const whole = requests * ratio + (extra * FIXED_PART) / Math.max(1, this.daemons());
    const part = this.isScarce(service) ? scarcePart(callsBefore) : SPENT_PART;
    if (others + runs + 1 > whole * part) return false;
    if (before === 'may-have-run' && runs + 1 > whole * RUN_PART) return false;
    if (before === 'may-have-run') current.runs++;
    else current.others++;
    return true;
  }

  /** Whether more tries were to be repeated of late than the fraction allows. */
  private isScarce(service: string): boolean {
    const latest = (this.steps.get(service) ?? []).slice(-LATEST_STEPS);
    const requests = latest.reduce((sum, step) => sum + step.requests, 0);
    const wanted = latest.reduce((sum, step) => sum + step.wanted, 0);
    return wanted > requests * this.bounds.ratio * SPENT_PART;
  }

  /** The step of now; those that have left the window are dropped. */
  private step(service: string): Step {
    const index = Math.floor((this.clock.now() * STEPS) / this.bounds.windowMs);
    let steps = this.steps.get(service);
    if (!steps) this.steps.set(service, (steps = []));
    const last = steps.at(-1);
    if (last?.index === index) return last;
    while (steps[0] && steps[0].index < index - STEPS) steps.shift();
    const step: Step = { index, requests: 0, others: 0, runs: 0, wanted: 0 };
    steps.push(step);
    return step;
  }
}

function scarcePart(callsBefore: number): number {
  return Math.min(SPENT_PART, SCARCE_FIRST_PART + SCARCE_PART_A_CALL * callsBefore);
}
