/** Runs of a whole fleet: a failure domain that is cut off, and every VM replaced in turn. */
import { type Clock, SystemClock, seededRandom } from '@cleatquay/clock';
import { type Fleet, type FleetNode } from '../fleet.js';
import { type Asked, compare, sendMix } from '../mixedLoad.js';
import { type VariantResult } from '../results.js';
import { BEHAVIOUR, startThreeDomains } from './truth.js';

const RATE_PER_DOMAIN = 25;
const CALM_MS = 3000;
const SETTLE_MS = 2000;

/** What one of these runs gives: the usual figures, and the share answered in each failure domain. */
export interface FleetRun {
  readonly figures: VariantResult;
  /** By failure domain, or `all`. */
  readonly answered: Record<string, number>;
}

/** Cuts one failure domain off from the others, and everybody from the platform, for `seconds`. */
export async function runPartition(seed: string, seconds: number): Promise<FleetRun> {
  await using fleet = await startThreeDomains(seed);
  const clock = new SystemClock();
  const domains = [...new Set(fleet.nodes.map(node => node.failureDomain))];
  const cutOff = domains[0] ?? '';
  await clock.sleep(CALM_MS);
  await cutDomain(fleet, cutOff, true);
  await fleet.disturbPlatform({ down: true });
  const end = clock.now() + seconds * 1000;
  const asked = await Promise.all(
    domains.map(domain => sendMix(mixOf(fleet, clock, seed, domain), () => clock.now() >= end)),
  );
  await cutDomain(fleet, cutOff, false);
  await fleet.disturbPlatform({ down: false });
  await fleet.settled();
  const compared = compare(asked.flat(), ledgersOf(fleet, fleet.nodes), seconds);
  const figures = { ...compared, invariantViolations: await fleet.invariantViolations() };
  const answered = Object.fromEntries(domains.map((domain, i) => [domain, answeredShare(asked[i] ?? [])]));
  return { figures, answered };
}

/** Ends and replaces one VM after the other under load, each with a drain. */
export async function runRollingReplace(seed: string): Promise<FleetRun> {
  await using fleet = await startThreeDomains(seed);
  const clock = new SystemClock();
  const everyNode = [...fleet.nodes];
  const start = clock.now();
  let over = false;
  const sending = sendMix(mixOf(fleet, clock, seed), () => over);
  for (const node of [...fleet.nodes]) everyNode.push(await replaceGently(fleet, node));
  over = true;
  const asked = await sending;
  await clock.sleep(SETTLE_MS);
  const compared = compare(asked, ledgersOf(fleet, everyNode), (clock.now() - start) / 1000);
  const figures = { ...compared, invariantViolations: await fleet.invariantViolations() };
  return { figures, answered: { all: answeredShare(asked) } };
}

/** First its successor, then the end of the daemon, then that of the upstream. */
async function replaceGently(fleet: Fleet, node: FleetNode): Promise<FleetNode> {
  const { service, failureDomain } = node;
  const fresh = await fleet.startNode({ service, failureDomain, behaviour: BEHAVIOUR });
  fleet.nodes.splice(fleet.nodes.indexOf(node), 1, fresh);
  node.daemon.signal('SIGTERM');
  await node.daemon.exited;
  await node.upstream[Symbol.asyncDispose]();
  return fresh;
}

async function cutDomain(fleet: Fleet, domain: string, isCut: boolean): Promise<void> {
  const inside = fleet.nodes.filter(node => node.failureDomain === domain);
  const outside = fleet.nodes.filter(node => node.failureDomain !== domain);
  await Promise.all(inside.map(node => fleet.cut(node, isCut ? outside : [])));
  await Promise.all(outside.map(node => fleet.cut(node, isCut ? inside : [])));
}

function mixOf(fleet: Fleet, clock: Clock, seed: string, domain?: string) {
  const urls = () =>
    fleet.nodes
      .filter(node => domain === undefined || node.failureDomain === domain)
      .map(node => `http://${node.addresses.caller}`);
  const name = domain ?? 'all';
  return { clock, random: seededRandom(`${seed}-${name}`), urls, ratePerSecond: RATE_PER_DOMAIN, name };
}

function ledgersOf(fleet: Fleet, nodes: readonly FleetNode[]) {
  return nodes.flatMap(node => fleet.ledger(node));
}

function answeredShare(asked: readonly Asked[]): number {
  return asked.filter(a => a.result.outcome === 'answered').length / Math.max(1, asked.length);
}
