/** Experiments on a whole fleet: a partitioned failure domain, and a rolling replacement of all VMs. */
import { type Clock, SystemClock, seededRandom } from '@cleatquay/clock';
import { type Fleet, type FleetNode } from '../fleet.js';
import { type SentRequest, toVariantResult, sendMix } from '../mixedLoad.js';
import { type VariantResult } from '../results.js';
import { UPSTREAM_BEHAVIOUR, startThreeDomains } from './truth.js';

const RATE_PER_DOMAIN = 25;
const STABILISE_MS = 3000;
const SETTLE_MS = 2000;

/** Figures of a run, and the ratio of answered requests. */
export interface FleetRunResult {
  readonly figures: VariantResult;
  /** Ratio of answered requests by failure domain, or of all requests under the key `all`. */
  readonly answered: Record<string, number>;
}

/** Partitions one failure domain from the others and takes the platform down, for `seconds`. */
export async function runPartition(seed: string, seconds: number): Promise<FleetRunResult> {
  await using fleet = await startThreeDomains(seed);
  const clock = new SystemClock();
  const domains = [...new Set(fleet.nodes.map(node => node.failureDomain))];
  const partitionedDomain = domains[0] ?? '';
  await clock.sleep(STABILISE_MS);
  await setDomainPartition(fleet, partitionedDomain, true);
  await fleet.setPlatformFaults({ down: true });
  const end = clock.now() + seconds * 1000;
  const requests = await Promise.all(
    domains.map(domain => sendMix(mixOptions(fleet, clock, seed, domain), () => clock.now() >= end)),
  );
  await setDomainPartition(fleet, partitionedDomain, false);
  await fleet.setPlatformFaults({ down: false });
  await fleet.waitUntilConverged();
  const compared = toVariantResult(requests.flat(), readLedgers(fleet, fleet.nodes), seconds);
  const figures = { ...compared, invariantViolations: await fleet.invariantViolations() };
  const answered = Object.fromEntries(domains.map((domain, i) => [domain, answeredShare(requests[i] ?? [])]));
  return { figures, answered };
}

/** Replaces all VMs one by one under load, each with a drain. */
export async function runRollingReplace(seed: string): Promise<FleetRunResult> {
  await using fleet = await startThreeDomains(seed);
  const clock = new SystemClock();
  const everyNode = [...fleet.nodes];
  const start = clock.now();
  let isOver = false;
  const sending = sendMix(mixOptions(fleet, clock, seed), () => isOver);
  for (const node of [...fleet.nodes]) everyNode.push(await replaceWithDrain(fleet, node));
  isOver = true;
  const requests = await sending;
  await clock.sleep(SETTLE_MS);
  const compared = toVariantResult(requests, readLedgers(fleet, everyNode), (clock.now() - start) / 1000);
  const figures = { ...compared, invariantViolations: await fleet.invariantViolations() };
  return { figures, answered: { all: answeredShare(requests) } };
}

/** Starts the replacement first, then stops the old daemon with a drain, then kills its upstream. */
async function replaceWithDrain(fleet: Fleet, node: FleetNode): Promise<FleetNode> {
  const { service, failureDomain } = node;
  const replacement = await fleet.startNode({ service, failureDomain, behaviour: UPSTREAM_BEHAVIOUR });
  fleet.nodes.splice(fleet.nodes.indexOf(node), 1, replacement);
  node.daemon.signal('SIGTERM');
  await node.daemon.exited;
  await node.upstream[Symbol.asyncDispose]();
  return replacement;
}

async function setDomainPartition(fleet: Fleet, domain: string, isPartitioned: boolean): Promise<void> {
  const inside = fleet.nodes.filter(node => node.failureDomain === domain);
  const outside = fleet.nodes.filter(node => node.failureDomain !== domain);
  await Promise.all(inside.map(node => fleet.setPartition(node, isPartitioned ? outside : [])));
  await Promise.all(outside.map(node => fleet.setPartition(node, isPartitioned ? inside : [])));
}

function mixOptions(fleet: Fleet, clock: Clock, seed: string, domain?: string) {
  const urls = () =>
    fleet.nodes
      .filter(node => domain === undefined || node.failureDomain === domain)
      .map(node => `http://${node.addresses.caller}`);
  const name = domain ?? 'all';
  return { clock, random: seededRandom(`${seed}-${name}`), urls, ratePerSecond: RATE_PER_DOMAIN, name };
}

function readLedgers(fleet: Fleet, nodes: readonly FleetNode[]) {
  return nodes.flatMap(node => fleet.ledger(node));
}

function answeredShare(requests: readonly SentRequest[]): number {
  return requests.filter(sent => sent.result.outcome === 'answered').length / Math.max(1, requests.length);
}
