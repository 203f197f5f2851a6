/** All experiments of the bench, by name. */
import { type ExperimentResult, findViolations } from '../results.js';
import { type OverloadScenario, VARIANTS, runOverload } from './overload.js';
import { type FleetRunResult, runPartition, runRollingReplace } from './fleetRuns.js';
import { runTruth } from './truth.js';

export interface Experiment {
  readonly summary: string;
  readonly run: (options: ExperimentOptions) => Promise<ExperimentResult>;
}

/** Options from the command line. */
export interface ExperimentOptions {
  readonly name: string;
  readonly seed: string;
  readonly variants: readonly string[];
  /** Duration of the experiments that have no fixed one, seconds. */
  readonly seconds: number;
  readonly log: (line: string) => void;
}

const MAX_ATTEMPTS = 4;
/** Above this utilisation the machine, not the upstreams, limits the figures. */
const MAX_PROCESSOR_USE = 0.85;

function overload(summary: string, scenario: OverloadScenario): Experiment {
  return {
    summary,
    run: async ({ name, seed, variants, log }) => {
      const result: ExperimentResult = { experiment: name, seed, variants: {}, violations: [] };
      for (const variant of variants.length > 0 ? variants : Object.keys(VARIANTS)) {
        log(`Running ${name}, ${variant}.`);
        const figures = await runOverload(scenario, variant, seed);
        result.variants[variant] = figures;
        if ((figures.processorUse ?? 0) > MAX_PROCESSOR_USE)
          log(`${variant}: the machine's processors were the bottleneck, not the upstreams.`);
        if (variant !== 'unprotected')
          result.violations.push(...findViolations(variant, figures, MAX_ATTEMPTS));
      }
      return result;
    },
  };
}

/** Checks that outcomes reported to callers are true, without faults and with one fault a second on average. */
const truth: Experiment = {
  summary:
    "random kills, freezes, partitions and outages; compares outcomes seen by callers with the upstreams' ledgers",
  run: async ({ name, seed, variants, seconds, log }) => {
    const result: ExperimentResult = { experiment: name, seed, variants: {}, violations: [] };
    for (const variant of variants.length > 0 ? variants : ['calm', 'faults']) {
      log(`Running ${name}, ${variant}.`);
      const figures = await runTruth(variant === 'faults', seed, seconds);
      result.variants[variant] = figures;
      result.violations.push(...findViolations(variant, figures, MAX_ATTEMPTS));
      if (variant === 'calm' && figures.unknownShare > 0)
        result.violations.push('calm: callers got the outcome "unknown".');
    }
    return result;
  },
};

/** A run of a whole fleet; at least `minAnsweredShare` of the requests must be answered, in each failure domain if the run tells them apart. */
function fleetRun(
  summary: string,
  minAnsweredShare: number,
  run: (seed: string, seconds: number) => Promise<FleetRunResult>,
): Experiment {
  return {
    summary,
    run: async ({ name, seed, seconds, log }) => {
      log(`Running ${name}.`);
      const { figures, answered } = await run(seed, seconds);
      const belowMinimum = Object.entries(answered).filter(([, share]) => share < minAnsweredShare);
      const violations = belowMinimum.map(([key, share]) => `${key}: answeredShare is ${share.toFixed(4)}.`);
      violations.push(...findViolations('full', figures, MAX_ATTEMPTS));
      return {
        experiment: name,
        seed,
        variants: { full: { ...figures, answeredShare: answered } },
        violations,
      };
    },
  };
}

export const experiments: Readonly<Record<string, Experiment>> = {
  steady: overload('85% load without faults', {
    depth: 3,
    demand: 0.85,
    slowFactor: 1,
    normalDemand: 0.85,
  }),
  surge: overload('demand is three times the capacity', { depth: 3, demand: 3, slowFactor: 1 }),
  'deep-slowdown': overload('the deepest of four services slows down threefold', {
    depth: 4,
    demand: 0.7,
    slowFactor: 3,
  }),
  'slowdown-and-surge': overload('the deepest of four services slows down twofold while demand doubles', {
    depth: 4,
    demand: 1.5,
    slowFactor: 2,
  }),
  'slowdown-and-surge-7': overload('the same with seven services', {
    depth: 7,
    demand: 1.5,
    slowFactor: 2,
  }),
  truth,
  partition: fleetRun(
    'one of three failure domains is partitioned from the others, and the platform is down',
    0.95,
    runPartition,
  ),
  'rolling-replace': fleetRun('all VMs are replaced one by one under load', 1, runRollingReplace),
  'upstream-kill': overload('one of three upstreams of the deepest service is killed', {
    depth: 3,
    demand: 0.7,
    slowFactor: 1,
    injectFault: async (_fleet, [first]) => Promise.resolve(first?.upstream.signal('SIGKILL')),
  }),
  'gray-upstream': overload('one of three upstreams of the deepest service responds ten times slower', {
    depth: 3,
    demand: 0.5,
    slowFactor: 1,
    normalDemand: 0.5,
    injectFault: async (fleet, [first]) => {
      if (first) await fleet.setBehaviour(first, { slowFactor: 10 });
    },
  }),
  'platform-outage-under-surge': overload('demand is three times the capacity while the platform is down', {
    depth: 3,
    demand: 3,
    slowFactor: 1,
    injectFault: fleet => fleet.setPlatformFaults({ down: true }),
    clearFault: fleet => fleet.setPlatformFaults({ down: false }),
  }),
};
