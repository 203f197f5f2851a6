/** What the daemons add to a call, by pairs in one run. */
import { type Clock } from '@cleatquay/clock';
import { type Route } from '@cleatquay/settings';
import { type RecordableHistogram, createHistogram } from 'node:perf_hooks';
import { Pool } from 'undici';
import { type Fleet, type FleetNode } from './fleet.js';

const PAIRS = 400;
/** Pairs that are not counted: the daemons' code is compiled while they run. */
const WARM_UP_PAIRS = 600;
const PAIR_INTERVAL_MS = 2;

/** Percentiles of added time, ms. */
export interface AddedLatency {
  readonly p50: number;
  readonly p99: number;
}

/** Sends pairs for a leaf route: to an upstream itself, then by a daemon beside which it does not stand. */
export async function measureAddedLatency(fleet: Fleet, route: Route, clock: Clock): Promise<AddedLatency> {
  const upstream = fleet.nodes.find(node => node.service === route.service);
  const ingress = fleet.nodes.find(node => node.service !== route.service);
  if (!upstream || !ingress) throw new Error(`No upstream of ${route.service}, or no other.`);
  const nodes = fleet.nodes.filter(node => node.service === route.service);
  await Promise.all(nodes.map(node => fleet.behave(node, { serviceMs: 0 })));
  const direct = new Pool(`http://${upstream.upstreamAddress}`);
  const proxied = new Pool(`http://${ingress.addresses.caller}`);
  const path = route.path.replaceAll(/:\w+/g, '7');
  const directLatency = createHistogram();
  const proxiedLatency = createHistogram();
  for (let i = 0; i < WARM_UP_PAIRS + PAIRS; i++) {
    const histograms = i < WARM_UP_PAIRS ? undefined : { directLatency, proxiedLatency };
    await timeRequest(clock, direct, path, histograms?.directLatency);
    await timeRequest(clock, proxied, `/${route.service}${path}`, histograms?.proxiedLatency);
    await clock.sleep(PAIR_INTERVAL_MS);
  }
  await Promise.all([direct.destroy(), proxied.destroy()]);
  await restoreServiceTime(fleet, nodes);
  const added = (p: number) => (proxiedLatency.percentile(p) - directLatency.percentile(p)) / 1000;
  return { p50: added(50), p99: added(99) };
}

async function timeRequest(
  clock: Clock,
  pool: Pool,
  path: string,
  histogram: RecordableHistogram | undefined,
): Promise<void> {
  const start = clock.now();
  const response = await pool.request({ method: 'GET', path });
  await response.body.dump();
  histogram?.record(Math.max(1, Math.round((clock.now() - start) * 1000)));
}

async function restoreServiceTime(fleet: Fleet, nodes: FleetNode[]): Promise<void> {
  await Promise.all(nodes.map(node => fleet.behave(node, { serviceMs: RESTORED_SERVICE_MS })));
}

const RESTORED_SERVICE_MS = 4;
