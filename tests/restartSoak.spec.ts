/**
 * Daemons as processes that lose the store, and start anew together: all, most, or those of one failure domain are killed while the store is
 * away, cut off from some, slow, or has just come back. An organisation sends five times its quota all the while, and versions are written as the
 * faults end. `CLEATQUAY_SEED` selects another sequence, `CLEATQUAY_ROUNDS` its length.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { maxCountInWindow } from './fixtures/maxCountInWindow.js';
import { type OrganisationDefinition, configurationText, routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 4);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_TIMEOUT_MS = 30_000;
/** A daemon has the newest version within 3 s after the end of a fault, and within 2 s after it was accepted. */
const MAX_RECOVERY_MS = 3000;
const MAX_OUTAGE_MS = 4000;
const MAX_GAP_MS = 300;
const MAX_WRITES = 5;
const SLOW_MS = 120;

const QUOTA = { ratePerS: 20, burst: 10 };
const WINDOW_MS = 5000;
const SLACK = 10;
const OVERSHOOT_RATIO = 0.1;
const MAX_IN_WINDOW = ((QUOTA.ratePerS * WINDOW_MS) / 1000 + QUOTA.burst) * (1 + OVERSHOOT_RATIO) + SLACK;
const HOT: OrganisationDefinition = { name: 'hot', apiKeys: ['hot-key'], ...QUOTA };
const CALLERS = 10;
const CALLER_DELAY_MS = 20;

const VMS: ProcessVm[] = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));
const ROUTES = [routeTo('history')];

/** Which daemons are killed. */
const KILLED: Record<string, (index: number, random: Random) => boolean> = {
  'all daemons': () => true,
  'most daemons': (_, random) => random() < 0.7,
  'one failure domain': index => VMS[index]!.failureDomain === 'z1',
};

/** What happens to the store for a daemon; the function ends it. */
const STORE: Record<string, (node: ProcessNode, index: number) => () => void> = {
  away: ({ proxy }) => {
    proxy.reset();
    return () => (proxy.mode = 'pass');
  },
  'cut off from a failure domain': ({ proxy }, index) => {
    if (VMS[index]!.failureDomain === 'z2') proxy.reset();
    return () => (proxy.mode = 'pass');
  },
  slow: ({ proxy }) => {
    proxy.delayMs = SLOW_MS;
    return () => (proxy.delayMs = 0);
  },
};

describe('daemons that start anew together while the store is in trouble, as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let version: number;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`restarts ${SEED}`);
    version = 1;
    const options = { organisations: [HOT], bounds: { quotaSlack: SLACK } };
    fleet = await ProcessFleet.start(VMS, ROUTES, options);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const pickName = (of: object) => Object.keys(of)[Math.floor(random() * Object.keys(of).length)]!;

  const write = async () => {
    for (let left = 1 + Math.floor(random() * MAX_WRITES); left > 0; left--) {
      fleet.store.put('op', 'config', configurationText(++version, ROUTES, [HOT]));
      await sleep(random() * MAX_GAP_MS);
    }
  };

  const sendUntil = async (isStopped: () => boolean, caller: number) => {
    for (let i = 0; !isStopped(); i++) {
      const id = `r${String(caller)}-${String(i)}`;
      await fleet.nodes[(caller + i) % VMS.length]!.request({
        host: 'history.example',
        path: '/x',
        id,
        key: 'hot-key',
      });
      await sleep(CALLER_DELAY_MS);
    }
  };

  /** Kills daemons before the store is back, or as it comes back; resolves once all are up and the store is. */
  const injectFaults = async (trouble: string, killed: string, isAfterReturn: boolean) => {
    const endTrouble = fleet.nodes.map(STORE[trouble]!);
    const outageMs = random() * MAX_OUTAGE_MS;
    await sleep(outageMs / 2);
    const nodes = fleet.nodes.filter((_, index) => KILLED[killed]!(index, random));
    const restart = () => Promise.all(nodes.map(node => node.restart()));
    const restarted = isAfterReturn ? undefined : restart();
    await sleep(outageMs / 2);
    for (const end of endTrouble) end();
    await (restarted ?? restart());
  };

  it('have each change in time, and let no organisation exceed its quota', async function () {
    this.timeout(ROUNDS * ROUND_TIMEOUT_MS);
    let isStopped = false;
    const callers = Array.from({ length: CALLERS }, (_, caller) => sendUntil(() => isStopped, caller));
    for (let round = 1; round <= ROUNDS; round++) {
      const [trouble, killed, isAfterReturn] = [pickName(STORE), pickName(KILLED), random() < 0.3];
      await injectFaults(trouble, killed, isAfterReturn);
      await write();
      const start = performance.now();
      await fleet.until(
        node => node.status(),
        status => status?.generation === version,
      );
      const what = `round ${String(round)} of seed ${SEED}: store ${trouble}, ${killed}, ${String(isAfterReturn)}`;
      expect(performance.now() - start, what).to.be.below(MAX_RECOVERY_MS);
      await sleep(random() * WINDOW_MS);
    }
    isStopped = true;
    await Promise.all(callers);
    const ran = fleet.nodes
      .flatMap(({ upstream }) => upstream.receivedRequests)
      .filter(request => request.ran);
    const times = ran.map(({ at }) => at);
    const most = maxCountInWindow(times, WINDOW_MS);
    expect(most, `most requests in a window with seed ${SEED}`).to.be.at.most(MAX_IN_WINDOW);
    expect(most, 'served').to.be.above(QUOTA.ratePerS);
  });
});
