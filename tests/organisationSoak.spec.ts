/**
 * Runs daemons as processes under random faults: keys are rotated, one organisation exceeds its quota, and daemons are
 * suspended, killed and restarted, rejected by the store, or lose their connections without notice. Compares the requests
 * that upstreams ran with what was allowed when they were sent. `CLEATQUAY_SEED` selects another run, `CLEATQUAY_ROUNDS` a
 * longer one.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { FAULTS } from './fixtures/processFaults.js';
import { type OrganisationDefinition, configurationText, routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessVm } from './fixtures/platformProcesses.js';
import { maxCountInWindow } from './fixtures/maxCountInWindow.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 8);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_TIMEOUT_MS = 12_000;
const MAX_FAULTS = 2;
/** Ratio of rounds in which the store rejects all daemons, so that none can get a freshness proof from another. */
const ALL_REJECTED_RATIO = 0.4;
const MAX_DELAY_BEFORE_CHANGE_MS = 500;
const MAX_DELAY_AFTER_CHANGE_MS = 3500;
const CALLERS = 8;
const CALLER_DELAY_MS = 10;
/** Number of latest keys that callers use; all but the last one are revoked. */
const USED_KEYS = 5;

/** Shorter than most faults last, so that daemons exceed it without a freshness proof. */
const REVOKE_S = 1.5;
const QUOTA = { ratePerS: 20, burst: 10 };
const WINDOW_MS = 5000;
const SLACK = 10;
const OVERSHOOT_RATIO = 0.1;
const MAX_IN_WINDOW = ((QUOTA.ratePerS * WINDOW_MS) / 1000 + QUOTA.burst) * (1 + OVERSHOOT_RATIO) + SLACK;

const ROUTES = [routeTo('history')];
const DOMAINS = ['z1', 'z1', 'z2', 'z2'];
const VMS: ProcessVm[] = DOMAINS.map(failureDomain => ({ service: 'history', failureDomain }));
const HOT: OrganisationDefinition = { name: 'hot', apiKeys: ['hot-key'], ...QUOTA };

interface SentRequest {
  readonly key: string;
  /** ms of `performance.now()`. */
  readonly at: number;
}

describe('organisations under random faults, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let version: number;
  let keys: string[];
  let sentRequests: Map<string, SentRequest>;
  let revokedAt: Map<string, number>;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`organisations ${SEED}`);
    version = 1;
    keys = ['key-0'];
    sentRequests = new Map();
    revokedAt = new Map();
    const bounds = { strictRevoke: true, revokeS: REVOKE_S, quotaSlack: SLACK };
    fleet = await ProcessFleet.start(VMS, ROUTES, { organisations: declared(), bounds });
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const randomBelow = (count: number) => Math.floor(random() * count);
  const pick = <T>(list: readonly T[]): T => list[randomBelow(list.length)]!;
  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const declared = () => [HOT, { name: 'dairy', apiKeys: [keys.at(-1)!] }];

  /** Replaces the organisation's key by a new one. */
  const rotateKey = () => {
    const revokedKey = keys.at(-1)!;
    keys.push(`key-${String(keys.length)}`);
    fleet.store.put('op', 'config', configurationText(++version, ROUTES, declared()));
    revokedAt.set(revokedKey, performance.now());
  };

  const sendRequest = async (number: number) => {
    const id = `r${String(number)}`;
    const key = random() < 0.5 ? 'hot-key' : pick(keys.slice(-USED_KEYS));
    sentRequests.set(id, { key, at: performance.now() });
    await pick(fleet.nodes).request({ host: 'history.example', path: '/x', id, key });
  };

  const sendUntil = async (isStopped: () => boolean, caller: number) => {
    for (let i = 0; !isStopped(); i++) {
      await sendRequest(caller + i * CALLERS);
      await sleep(CALLER_DELAY_MS);
    }
  };

  const runRound = async () => {
    const faultyNodes = Array.from({ length: randomBelow(MAX_FAULTS + 1) }, () => randomBelow(VMS.length));
    const stopFaults =
      random() < ALL_REJECTED_RATIO
        ? fleet.nodes.map(FAULTS.rejected!)
        : [...new Set(faultyNodes)].map(node => FAULTS[pick(Object.keys(FAULTS))]!(fleet.nodes[node]!));
    await sleep(randomBelow(MAX_DELAY_BEFORE_CHANGE_MS));
    rotateKey();
    await sleep(randomBelow(MAX_DELAY_AFTER_CHANGE_MS));
    await Promise.all(stopFaults.map(stop => stop()));
  };

  const executed = () =>
    fleet.nodes.flatMap(({ upstream }) => upstream.receivedRequests).filter(received => received.ran);

  it('never run a request with a key revoked longer ago than the bound, or more requests than a quota allows', async function () {
    this.timeout(ROUNDS * ROUND_TIMEOUT_MS);
    let isStopped = false;
    const callers = Array.from({ length: CALLERS }, (_, caller) => sendUntil(() => isStopped, caller));
    for (let done = 0; done < ROUNDS; done++) await runRound();
    isStopped = true;
    await Promise.all(callers);
    const lateRuns = executed().filter(({ requestId }) => {
      const { key, at } = sentRequests.get(requestId)!;
      return at > (revokedAt.get(key) ?? Number.POSITIVE_INFINITY) + REVOKE_S * 1000;
    });
    expect(lateRuns.length, `requests with a revoked key, with seed ${SEED}`).to.equal(0);
    for (const { requestId, headers } of executed()) {
      const { key } = sentRequests.get(requestId)!;
      expect(headers['tenant-id']).to.equal(key === 'hot-key' ? 'hot' : 'dairy');
      expect(headers.authorization).to.equal(undefined);
    }
    const hotRuns = executed().filter(({ requestId }) => sentRequests.get(requestId)!.key === 'hot-key');
    expect(hotRuns.length).to.be.greaterThan(0);
    expect(executed().length).to.be.greaterThan(hotRuns.length);
    expect(
      maxCountInWindow(
        hotRuns.map(({ at }) => at),
        WINDOW_MS,
      ),
      `most requests in a window with seed ${SEED}`,
    ).to.be.at.most(MAX_IN_WINDOW);
  });
});
