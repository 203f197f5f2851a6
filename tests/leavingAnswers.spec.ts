import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';
import { type LoadedRequest, SteadyLoad, servedShare } from './fixtures/steadyLoad.js';

/** Time after which nothing that is sent may reach an upstream that leaves, ms. */
const DRAIN_MS = 2000;
const PER_SECOND = 240;
const WORK_MS = 30;
const LONG_WORK_MS = 400;
const CALM_MS = 1500;
const SUSPENDED_MS = 1500;
const LEAVING = [0, 3];
const SERVED = 0.99;

const VMS: ProcessVm[] = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));

describe('an upstream that says in its answers that it leaves, on daemons as processes', () => {
  let fleet: ProcessFleet;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    fleet = await ProcessFleet.start(VMS, [routeTo('history')]);
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = WORK_MS;
    await fleet.calm();
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const node = (index: number): ProcessNode => fleet.nodes[index]!;
  const startLoad = () => new SteadyLoad(fleet, { perSecond: PER_SECOND, hosts: ['history.example'] });
  /** Gives the time from which on they leave. */
  const leave = () => {
    for (const index of LEAVING) node(index).upstream.behaviour.saysLeaving = true;
    return performance.now();
  };
  const arrivalsAt = (index: number, from: number) =>
    node(index).upstream.arrivals.filter(({ at }) => at >= from);

  /** Requests that reached one that leaves, sent too long after the daemon where they came had passed on that it does. */
  const lateArrivals = (load: SteadyLoad, index: number, from: number): LoadedRequest[] => {
    const sent = new Map(load.requests.map(request => [request.id, request]));
    const toldAt = new Map<number, number>();
    return arrivalsAt(index, from).flatMap(({ requestId, at }) => {
      const request = sent.get(requestId)!;
      const told = toldAt.get(request.node) ?? at + node(index).upstream.behaviour.workMs;
      toldAt.set(request.node, told);
      return request.at > told + DRAIN_MS ? [request] : [];
    });
  };

  it('gets nothing more, though its heartbeats say ready, and nobody is refused', async () => {
    await using load = startLoad();
    await sleep(CALM_MS);
    const from = leave();
    await sleep(DRAIN_MS);
    const out = performance.now();
    await sleep(DRAIN_MS);
    for (const index of LEAVING) expect(arrivalsAt(index, out).length).to.equal(0);
    expect(servedShare(load.sentBetween(from, out))).to.be.above(SERVED);
  });

  it('gets nothing more from those that it told, after its daemon was started again and can read nothing', async () => {
    await fleet[Symbol.asyncDispose]();
    // All ask all, and have much under way: all are told.
    fleet = await ProcessFleet.start(
      VMS.map(vm => ({ ...vm, failureDomain: 'z1' })),
      [routeTo('history')],
    );
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = LONG_WORK_MS;
    await fleet.calm();
    await using load = startLoad();
    await sleep(CALM_MS);
    for (const index of LEAVING) node(index).proxy.reset();
    const from = leave();
    await sleep(DRAIN_MS);
    await Promise.all(LEAVING.map(index => node(index).restart()));
    await sleep(2 * DRAIN_MS);
    for (const index of LEAVING) {
      const late = lateArrivals(load, index, from).filter(request => request.node !== index);
      expect(late.map(({ id }) => id)).to.deep.equal([]);
    }
  });

  it('gets nothing more after its daemon was suspended', async () => {
    await using load = startLoad();
    await sleep(CALM_MS);
    const from = leave();
    await sleep(CALM_MS / 5);
    for (const index of LEAVING) node(index).signal('SIGSTOP');
    await sleep(SUSPENDED_MS);
    for (const index of LEAVING) node(index).signal('SIGCONT');
    await sleep(2 * DRAIN_MS);
    for (const index of LEAVING) expect(lateArrivals(load, index, from)).to.deep.equal([]);
  });

  it('leaves its address to the next start there, which is asked', async () => {
    await using load = startLoad();
    await sleep(CALM_MS);
    leave();
    await sleep(DRAIN_MS);
    for (const index of LEAVING) {
      const { upstream } = node(index);
      upstream.behaviour.saysLeaving = false;
      upstream.behaviour.awayMs = 200;
      await upstream.end();
    }
    const back = performance.now();
    await sleep(DRAIN_MS);
    for (const index of LEAVING) expect(arrivalsAt(index, back).length).to.be.above(20);
    expect(servedShare(load.sentBetween(back, performance.now() - CALM_MS))).to.be.above(SERVED);
  });
});
