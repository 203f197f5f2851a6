/**
 * Guards against a query of death that crashes upstream after upstream. Without a quarantine, a crash was handled like one
 * truncated response: the ingress daemon sent the request to the next upstream, which crashed, too, and the caller's retry
 * with a new id at another VM started over. Since a request was identified by its id only, nothing linked the crashes; the
 * callers got 502, as did those whose requests were in flight at the same upstreams. In the reported incident, one such
 * request was sent 11 more times after three crashes, at two VMs of two failure domains, and 22 upstreams crashed; here,
 * 20 attempts started later than 3 s after the third crash (9 on the route that is not idempotent).
 */
import { seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';

/** Crashes after which a request is quarantined. */
const QUARANTINE_CRASHES = 3;
/** Time until all daemons know this. */
const PROPAGATION_MS = 3000;
/** Attempts that are tolerated after that time. */
const MAX_LATE_ATTEMPTS = 3;
const PAUSE_MS = 1500;
const LOAD_PAUSE_MS = 100;
const QUERY_OF_DEATH = '/deadly';
/** Callers without a pause between requests; each upstream runs about six of their requests at a time. */
const MANY_CALLERS = 36;
const MANY_QUERIES = 12;
const SHORT_PAUSE_MS = 300;
/** Minimum ratio of harmless requests that are served while upstreams restart. */
const MIN_SERVED_RATIO = 0.8;

const VMS: ProcessVm[] = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));
const ROUTES = [
  routeTo('history', { timeoutS: 5 }),
  routeTo('history', { name: 'once', host: 'once.example', kind: 'non_idempotent', timeoutS: 5 }),
];

describe('a query of death, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: () => number;
  let queryCount: number;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(1);
    queryCount = 0;
    fleet = await ProcessFleet.start(VMS, ROUTES);
    for (const { upstream } of fleet.nodes)
      upstream.behaviour.fault = (_id, path) => (path === QUERY_OF_DEATH ? 'crash' : 'none');
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const randomNode = (): ProcessNode => fleet.nodes[Math.floor(random() * fleet.nodes.length)]!;
  const attempts = () =>
    fleet.nodes
      .flatMap(({ upstream }) => upstream.receivedRequests)
      .filter(({ path }) => path === QUERY_OF_DEATH)
      .map(({ at }) => at)
      .sort((a, b) => a - b);
  const crashes = () =>
    fleet.nodes
      .flatMap(({ upstream }) => upstream.crashes)
      .map(({ at }) => at)
      .sort((a, b) => a - b);
  const lateAttempts = () => {
    const thirdCrashAt = crashes()[QUARANTINE_CRASHES - 1] ?? Number.POSITIVE_INFINITY;
    return attempts().filter(at => at > thirdCrashAt + PROPAGATION_MS);
  };
  const sendQueryOfDeath = (options: { host?: string; body?: string } = {}) =>
    randomNode().request({
      host: 'history.example',
      path: QUERY_OF_DEATH,
      id: `deadly-${String(queryCount++)}`,
      ...options,
    });
  /** Sends the query of death to random daemons, each time with another id. */
  const sendQueriesFor = async (ms: number, options: { host?: string; body?: string } = {}) => {
    const end = performance.now() + ms;
    const statuses: number[] = [];
    while (performance.now() < end) {
      statuses.push(await sendQueryOfDeath(options));
      await sleep(PAUSE_MS);
    }
    return statuses;
  };
  /** Sends harmless requests, alternating between one popular path and paths that occur once. */
  const sendHarmless = async (isStopped: () => boolean) => {
    const statuses: number[] = [];
    for (let i = 0; !isStopped(); i++) {
      const path = i % 2 === 0 ? '/popular' : `/own/${String(i)}`;
      statuses.push(
        await randomNode().request({ host: 'history.example', path, id: `harmless-${String(i)}` }),
      );
      await sleep(LOAD_PAUSE_MS);
    }
    return statuses;
  };

  it('is not sent to upstreams after three crashes, while other requests are served', async () => {
    let isStopped = false;
    const harmless = sendHarmless(() => isStopped);
    const statuses = await sendQueriesFor(20_000);
    isStopped = true;
    expect(crashes().length).to.be.at.least(QUARANTINE_CRASHES);
    expect(lateAttempts().length).to.be.at.most(MAX_LATE_ATTEMPTS);
    expect(statuses.at(-1)).to.equal(503);
    const others = await harmless;
    expect(others.filter(status => status === 200).length / others.length).to.be.above(MIN_SERVED_RATIO);
    expect(others.slice(-20)).to.deep.equal(others.slice(-20).map(() => 200));
  });

  it('is the only quarantined request, though dozens of others are in flight at each crash and are retried', async () => {
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = 150;
    let isStopped = false;
    const statuses: number[] = [];
    const sendOwnPaths = async (caller: number) => {
      for (let i = 0; !isStopped; i++) {
        const path = `/own/${String(caller)}/${String(i)}`;
        const send = (attempt: string) =>
          randomNode().request({
            host: 'history.example',
            path,
            id: `${attempt}-${String(caller)}-${String(i)}`,
          });
        const first = await send('first');
        statuses.push(first === 200 ? first : await send('second'));
      }
    };
    const callers = Array.from({ length: MANY_CALLERS }, (_, caller) => sendOwnPaths(caller));
    for (let i = 0; i < MANY_QUERIES; i++) {
      void sendQueryOfDeath();
      await sleep(SHORT_PAUSE_MS);
    }
    await sleep(PROPAGATION_MS);
    isStopped = true;
    await Promise.all(callers);
    const [status] = await Promise.all(fleet.nodes.map(node => node.status()));
    expect(status!.quarantine.map(({ asks }) => asks)).to.deep.equal([`GET ${QUERY_OF_DEATH}`]);
    expect(statuses.filter(s => s === 200).length / statuses.length).to.be.above(MIN_SERVED_RATIO);
  });

  it('is not sent to upstreams after three crashes if it is not idempotent and has a body', async () => {
    const statuses = await sendQueriesFor(20_000, { host: 'once.example', body: 'deadly' });
    expect(crashes().length).to.be.at.least(QUARANTINE_CRASHES);
    expect(lateAttempts().length).to.be.at.most(MAX_LATE_ATTEMPTS);
    expect(statuses.at(-1)).to.equal(503);
  });

  it('stays quarantined after all daemons were killed and restarted at once, and other requests are served', async () => {
    while (crashes().length < QUARANTINE_CRASHES) {
      await sendQueryOfDeath();
      await sleep(PAUSE_MS);
    }
    await sleep(PROPAGATION_MS);
    await Promise.all(fleet.nodes.map(node => node.restart()));
    await fleet.waitUntilConverged();
    await fleet.waitForLowLag();
    const before = attempts().length;
    let isStopped = false;
    const harmless = sendHarmless(() => isStopped);
    await sendQueriesFor(8000);
    isStopped = true;
    expect(attempts().length - before).to.equal(0);
    const others = await harmless;
    expect(others).to.deep.equal(others.map(() => 200));
    for (const node of fleet.nodes)
      expect((await node.status())!.quarantine.map(({ asks }) => asks)).to.deep.equal([
        `GET ${QUERY_OF_DEATH}`,
      ]);
  });
});
