import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';
import { SteadyLoad, successRatio } from './fixtures/steadyLoad.js';
import { maxCountInWindow } from './fixtures/maxCountInWindow.js';

/** Time from the first response that reports a limit until it must be observed, ms. */
const EFFECTIVE_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const TOLERATED_RATIO = 1.5;
const TOLERATED_REQUESTS = 5;
const MEASURED_MS = 7000;
const REQUESTS_PER_SECOND = 240;
const WORK_MS = 30;
/** So long that many requests arrive before the first response. */
const LONG_WORK_MS = 800;
const LOW_REQUESTS_PER_SECOND = 120;
const SUSPENDED_MS = 2500;
/** Minimum ratio of served requests to the sum of the limits when all upstreams report one. */
const MIN_USED_RATIO = 0.85;
/** Minimum ratio of served requests when other upstreams have capacity. */
const MIN_SERVED_RATIO = 0.99;
const SETTLE_MS = 1500;

const VMS: ProcessVm[] = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));
const ONE_DOMAIN_VMS: ProcessVm[] = VMS.map(vm => ({ ...vm, failureDomain: 'z1' }));
const URGENT = 'urgent.example';
const OTHER = 'history.example';
const ROUTES = [
  routeTo('history', { name: 'urgent', host: URGENT, priority: 0, kind: 'non_idempotent' }),
  routeTo('history', { name: 'other', host: OTHER, priority: 1 }),
];
const HOSTS = [OTHER, URGENT, OTHER];

