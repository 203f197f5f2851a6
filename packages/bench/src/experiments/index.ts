/** The experiments by name. */
import { type ExperimentResult, violationsOf } from '../results.js';
import { type OverloadShape, VARIANTS, runOverload } from './overload.js';
import { type FleetRun, runPartition, runRollingReplace } from './fleetRuns.js';
import { runTruth } from './truth.js';

/** One experiment. */
export interface Experiment {
  readonly summary: string;
  readonly run: (options: ExperimentOptions) => Promise<ExperimentResult>;
}

/** What the command line gives. */
export interface ExperimentOptions {
  readonly name: string;
  readonly seed: string;
  readonly variants: readonly string[];
  /** Length of the experiments that have no fixed one, s. */
  readonly seconds: number;
  readonly log: (line: string) => void;
}

const MOST_TRIES = 4;
/** Beyond this the figures tell of the machine. */
const MOST_PROCESSOR_USE = 0.85;

function overload(summary: string, shape: OverloadShape): Experiment {
  return {
    summary,
    run: async ({ name, seed, variants, log }) => {
      const result: ExperimentResult = { experiment: name, seed, variants: {}, violations: [] };
      for (const variant of variants.length > 0 ? variants : Object.keys(VARIANTS)) {
        log(`Running ${name}, ${variant}.`);
        const figures = await runOverload(shape, variant, seed);
        result.variants[variant] = figures;
        if ((figures.processorUse ?? 0) > MOST_PROCESSOR_USE)
          log(`${variant}: the processor was short, not the upstreams.`);
        if (variant !== 'unprotected') result.violations.push(...violationsOf(variant, figures, MOST_TRIES));
      }
      return result;
    },
  };
}

/** Callers told the truth, without faults and with one a second. */
const truth: Experiment = {
  summary: 'random kills, freezes, cuts and outages around confirmations; callers compared with ledgers',
  run: async ({ name, seed, variants, seconds, log }) => {
    const result: ExperimentResult = { experiment: name, seed, variants: {}, violations: [] };
    for (const variant of variants.length > 0 ? variants : ['calm', 'faults']) {
      log(`Running ${name}, ${variant}.`);
      const figures = await runTruth(variant === 'faults', seed, seconds);
      result.variants[variant] = figures;
      result.violations.push(...violationsOf(variant, figures, MOST_TRIES));
      if (variant === 'calm' && figures.unknownShare > 0)
        result.violations.push('calm: callers were told "unknown".');
    }
    return result;
  },
};

/** A run of a fleet, in which each part has to answer a share of its requests. */
function fleetRun(
  summary: string,
  least: number,
  run: (seed: string, seconds: number) => Promise<FleetRun>,
): Experiment {
  return {
    summary,
    run: async ({ name, seed, seconds, log }) => {
      log(`Running ${name}.`);
      const { figures, answered } = await run(seed, seconds);
      const short = Object.entries(answered).filter(([, share]) => share < least);
      const violations = short.map(([part, share]) => `${part} answered ${share.toFixed(4)}.`);
      violations.push(...violationsOf('full', figures, MOST_TRIES));
      return {
        experiment: name,
        seed,
        variants: { full: { ...figures, answeredShare: answered } },
        violations,
      };
    },
  };
}

/** All of them. */
export const experiments: Readonly<Record<string, Experiment>> = {
  steady: overload('85% load, nothing goes wrong', { depth: 3, demand: 0.85, slowFactor: 1, normal: 0.85 }),
  surge: overload('three times the capacity is asked for', { depth: 3, demand: 3, slowFactor: 1 }),
  'deep-slowdown': overload('the deepest of four services slows down threefold', {
    depth: 4,
    demand: 0.7,
    slowFactor: 3,
  }),
  'slowdown-and-surge': overload('the deepest of four slows down twofold while demand doubles', {
    depth: 4,
    demand: 1.5,
    slowFactor: 2,
  }),
  'slowdown-and-surge-7': overload('the same, seven deep', { depth: 7, demand: 1.5, slowFactor: 2 }),
  truth,
  partition: fleetRun(
    'one of three failure domains is cut off, and all from the platform',
    0.95,
    runPartition,
  ),
  'rolling-replace': fleetRun('every VM is replaced in turn under load', 1, runRollingReplace),
  'upstream-kill': overload('one of three upstreams of the deepest service is killed', {
    depth: 3,
    demand: 0.7,
    slowFactor: 1,
    disturb: async (_fleet, [first]) => Promise.resolve(first?.upstream.signal('SIGKILL')),
  }),
  'gray-upstream': overload('one of three upstreams of the deepest service answers ten times slower', {
    depth: 3,
    demand: 0.5,
    slowFactor: 1,
    normal: 0.5,
    disturb: async (fleet, [first]) => {
      if (first) await fleet.behave(first, { slowFactor: 10 });
    },
  }),
  'platform-outage-under-surge': overload('a surge while the platform gives no answers', {
    depth: 3,
    demand: 3,
    slowFactor: 1,
    disturb: fleet => fleet.disturbPlatform({ down: true }),
    calm: fleet => fleet.disturbPlatform({ down: false }),
  }),
};
