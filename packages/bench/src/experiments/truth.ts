/** Compares the outcomes that callers see under random faults with the ledgers of the upstreams. */
import { SystemClock, seededRandom } from '@cleatquay/clock';
import { deployments, operatorFileOf } from '../deployments.js';
import { FaultInjector } from '../faultInjector.js';
import { Fleet, type FleetNode } from '../fleet.js';
import { toVariantResult, sendMix } from '../mixedLoad.js';
import { type VariantResult } from '../results.js';

const RATE_PER_SECOND = 80;
const MEAN_FAULT_INTERVAL_MS = 1000;
const SETTLE_MS = 3000;
/** Simulated behaviour of every upstream. */
export const UPSTREAM_BEHAVIOUR = { slots: 40, serviceMs: 25 };
const SERVICES = ['receiving', 'history', 'alarms'];

/** Runs the experiment for `seconds`, with faults or without. */
export async function runTruth(withFaults: boolean, seed: string, seconds: number): Promise<VariantResult> {
  await using fleet = await startThreeDomains(seed);
  const clock = new SystemClock();
  const everyNode: FleetNode[] = [...fleet.nodes];
  const injector = new FaultInjector(
    fleet,
    clock,
    seededRandom(`${seed}-faults`),
    UPSTREAM_BEHAVIOUR,
    (_old, replacement) => everyNode.push(replacement),
  );
  const faults = withFaults ? injector.run(seconds * 1000, MEAN_FAULT_INTERVAL_MS) : undefined;
  const end = clock.now() + seconds * 1000;
  const options = {
    clock,
    random: seededRandom(`${seed}-load`),
    urls: () => fleet.callerUrls,
    ratePerSecond: RATE_PER_SECOND,
  };
  const requests = await sendMix({ ...options, name: 't' }, () => clock.now() >= end);
  await faults;
  await clock.sleep(SETTLE_MS);
  const ledger = everyNode.flatMap(node => fleet.ledger(node));
  return {
    ...toVariantResult(requests, ledger, seconds),
    faults: injector.counts,
    invariantViolations: await fleet.invariantViolations(),
  };
}

/** Starts a fleet of three services, each with one upstream in each of three failure domains. */
export async function startThreeDomains(seed: string): Promise<Fleet> {
  const deployment = deployments.frostline;
  if (!deployment) throw new Error('The deployment frostline is missing.');
  const file = operatorFileOf(deployment);
  const nodes = SERVICES.flatMap(service =>
    deployment.failureDomains.map(failureDomain => ({
      service,
      failureDomain,
      behaviour: UPSTREAM_BEHAVIOUR,
    })),
  );
  return Fleet.start({
    path: deployment.path,
    file,
    nodes,
    seed,
    daemonFlags: ['--faultHooks', '--drainMs=10000'],
  });
}
