/** Latency that the daemons add to a call, measured by pairs of direct and proxied requests. */
import { type Clock } from '@cleatquay/clock';
import { type Route } from '@cleatquay/settings';
import { type RecordableHistogram, createHistogram } from 'node:perf_hooks';
import { Pool } from 'undici';
import { type Fleet, type FleetNode } from './fleet.js';

const PAIRS = 400;
/** Pairs that are not counted, while the daemons' code is still being compiled by the JIT. */
const WARM_UP_PAIRS = 600;
const PAIR_INTERVAL_MS = 2;

/** Difference between the percentiles of proxied and direct latency, ms. */
export interface AddedLatency {
  readonly p50: number;
  readonly p99: number;
}

/**
 * Sends pairs of requests for a leaf route: one directly to an upstream, then one through a daemon that has no local
 * upstream of that service.
 */
export async function measureAddedLatency(fleet: Fleet, route: Route, clock: Clock): Promise<AddedLatency> {
  const upstream = fleet.nodes.find(node => node.service === route.service);
  const ingress = fleet.nodes.find(node => node.service !== route.service);
  if (!upstream || !ingress)
    throw new Error(`The fleet needs an upstream of ${route.service} and one of another service.`);
  const nodes = fleet.nodes.filter(node => node.service === route.service);
  await Promise.all(nodes.map(node => fleet.setBehaviour(node, { serviceMs: 0 })));
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
  await Promise.all(nodes.map(node => fleet.setBehaviour(node, { serviceMs: RESTORED_SERVICE_MS })));
}

const RESTORED_SERVICE_MS = 4;
