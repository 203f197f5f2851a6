/** What the daemons add to a call, by pairs in one run. */
import { type Clock } from '@cleatquay/clock';
import { type Route } from '@cleatquay/settings';
import { type RecordableHistogram, createHistogram } from 'node:perf_hooks';
import { Pool } from 'undici';
import { type Fleet, type FleetNode } from './fleet.js';

const PAIRS = 400;
/** Pairs that are not counted: the daemons' code is compiled while they run. */
const WARM_UP = 600;
const PAUSE_MS = 2;

/** Percentiles of added time, ms. */
export interface Added {
  readonly p50: number;
  readonly p99: number;
}

/** Sends pairs for a leaf route: to an upstream itself, then by a daemon beside which it does not stand. */
export async function measureAdded(fleet: Fleet, route: Route, clock: Clock): Promise<Added> {
  const upstream = fleet.nodes.find(node => node.service === route.service);
  const entry = fleet.nodes.find(node => node.service !== route.service);
  if (!upstream || !entry) throw new Error(`No upstream of ${route.service}, or no other.`);
  const nodes = fleet.nodes.filter(node => node.service === route.service);
  await Promise.all(nodes.map(node => fleet.behave(node, { serviceMs: 0 })));
  const direct = new Pool(`http://${upstream.upstreamAddress}`);
  const through = new Pool(`http://${entry.addresses.caller}`);
  const path = route.path.replaceAll(/:\w+/g, '7');
  const straight = createHistogram();
  const carried = createHistogram();
  for (let i = 0; i < WARM_UP + PAIRS; i++) {
    const histograms = i < WARM_UP ? undefined : { straight, carried };
    await timed(clock, direct, path, histograms?.straight);
    await timed(clock, through, `/${route.service}${path}`, histograms?.carried);
    await clock.sleep(PAUSE_MS);
  }
  await Promise.all([direct.destroy(), through.destroy()]);
  await restore(fleet, nodes);
  const added = (p: number) => (carried.percentile(p) - straight.percentile(p)) / 1000;
  return { p50: added(50), p99: added(99) };
}

async function timed(
  clock: Clock,
  pool: Pool,
  path: string,
  histogram: RecordableHistogram | undefined,
): Promise<void> {
  const start = clock.now();
  const answer = await pool.request({ method: 'GET', path });
  await answer.body.dump();
  histogram?.record(Math.max(1, Math.round((clock.now() - start) * 1000)));
}

async function restore(fleet: Fleet, nodes: FleetNode[]): Promise<void> {
  await Promise.all(nodes.map(node => fleet.behave(node, { serviceMs: RESTORED_MS })));
}

const RESTORED_MS = 4;
