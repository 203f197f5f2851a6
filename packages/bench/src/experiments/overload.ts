/** Overload experiments on a chain of services: normal load, a trigger such as a surge, and recovery. */
import { SystemClock, seededRandom } from '@cleatquay/clock';
import { cpus } from 'node:os';
import { chainCapacity, chainFile, chainNodes, serviceAt } from '../chain.js';
import { Fleet, type FleetNode } from '../fleet.js';
import { OpenLoopLoad } from '../openLoopLoad.js';
import {
  type Trigger,
  type VariantResult,
  countInversions,
  countOutcomes,
  requestRates,
  recoverySeconds,
  compareWithLedger,
} from '../results.js';
import { type TemporaryFile, writeOperatorFile } from '../temporaryFile.js';

const WARM_UP_MS = 4000;
const BEFORE_MS = 4000;
const TRIGGER_MS = 10_000;
const AFTER_MS = 10_000;
const RAMP_MS = 2000;
const NORMAL_DEMAND_RATIO = 0.7;

/** The chain of an experiment, its load, and its trigger. */
export interface OverloadScenario {
  readonly depth: number;
  /** Demand during the trigger, as a multiple of the bottleneck's normal capacity. */
  readonly demand: number;
  /** Factor by which service times of the bottleneck grow during the trigger. */
  readonly slowFactor: number;
  /** Demand before and after the trigger, as a multiple of the normal capacity; default: 0.7. */
  readonly normalDemand?: number;
  /** Injects a further fault when the trigger starts. */
  readonly injectFault?: (fleet: Fleet, bottleneck: FleetNode[]) => Promise<void>;
  /** Clears the fault when the trigger ends. */
  readonly clearFault?: (fleet: Fleet, bottleneck: FleetNode[]) => Promise<void>;
}

/** Daemon flags by variant. */
export const VARIANTS: Readonly<Record<string, readonly string[]>> = {
  unprotected: ['--protection=false'],
  full: [],
};

/** Runs one variant. */
export async function runOverload(
  scenario: OverloadScenario,
  variant: string,
  seed: string,
): Promise<VariantResult> {
  const file = chainFile(scenario.depth);
  using saved: TemporaryFile = writeOperatorFile(file);
  const daemonFlags = VARIANTS[variant] ?? [];
  await using fleet = await Fleet.start({
    path: saved.path,
    file,
    nodes: chainNodes(scenario.depth),
    seed,
    daemonFlags,
  });
  const clock = new SystemClock();
  const ingressNodes = fleet.nodes.filter(node => node.service === serviceAt(1));
  const bottleneck = fleet.nodes.filter(node => node.service === serviceAt(scenario.depth));
  const urls = ingressNodes.map(node => `http://${node.addresses.caller}`);
  await using load = new OpenLoopLoad(urls, clock, seededRandom(`${seed}-${variant}`), variant);
  const fullCapacity = chainCapacity(scenario.depth);
  const normal = fullCapacity * (scenario.normalDemand ?? NORMAL_DEMAND_RATIO);
  load.rate = normal;
  load.start();
  await clock.sleep(WARM_UP_MS + BEFORE_MS);
  await fleet.resetWork();
  const readProcessorUse = startProcessorMeter();
  const from = clock.now();
  load.rate = fullCapacity * scenario.demand;
  await setSlowFactor(fleet, bottleneck, scenario.slowFactor);
  await scenario.injectFault?.(fleet, bottleneck);
  await clock.sleep(TRIGGER_MS);
  load.rate = normal;
  await setSlowFactor(fleet, bottleneck, 1);
  await scenario.clearFault?.(fleet, bottleneck);
  const trigger: Trigger = { from, to: clock.now() };
  const processorUse = readProcessorUse();
  await clock.sleep(AFTER_MS);
  const end = clock.now();
  await load.stop();
  const capacity = fullCapacity / scenario.slowFactor;
  return { ...(await collectFigures(fleet, load, trigger, end, capacity)), processorUse };
}

/** Sets the factor on service times; ignores upstreams that were killed in the meantime. */
async function setSlowFactor(fleet: Fleet, nodes: readonly FleetNode[], slowFactor: number): Promise<void> {
  await Promise.all(nodes.map(node => fleet.setBehaviour(node, { slowFactor }).catch(() => undefined)));
}

async function collectFigures(
  fleet: Fleet,
  load: OpenLoopLoad,
  trigger: Trigger,
  end: number,
  capacity: number,
) {
  const { samples } = load;
  const measuredFrom = trigger.from + RAMP_MS;
  const goodput = requestRates(samples, measuredFrom, trigger.to, true);
  const offered = requestRates(samples, measuredFrom, trigger.to, false);
  const workCounts = await Promise.all(
    fleet.nodes.map(node => fleet.work(node).catch(() => ({ useful: 0, wasted: 0 }))),
  );
  const wasted = workCounts.reduce((sum, work) => sum + work.wasted, 0);
  const useful = workCounts.reduce((sum, work) => sum + work.useful, 0);
  const invariantViolations = await fleet.invariantViolations();
  const ingressNodes = fleet.nodes.filter(node => node.service === serviceAt(1));
  const ledgers = ingressNodes.map(node => fleet.ledger(node));
  const shares = Object.keys(offered.byClass).map(name => {
    const offeredRate = offered.byClass[name] ?? 0;
    return [name, offeredRate === 0 ? 1 : (goodput.byClass[name] ?? 0) / offeredRate] as const;
  });
  return {
    goodput,
    offered,
    answeredShare: Object.fromEntries(shares),
    capacity,
    goodputOverCapacity: goodput.total / Math.min(capacity, offered.total),
    recoverySeconds: recoverySeconds(samples, trigger, end),
    wastedWorkFraction: wasted / Math.max(1, useful + wasted),
    outcomes: countOutcomes(samples, measuredFrom, trigger.to),
    inversions: countInversions(samples, { from: measuredFrom, to: trigger.to }),
    invariantViolations,
    ...compareWithLedger(samples, ledgers.flat()),
  };
}

/** Starts a measurement; the returned function returns the mean processor utilisation since then. */
function startProcessorMeter(): () => number {
  const total = () =>
    cpus().reduce(
      ({ busy, all }, { times }) => {
        const sum = Object.values(times).reduce((a, b) => a + b, 0);
        return { busy: busy + sum - times.idle, all: all + sum };
      },
      { busy: 0, all: 0 },
    );
  const before = total();
  return () => {
    const after = total();
    return (after.busy - before.busy) / (after.all - before.all);
  };
}
