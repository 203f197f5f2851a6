import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';
import { SteadyLoad, servedShare } from './fixtures/steadyLoad.js';
import { mostWithin } from './fixtures/windows.js';

/** Time from the first answer that names a rate until it has to hold, ms. */
const HOLDS_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const BORNE_FACTOR = 1.5;
const BORNE_REQUESTS = 5;
const MEASURED_MS = 7000;
const PER_SECOND = 240;
const WORK_MS = 30;
/** So long that many requests come until one is answered. */
const LONG_WORK_MS = 800;
const FEW_PER_SECOND = 120;
const SUSPENDED_MS = 2500;
/** Of what the upstreams take together, so much is served when all of them name a rate. */
const USED_SHARE = 0.85;
/** With room elsewhere a limit costs callers next to nothing. */
const SERVED_BESIDE = 0.99;
const CALM_MS = 1500;

const VMS: ProcessVm[] = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));
const ONE_DOMAIN: ProcessVm[] = VMS.map(vm => ({ ...vm, failureDomain: 'z1' }));
const URGENT = 'urgent.example';
const OTHER = 'history.example';
const ROUTES = [
  routeTo('history', { name: 'urgent', host: URGENT, priority: 0, kind: 'non_idempotent' }),
  routeTo('history', { name: 'other', host: OTHER, priority: 1 }),
];
const HOSTS = [OTHER, URGENT, OTHER];

