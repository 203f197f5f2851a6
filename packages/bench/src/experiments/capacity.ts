/** Measures the cost figures of docs/CAPACITY.md: control-plane cost of a daemon by fleet size, change and member. */
import { SystemClock } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { MemberTable } from '@cleatquay/membership';
import { HttpStore } from '@cleatquay/store';
import { createServer } from 'node:net';
import { type AddressInfo } from 'node:net';
import { request } from 'undici';
import { deployments, operatorFileOf } from '../deployments.js';
import { DaemonGroup } from '../daemonGroup.js';
import { table } from '../table.js';
import { SimulatedNetwork, simulatedAddresses } from '../simulatedNetwork.js';

const SETTLE_MS = 5000;
const FLEET_SETTLE_MS = 20_000;
const GOSSIP_SETTLE_MS = 60_000;
const WARM_UP_BURSTS = 3;
const IDLE_MEASUREMENT_MS = 15_000;
const CHANGES = 6;
const CHANGE_INTERVAL_MS = 3000;
const TABLE_MEMBERS = 10_000;
const SIMULATED_SECONDS = 30;
const SIMULATED_CHANGES = 20;
const ANNOUNCE_INTERVAL_MS = 1000;

/** Mean cost per daemon in a fleet of real processes without calls. */
export interface FleetCost {
  readonly daemons: number;
  /** Percent of a core: idle, and with a configuration change every three seconds. */
  readonly idleCpu: number;
  readonly changingCpu: number;
  /** Bytes a second: gossip sent and received, plus configuration received. */
  readonly idleBytes: number;
  readonly changingBytes: number;
  readonly residentMb: number;
  /** Time from acceptance of a change until 99% and all daemons have adopted it, ms; for the slowest change. */
  readonly distributionP99Ms: number;
  readonly distributionMaxMs: number;
}

/** Gossip cost per simulated member: bytes sent a second when nothing changes, and bytes sent for one change. */
export interface GossipCost {
  readonly members: number;
  readonly idleBytes: number;
  readonly bytesPerChange: number;
}

