/**
 * Sends queries of death along with harmless requests to daemons as processes under random, overlapping faults: daemons
 * are suspended, killed and restarted, rejected by the store, or lose their connections without notice. `CLEATQUAY_SEED`
 * selects another run, `CLEATQUAY_ROUNDS` a longer one.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessVm } from './fixtures/platformProcesses.js';
import { FAULTS } from './fixtures/processFaults.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 2);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_TIMEOUT_MS = 60_000;
/** Crashes after which a request is quarantined, and time until all daemons know this. */
const QUARANTINE_CRASHES = 3;
const PROPAGATION_MS = 3000;
/** Attempts that are tolerated after that time. */
const MAX_LATE_ATTEMPTS = 3;
/** How long a daemon counts as affected after the end of a fault. */
const RECOVERY_MS = 3000;
const MAX_FAULTS = 3;
const MAX_GAP_MS = 700;
const REQUESTS_PER_PHASE = 10;
const CALLERS = 6;

const VMS: ProcessVm[] = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));

/** A period in which a daemon is affected by a fault. */
interface FaultPeriod {
  readonly node: number;
  readonly from: number;
  to: number;
}

describe('queries of death under random faults, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let faultPeriods: FaultPeriod[];
  /** The ingress daemon of each request. */
  let ingressNodes: Map<string, number>;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`quarantine ${SEED}`);
    faultPeriods = [];
    ingressNodes = new Map();
    fleet = await ProcessFleet.start(VMS, [routeTo('history', { timeoutS: 5 })]);
    for (const { upstream } of fleet.nodes) {
      upstream.behaviour.workMs = 60;
      upstream.behaviour.restartDelayMs = 1000;
      upstream.behaviour.fault = (_id, path) => (path.startsWith('/deadly') ? 'crash' : 'none');
    }
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const randomBelow = (count: number) => Math.floor(random() * count);
  const pick = <T>(list: readonly T[]): T => list[randomBelow(list.length)]!;
  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const sendRequest = (path: string, id: string) => {
    const node = randomBelow(VMS.length);
    ingressNodes.set(id, node);
    return fleet.nodes[node]!.request({ host: 'history.example', path, id });
  };

  const startFault = (): (() => Promise<void>) => {
    const node = randomBelow(VMS.length);
    const period: FaultPeriod = { node, from: performance.now(), to: Number.POSITIVE_INFINITY };
    faultPeriods.push(period);
    const stop = FAULTS[pick(Object.keys(FAULTS))]!(fleet.nodes[node]!);
    return async () => {
      await stop();
      period.to = performance.now() + RECOVERY_MS;
    };
  };
  const isAffected = (node: number, at: number) =>
    faultPeriods.some(period => period.node === node && period.from <= at && at <= period.to);

  /** Attempts between unaffected daemons after all of them should have quarantined the path. */
  const lateAttempts = (path: string) => {
    const deadlyIds = new Set([...ingressNodes.keys()].filter(id => id.startsWith(path)));
    const crashes = fleet.nodes
      .flatMap(({ upstream }) => upstream.crashes)
      .filter(({ requestId }) => deadlyIds.has(requestId))
      .map(({ at }) => at)
      .sort((a, b) => a - b);
    const propagatedAt = (crashes[QUARANTINE_CRASHES - 1] ?? Number.POSITIVE_INFINITY) + PROPAGATION_MS;
    return fleet.nodes.flatMap(({ upstream }, node) =>
      upstream.receivedRequests.filter(
        ({ requestId, at }) =>
          deadlyIds.has(requestId) &&
          at > propagatedAt &&
          !isAffected(node, at) &&
          !isAffected(ingressNodes.get(requestId) ?? 0, at),
      ),
    );
  };

  const sendHarmless = async (round: number, caller: number, isStopped: () => boolean) => {
    for (let i = 0; !isStopped(); i++) {
      const path = i % 3 === 0 ? '/popular' : `/own/${String(round)}/${String(caller)}/${String(i)}`;
      const id = `${path}-${String(round)}-${String(caller)}-${String(i)}`;
      if ((await sendRequest(path, id)) !== 200) await sendRequest(path, `${id}-again`);
    }
  };
  const sendQueryOfDeath = async (path: string, from: number) => {
    for (let i = 0; i < REQUESTS_PER_PHASE; i++) {
      void sendRequest(path, `${path}-${String(from + i)}`);
      await sleep(randomBelow(MAX_GAP_MS));
    }
  };

  const runRound = async (number: number): Promise<string> => {
    const path = `/deadly/${String(number)}`;
    let isStopped = false;
    const callers = Array.from({ length: CALLERS }, (_, caller) =>
      sendHarmless(number, caller, () => isStopped),
    );
    const faults = Array.from({ length: 1 + randomBelow(MAX_FAULTS) }, startFault);
    await sendQueryOfDeath(path, 0);
    await Promise.all(faults.map(stop => stop()));
    await sendQueryOfDeath(path, REQUESTS_PER_PHASE);
    await sleep(PROPAGATION_MS);
    await sendQueryOfDeath(path, 2 * REQUESTS_PER_PHASE);
    isStopped = true;
    await Promise.all(callers);
    return path;
  };

  it('are quarantined in time, and other requests are not', async function () {
    this.timeout(ROUNDS * ROUND_TIMEOUT_MS);
    const quarantined: string[] = [];
    for (let done = 1; done <= ROUNDS; done++) {
      const path = await runRound(done);
      quarantined.push(`GET ${path}`);
      expect(lateAttempts(path).length, `round ${String(done)} of seed ${SEED}`).to.be.at.most(
        MAX_LATE_ATTEMPTS,
      );
      for (const node of fleet.nodes) {
        const status = await node.status();
        const asks = status?.quarantine.map(verdict => verdict.asks).sort();
        expect(asks, `round ${String(done)} of seed ${SEED}`).to.deep.equal([...quarantined].sort());
      }
    }
  });
});