describe('an upstream that names how many requests a second it takes, on daemons as processes', () => {
  let fleet: ProcessFleet;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    fleet = await ProcessFleet.start(VMS, ROUTES);
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = WORK_MS;
    await fleet.calm();
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  /** Another fleet, in which all daemons ask all upstreams. */
  const startInOneDomain = async () => {
    await fleet[Symbol.asyncDispose]();
    fleet = await ProcessFleet.start(ONE_DOMAIN, ROUTES);
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = LONG_WORK_MS;
    await fleet.calm();
  };
  const node = (index: number): ProcessNode => fleet.nodes[index]!;
  const name = (index: number, rate: number | string | string[] | undefined) => {
    node(index).upstream.behaviour.rateLimit = typeof rate === 'number' ? String(rate) : rate;
  };
  const startLoad = (perSecond = PER_SECOND) => new SteadyLoad(fleet, { perSecond, hosts: HOSTS });
  const arrivalsSince = (index: number, from: number) =>
    node(index)
      .upstream.arrivals.map(({ at }) => at)
      .filter(at => at >= from);
  const fullestWindow = (index: number, from: number) => mostWithin(arrivalsSince(index, from), WINDOW_MS);
  const expectKept = (index: number, rate: number, from: number) =>
    expect(fullestWindow(index, from), `arrivals in a window at upstream ${String(index)}`).to.be.at.most(
      allowedInWindow(rate),
    );

  it('gets no more than that, while others with room serve all callers', async () => {
    await using load = startLoad();
    await sleep(CALM_MS);
    name(0, 18.9);
    name(3, 11.3);
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    await sleep(MEASURED_MS);
    expectKept(0, 18.9, from);
    expectKept(3, 11.3, from);
    expect(arrivalsSince(0, from).length).to.be.above((18.9 * MEASURED_MS) / 2000);
    expect(servedShare(load.sentBetween(from, performance.now() - CALM_MS))).to.be.above(SERVED_BESIDE);
  });

  it('gets no more than that while all daemons are killed and started again in turn', async () => {
    await using load = startLoad();
    name(0, 18.9);
    name(3, 11.3);
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    for (const restarted of fleet.nodes) {
      await restarted.restart();
      await sleep(500);
    }
    expectKept(0, 18.9, from);
    expectKept(3, 11.3, from);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets no more than that from daemons that it told, while its own is killed and started again in series', async () => {
    await startInOneDomain();
    await using load = startLoad(FEW_PER_SECOND);
    await sleep(CALM_MS);
    name(0, 1);
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    for (let i = 0; i < 3; i++) {
      await node(0).restart();
      await sleep(2 * LONG_WORK_MS);
    }
    const own = new Set(load.requests.filter(request => request.node === 0).map(({ id }) => id));
    const others = node(0).upstream.arrivals.filter(({ requestId, at }) => at >= from && !own.has(requestId));
    const times = others.map(({ at }) => at);
    expect(mostWithin(times, WINDOW_MS)).to.be.at.most(allowedInWindow(1));
  });

  it('gets no burst after its daemon was suspended', async () => {
    await using load = startLoad();
    name(0, 18.9);
    name(3, 11.3);
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    for (const index of [0, 3]) node(index).signal('SIGSTOP');
    await sleep(SUSPENDED_MS);
    for (const index of [0, 3]) node(index).signal('SIGCONT');
    await sleep(WINDOW_MS);
    expectKept(0, 18.9, from);
    expectKept(3, 11.3, from);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets as much as it names when that falls, ends and comes back', async () => {
    await using load = startLoad();
    name(0, 30);
    await sleep(HOLDS_AFTER_MS);
    name(0, 10);
    await sleep(HOLDS_AFTER_MS);
    const low = performance.now();
    await sleep(WINDOW_MS);
    expectKept(0, 10, low);
    name(0, undefined);
    await sleep(HOLDS_AFTER_MS);
    const free = performance.now();
    await sleep(1000);
    expect(arrivalsSince(0, free).length, 'arrivals in a second without a limit').to.be.above(20);
    name(0, 10);
    await sleep(HOLDS_AFTER_MS);
    const again = performance.now();
    await sleep(WINDOW_MS);
    expectKept(0, 10, again);
    expect(load.requests.length).to.be.above(0);
  });

  it('gets nothing to run while that is 0, and gets work again soon after', async () => {
    await using load = startLoad();
    name(0, 0);
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    await sleep(WINDOW_MS);
    expectKept(0, 0, from);
    name(0, undefined);
    await sleep(HOLDS_AFTER_MS);
    const free = performance.now();
    await sleep(1000);
    expect(arrivalsSince(0, free).length, 'arrivals in a second without a limit').to.be.above(20);
    expect(servedShare(load.sentBetween(from, free))).to.be.above(SERVED_BESIDE);
  });

  it('keeps its limit while what it names makes no sense, and the lowest of several', async () => {
    await using load = startLoad();
    name(0, ['40', '12']);
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    for (const senseless of ['-3', 'many', '', '1e308', 'NaN']) {
      name(0, senseless);
      await sleep(WINDOW_MS / 4);
    }
    expectKept(0, 12, from);
    expect(load.requests.length).to.be.above(0);
  });

  it('and all others do so: most of what they take is served, the most important first', async () => {
    const rates = [18.9, 11.3, 25, 16, 20, 15];
    const together = rates.reduce((sum, rate) => sum + rate, 0);
    await using load = startLoad();
    rates.forEach((rate, index) => name(index, rate));
    await sleep(HOLDS_AFTER_MS);
    const from = performance.now();
    await sleep(MEASURED_MS);
    const to = performance.now();
    rates.forEach((rate, index) => expectKept(index, rate, from));
    const sent = load.sentBetween(from, to);
    await sleep(CALM_MS);
    const servedPerSecond = sent.filter(({ status }) => status === 200).length / ((to - from) / 1000);
    expect(servedPerSecond / together).to.be.above(USED_SHARE);
    const urgent = sent.filter(({ host }) => host === URGENT);
    const others = sent.filter(({ host }) => host === OTHER);
    expect(servedShare(urgent)).to.be.above(servedShare(others));
    const ended = [...urgent, ...others].map(({ status }) => status);
    expect(ended.filter(status => status !== 200 && status !== 503)).to.deep.equal([]);
  });
});

function allowedInWindow(rate: number): number {
  return (BORNE_FACTOR * rate * WINDOW_MS) / 1000 + BORNE_REQUESTS;
}