/** Starts `count` daemons, announces an upstream at each, and measures their cost. */
export async function measureFleet(count: number): Promise<FleetCost> {
  const clock = new SystemClock();
  await using group = await DaemonGroup.start(count);
  const listener = createServer(socket => socket.destroy());
  await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${String((listener.address() as AddressInfo).port)}`;
  const announcing = setInterval(() => void group.announceAll(address), ANNOUNCE_INTERVAL_MS);
  try {
    await clock.sleep(FLEET_SETTLE_MS);
    const idle = await costDuring(group, () => clock.sleep(IDLE_MEASUREMENT_MS));
    const distributionTimes: number[][] = [];
    const changing = await costDuring(group, async () => {
      for (let i = 1; i <= CHANGES; i++) distributionTimes.push(await applyChange(group, clock, i));
    });
    const worst = (share: number) =>
      Math.max(...distributionTimes.map(s => s[Math.ceil(s.length * share) - 1] ?? Number.NaN));
    return {
      daemons: count,
      idleCpu: idle.cpu,
      changingCpu: changing.cpu,
      idleBytes: idle.bytes,
      changingBytes: changing.bytes,
      residentMb: changing.residentMb,
      distributionP99Ms: worst(0.99),
      distributionMaxMs: worst(1),
    };
  } finally {
    clearInterval(announcing);
    listener.close();
  }
}

/** Applies one change, and returns the sorted times until each daemon adopted it; infinite where it was not adopted. */
async function applyChange(group: DaemonGroup, clock: SystemClock, slots: number): Promise<number[]> {
  const deployment = deployments.frostline;
  if (!deployment) throw new Error('The deployment frostline is missing.');
  const file = structuredClone(operatorFileOf(deployment));
  const alarms = file.services.alarms;
  if (alarms) alarms.slots = slots;
  await using platform = new HttpStore(group.platformUrl);
  const { applied } = await new ConfigurationStore(platform, clock).apply(file);
  const acceptedAt = Date.now();
  await clock.sleep(CHANGE_INTERVAL_MS);
  const adoptions = await group.adoptionTimes(applied.generation);
  return adoptions
    .map(at => (at === undefined ? Number.POSITIVE_INFINITY : at - acceptedAt))
    .sort((a, b) => a - b);
}

async function costDuring(group: DaemonGroup, action: () => Promise<void>) {
  const start = performance.now();
  const before = await group.resourceUsage();
  await action();
  const after = await group.resourceUsage();
  const seconds = (performance.now() - start) / 1000;
  const mean = (of: (i: number) => number) => before.reduce((sum, _, i) => sum + of(i), 0) / before.length;
  const rate = (name: 'cpuSeconds' | 'bytes') =>
    mean(i => (after[i]?.[name] ?? 0) - (before[i]?.[name] ?? 0)) / seconds;
  return {
    cpu: rate('cpuSeconds') * 100,
    bytes: rate('bytes'),
    residentMb: mean(i => after[i]?.residentMb ?? 0),
  };
}

/** Measures gossip among members in this process, in simulated time. */
export async function measureGossip(members: number): Promise<GossipCost> {
  await using network = new SimulatedNetwork('capacity');
  const addresses = simulatedAddresses(members);
  for (const address of addresses) network.start(address, addresses.slice(0, 3));
  await network.advance(GOSSIP_SETTLE_MS);
  const sent = () => addresses.reduce((sum, address) => sum + network.get(address).traffic.sentBytes, 0);
  const beforeIdle = sent();
  await network.advance(SIMULATED_SECONDS * 1000);
  const idle = sent() - beforeIdle;
  const beforeChanges = sent();
  for (let i = 0; i < SIMULATED_CHANGES; i++) {
    const address = addresses[(i * 7) % members] ?? '';
    network
      .get(address)
      .setUpstreams([{ service: 's', address, slots: i + 1, connections: 9, draining: false }]);
    await network.advance((SIMULATED_SECONDS * 1000) / SIMULATED_CHANGES);
  }
  const changing = sent() - beforeChanges;
  return {
    members,
    idleBytes: idle / members / SIMULATED_SECONDS,
    bytesPerChange: (changing - idle) / members / SIMULATED_CHANGES,
  };
}

/** Heap bytes per member in the member table. */
export function measureMemberBytes(): number {
  const heap = () => {
    globalThis.gc?.();
    return process.memoryUsage().heapUsed;
  };
  const before = heap();
  const memberTable = new MemberTable();
  for (const address of simulatedAddresses(TABLE_MEMBERS))
    memberTable.put(Object.freeze(createMember(address)));
  const bytes = (heap() - before) / memberTable.size;
  return bytes;
}

function createMember(address: string) {
  const upstreams = [{ service: 'history', address, slots: 90, connections: 630, draining: false }];
  const location = {
    address,
    gossipAddress: `${address}1`,
    operatorAddress: `${address}2`,
    failureDomain: 'regina-a',
  };
  return {
    ...location,
    epoch: 1_764_000_000_000,
    incarnation: 3,
    state: 'ALIVE' as const,
    upstreams,
    isPlatformLost: false,
  };
}

/** Processor time per call of the two daemons that handle it, ms. */
export interface CallCost {
  readonly ingressMs: number;
  readonly upstreamDaemonMs: number;
}

const CALLS = 4000;
const CONCURRENCY = 4;

/** Sends calls through two daemons and measures the processor time that they use. */
export async function measureCall(): Promise<CallCost> {
  await using group = await DaemonGroup.start(2);
  const server = (await import('node:http')).createServer((_request, response) => response.end('{}'));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  const announcing = setInterval(() => void group.announceOne(1, address), ANNOUNCE_INTERVAL_MS);
  await new SystemClock().sleep(SETTLE_MS);
  const url = `http://${group.callerAddress(0)}/alarms/alarms/7`;
  const call = async () => {
    for (let i = 0; i < CALLS / CONCURRENCY; i++) await (await request(url)).body.dump();
  };
  const burst = () => Promise.all(Array.from({ length: CONCURRENCY }, call));
  for (let i = 0; i < WARM_UP_BURSTS; i++) await burst();
  const before = await group.resourceUsage();
  await burst();
  const after = await group.resourceUsage();
  clearInterval(announcing);
  server.closeAllConnections();
  server.close();
  const ms = (i: number) => (((after[i]?.cpuSeconds ?? 0) - (before[i]?.cpuSeconds ?? 0)) * 1000) / CALLS;
  return { ingressMs: ms(0), upstreamDaemonMs: ms(1) };
}

/** Runs all measurements and logs their figures as tables. */
export async function measureCapacity(sizes: readonly number[], log: (line: string) => void): Promise<void> {
  const calls = await measureCall();
  log(
    table(
      ['per call', 'processor ms'],
      [
        ['ingress daemon', calls.ingressMs.toFixed(3)],
        ['daemon of the upstream', calls.upstreamDaemonMs.toFixed(3)],
      ],
    ),
  );
  log(`One entry of the member table: ${measureMemberBytes().toFixed(0)} bytes of heap.`);
  const gossip: (string | number)[][] = [];
  for (const members of [30, 100, 300]) {
    const cost = await measureGossip(members);
    gossip.push([members, cost.idleBytes.toFixed(0), cost.bytesPerChange.toFixed(0)]);
  }
  log(table(['simulated members', 'sent B/s idle', 'sent B per change'], gossip));
  const fleets: (string | number)[][] = [];
  for (const size of sizes) {
    const c = await measureFleet(size);
    const numbers = [c.idleCpu, c.changingCpu].map(n => n.toFixed(2));
    const bytes = [c.idleBytes, c.changingBytes, c.residentMb, c.distributionP99Ms, c.distributionMaxMs].map(
      n => n.toFixed(0),
    );
    fleets.push([c.daemons, ...numbers, ...bytes]);
    log(`Measured ${String(size)} daemons.`);
  }
  const head = [
    'daemons',
    'idle % core',
    'changing % core',
    'idle B/s',
    'changing B/s',
    'resident MB',
    'distribution p99 ms',
    'distribution max ms',
  ];
  log(table(head, fleets));
}
