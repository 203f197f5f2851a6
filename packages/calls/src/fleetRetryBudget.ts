/**
 * Holds the retries of a whole fleet at each service to a fraction of its requests, in any window. No daemon asks
 * another: each spends its own part, worked out from the requests that it sent itself.
 */
import { type Clock } from '@cleatquay/clock';
import { type RetryBudget } from './retryAllowance.js';

/**
 * The fraction is shared over so many levels of a chain: a repeated request repeats its calls further down, so that
 * the repeats of every level above add up at the deepest service. Seven levels are the deepest that are planned for;
 * the deepest of today's chains has four, and the top level repeats what the lower ones carry.
 */
const LEVELS = 5;
/** The window is counted in so many steps. */
const STEPS = 10;
/** Part of the fixed allowance that the fleet may spend; the rest covers daemons that this one does not know of. */
const FIXED_PART = 0.5;

/** Bounds of the fleet for one service. */
export interface FleetRetryBounds {
  /** Retries for each request. */
  readonly ratio: number;
  /** Retries beyond that, for the whole fleet, in one window. */
  readonly extra: number;
  readonly windowMs: number;
}

interface Step {
  index: number;
  requests: number;
  retries: number;
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

  requested(service: string): void {
    this.step(service).requests++;
  }

  succeeded(): void {
    // Requests count, however they end.
  }

  take(service: string): boolean {
    const current = this.step(service);
    const { ratio, extra } = this.bounds;
    const steps = this.steps.get(service) ?? [];
    const requests = steps.reduce((sum, step) => sum + step.requests, 0);
    const retries = steps.reduce((sum, step) => sum + step.retries, 0);
    const fixed = (extra * FIXED_PART) / (LEVELS * Math.max(1, this.daemons()));
    if (retries + 1 > (requests * ratio) / LEVELS + fixed) return false;
    current.retries++;
    return true;
  }

  /** The step of now; those that have left the window are dropped. */
  private step(service: string): Step {
    const index = Math.floor((this.clock.now() * STEPS) / this.bounds.windowMs);
    let steps = this.steps.get(service);
    if (!steps) this.steps.set(service, (steps = []));
    const last = steps.at(-1);
    if (last?.index === index) return last;
    while (steps[0] && steps[0].index < index - STEPS) steps.shift();
    const step = { index, requests: 0, retries: 0 };
    steps.push(step);
    return step;
  }
}
