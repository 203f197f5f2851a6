import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';
import { type LoadRequest, SteadyLoad, successRatio } from './fixtures/steadyLoad.js';

/** No request that is sent later than this after the notice may reach an upstream that is shutting down, ms. */
const DRAIN_TIMEOUT_MS = 2000;
const REQUESTS_PER_SECOND = 240;
const WORK_MS = 30;
const LONG_WORK_MS = 400;
const SETTLE_MS = 1500;
const SUSPENDED_MS = 1500;
const LEAVING_INDEXES = [0, 3];
const MIN_SERVED_RATIO = 0.99;

const VMS: ProcessVm[] = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));

describe('an upstream that reports in its responses that it is shutting down, with daemons as processes', () => {
  let fleet: ProcessFleet;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    fleet = await ProcessFleet.start(VMS, [routeTo('history')]);
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = WORK_MS;
    await fleet.waitForLowLag();
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const node = (index: number): ProcessNode => fleet.nodes[index]!;
  const startLoad = () =>
    new SteadyLoad(fleet, { perSecond: REQUESTS_PER_SECOND, hosts: ['history.example'] });
  /** Lets the upstreams report that they are shutting down. Returns the time. */
  const announceShutdown = () => {
    for (const index of LEAVING_INDEXES) node(index).upstream.behaviour.saysLeaving = true;
    return performance.now();
  };
  const requestsAt = (index: number, from: number) =>
    node(index).upstream.receivedRequests.filter(({ at }) => at >= from);

  /**
   * Requests that reached an upstream that is shutting down, though their ingress daemon had sent them too long after it
   * forwarded a response with that notice.
   */
  const lateRequests = (load: SteadyLoad, index: number, from: number): LoadRequest[] => {
    const sent = new Map(load.requests.map(request => [request.id, request]));
    const noticeTimes = new Map<number, number>();
    return requestsAt(index, from).flatMap(({ requestId, at }) => {
      const request = sent.get(requestId)!;
      const noticeAt = noticeTimes.get(request.node) ?? at + node(index).upstream.behaviour.workMs;
      noticeTimes.set(request.node, noticeAt);
      return request.at > noticeAt + DRAIN_TIMEOUT_MS ? [request] : [];
    });
  };

  it('gets no more requests though its heartbeats report ready, and no request is refused', async () => {
    await using load = startLoad();
    await sleep(SETTLE_MS);
    const from = announceShutdown();
    await sleep(DRAIN_TIMEOUT_MS);
    const drainedAt = performance.now();
    await sleep(DRAIN_TIMEOUT_MS);
    for (const index of LEAVING_INDEXES) expect(requestsAt(index, drainedAt).length).to.equal(0);
    expect(successRatio(load.sentBetween(from, drainedAt))).to.be.above(MIN_SERVED_RATIO);
  });

  it('gets no more requests from daemons that received its notice after its own daemon restarted without the platform', async () => {
    await fleet[Symbol.asyncDispose]();
    // All daemons send to all upstreams and have many requests in flight, so that all receive the notice.
    fleet = await ProcessFleet.start(
      VMS.map(vm => ({ ...vm, failureDomain: 'z1' })),
      [routeTo('history')],
    );
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = LONG_WORK_MS;
    await fleet.waitForLowLag();
    await using load = startLoad();
    await sleep(SETTLE_MS);
    for (const index of LEAVING_INDEXES) node(index).proxy.reset();
    const from = announceShutdown();
    await sleep(DRAIN_TIMEOUT_MS);
    await Promise.all(LEAVING_INDEXES.map(index => node(index).restart()));
    await sleep(2 * DRAIN_TIMEOUT_MS);
    for (const index of LEAVING_INDEXES) {
      const late = lateRequests(load, index, from).filter(request => request.node !== index);
      expect(late.map(({ id }) => id)).to.deep.equal([]);
    }
  });

  it('gets no more requests after its daemon was suspended', async () => {
    await using load = startLoad();
    await sleep(SETTLE_MS);
    const from = announceShutdown();
    await sleep(SETTLE_MS / 5);
    for (const index of LEAVING_INDEXES) node(index).signal('SIGSTOP');
    await sleep(SUSPENDED_MS);
    for (const index of LEAVING_INDEXES) node(index).signal('SIGCONT');
    await sleep(2 * DRAIN_TIMEOUT_MS);
    for (const index of LEAVING_INDEXES) expect(lateRequests(load, index, from)).to.deep.equal([]);
  });

  it('gets requests again after it is restarted at the same address', async () => {
    await using load = startLoad();
    await sleep(SETTLE_MS);
    announceShutdown();
    await sleep(DRAIN_TIMEOUT_MS);
    for (const index of LEAVING_INDEXES) {
      const { upstream } = node(index);
      upstream.behaviour.saysLeaving = false;
      upstream.behaviour.restartDelayMs = 200;
      await upstream.crash();
    }
    const restartedAt = performance.now();
    await sleep(DRAIN_TIMEOUT_MS);
    for (const index of LEAVING_INDEXES) expect(requestsAt(index, restartedAt).length).to.be.above(20);
    expect(successRatio(load.sentBetween(restartedAt, performance.now() - SETTLE_MS))).to.be.above(
      MIN_SERVED_RATIO,
    );
  });
});
