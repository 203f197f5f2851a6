/**
 * Holds the retries of a whole fleet at each service to a fraction of its requests, in any window. No daemon asks
 * another: each spends its own part, worked out from the requests that it sent itself.
 */
import { type Clock } from '@cleatquay/clock';
import { type RetryBudget } from './retryAllowance.js';

/**
 * Part of the fraction for tries that an upstream refused: they ran nothing, so that their repeats repeat no calls.
 */
const REFUSED_PART = 0.4;
/**
 * Part for tries that may have run. A repeat of one repeats its calls further down, so that the repeats of every level
 * above add up at the deepest service: five levels of them and the part above make the whole. The deepest of today's
 * chains has four.
 */
const RUN_PART = 0.12;
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
  readonly index: number;
  requests: number;
  readonly retries: Record<'not-run' | 'may-have-run', number>;
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

  take(service: string, before: 'not-run' | 'may-have-run'): boolean {
    const current = this.step(service);
    const { ratio, extra } = this.bounds;
    const steps = this.steps.get(service) ?? [];
    const requests = steps.reduce((sum, step) => sum + step.requests, 0);
    const retries = steps.reduce((sum, step) => sum + step.retries[before], 0);
    const fixed = (extra * FIXED_PART) / Math.max(1, this.daemons());
    const part = before === 'not-run' ? REFUSED_PART : RUN_PART;
    if (retries + 1 > (requests * ratio + fixed) * part) return false;
    current.retries[before]++;
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
    const step: Step = { index, requests: 0, retries: { 'not-run': 0, 'may-have-run': 0 } };
    steps.push(step);
    return step;
  }
}