describe('an upstream that reports a rate limit, with daemons as processes', () => {
  let fleet: ProcessFleet;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    fleet = await ProcessFleet.start(VMS, ROUTES);
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = WORK_MS;
    await fleet.waitForLowLag();
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  /** Replaces the fleet by one in which all daemons send to all upstreams. */
  const startInOneDomain = async () => {
    await fleet[Symbol.asyncDispose]();
    fleet = await ProcessFleet.start(ONE_DOMAIN_VMS, ROUTES);
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = LONG_WORK_MS;
    await fleet.waitForLowLag();
  };
  const node = (index: number): ProcessNode => fleet.nodes[index]!;
  const setRateLimit = (index: number, rate: number | string | string[] | undefined) => {
    node(index).upstream.behaviour.rateLimit = typeof rate === 'number' ? String(rate) : rate;
  };
  const startLoad = (perSecond = REQUESTS_PER_SECOND) => new SteadyLoad(fleet, { perSecond, hosts: HOSTS });
  const receivedSince = (index: number, from: number) =>
    node(index)
      .upstream.receivedRequests.map(({ at }) => at)
      .filter(at => at >= from);
  const maxInWindow = (index: number, from: number) =>
    maxCountInWindow(receivedSince(index, from), WINDOW_MS);
  const expectWithinLimit = (index: number, rate: number, from: number) =>
    expect(
      maxInWindow(index, from),
      `requests received in a window at upstream ${String(index)}`,
    ).to.be.at.most(maxAllowedInWindow(rate));

  it('gets no more requests than that, while others with capacity serve all callers', async () => {
    await using load = startLoad();
    await sleep(SETTLE_MS);
    setRateLimit(0, 18.9);
    setRateLimit(3, 11.3);
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    await sleep(MEASURED_MS);
    expectWithinLimit(0, 18.9, from);
    expectWithinLimit(3, 11.3, from);
    expect(receivedSince(0, from).length).to.be.above((18.9 * MEASURED_MS) / 2000);
    expect(successRatio(load.sentBetween(from, performance.now() - SETTLE_MS))).to.be.above(MIN_SERVED_RATIO);
  });

  it('gets no more requests than that while the daemons are killed and restarted one after the other', async () => {
    await using load = startLoad();
    setRateLimit(0, 18.9);
    setRateLimit(3, 11.3);
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    for (const restarted of fleet.nodes) {
      await restarted.restart();
      await sleep(500);
    }
    expectWithinLimit(0, 18.9, from);
    expectWithinLimit(3, 11.3, from);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets no more requests than that from daemons that received its notice, while its own is killed and restarted repeatedly', async () => {
    await startInOneDomain();
    await using load = startLoad(LOW_REQUESTS_PER_SECOND);
    await sleep(SETTLE_MS);
    setRateLimit(0, 1);
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    for (let i = 0; i < 3; i++) {
      await node(0).restart();
      await sleep(2 * LONG_WORK_MS);
    }
    const own = new Set(load.requests.filter(request => request.node === 0).map(({ id }) => id));
    const others = node(0).upstream.receivedRequests.filter(
      ({ requestId, at }) => at >= from && !own.has(requestId),
    );
    const times = others.map(({ at }) => at);
    expect(maxCountInWindow(times, WINDOW_MS)).to.be.at.most(maxAllowedInWindow(1));
  });

  it('gets no burst after its daemon was suspended', async () => {
    await using load = startLoad();
    setRateLimit(0, 18.9);
    setRateLimit(3, 11.3);
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    for (const index of [0, 3]) node(index).signal('SIGSTOP');
    await sleep(SUSPENDED_MS);
    for (const index of [0, 3]) node(index).signal('SIGCONT');
    await sleep(WINDOW_MS);
    expectWithinLimit(0, 18.9, from);
    expectWithinLimit(3, 11.3, from);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets as many requests as it reports when the limit is lowered, removed and set again', async () => {
    await using load = startLoad();
    setRateLimit(0, 30);
    await sleep(EFFECTIVE_AFTER_MS);
    setRateLimit(0, 10);
    await sleep(EFFECTIVE_AFTER_MS);
    const loweredAt = performance.now();
    await sleep(WINDOW_MS);
    expectWithinLimit(0, 10, loweredAt);
    setRateLimit(0, undefined);
    await sleep(EFFECTIVE_AFTER_MS);
    const removedAt = performance.now();
    await sleep(1000);
    expect(receivedSince(0, removedAt).length, 'requests received in a second without a limit').to.be.above(
      20,
    );
    setRateLimit(0, 10);
    await sleep(EFFECTIVE_AFTER_MS);
    const setAgainAt = performance.now();
    await sleep(WINDOW_MS);
    expectWithinLimit(0, 10, setAgainAt);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets no requests while the limit is 0, and gets some again soon after', async () => {
    await using load = startLoad();
    setRateLimit(0, 0);
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    await sleep(WINDOW_MS);
    expectWithinLimit(0, 0, from);
    setRateLimit(0, undefined);
    await sleep(EFFECTIVE_AFTER_MS);
    const removedAt = performance.now();
    await sleep(1000);
    expect(receivedSince(0, removedAt).length, 'requests received in a second without a limit').to.be.above(
      20,
    );
    expect(successRatio(load.sentBetween(from, removedAt))).to.be.above(MIN_SERVED_RATIO);
  });

  it('keeps its limit while it reports invalid ones, and gets the lowest of several', async () => {
    await using load = startLoad();
    setRateLimit(0, ['40', '12']);
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    for (const invalid of ['-3', 'many', '', '1e308', 'NaN']) {
      setRateLimit(0, invalid);
      await sleep(WINDOW_MS / 4);
    }
    expectWithinLimit(0, 12, from);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets most of its limit used when all others report one, too; requests of high priority are served first', async () => {
    const rates = [18.9, 11.3, 25, 16, 20, 15];
    const totalRate = rates.reduce((sum, rate) => sum + rate, 0);
    await using load = startLoad();
    rates.forEach((rate, index) => setRateLimit(index, rate));
    await sleep(EFFECTIVE_AFTER_MS);
    const from = performance.now();
    await sleep(MEASURED_MS);
    const to = performance.now();
    rates.forEach((rate, index) => expectWithinLimit(index, rate, from));
    const sent = load.sentBetween(from, to);
    await sleep(SETTLE_MS);
    const servedPerSecond = sent.filter(({ status }) => status === 200).length / ((to - from) / 1000);
    expect(servedPerSecond / totalRate).to.be.above(MIN_USED_RATIO);
    const urgent = sent.filter(({ host }) => host === URGENT);
    const others = sent.filter(({ host }) => host === OTHER);
    expect(successRatio(urgent)).to.be.above(successRatio(others));
    const statuses = [...urgent, ...others].map(({ status }) => status);
    expect(statuses.filter(status => status !== 200 && status !== 503)).to.deep.equal([]);
  });
});

function maxAllowedInWindow(rate: number): number {
  return (TOLERATED_RATIO * rate * WINDOW_MS) / 1000 + TOLERATED_REQUESTS;
}
