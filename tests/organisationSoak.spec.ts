/**
 * Daemons as processes while keys are given and taken away in series, one organisation presses on its quota, and some daemons are stopped and continued, killed
 * and started again, rejected by the store, or left with connections that fell silent. What upstreams ran is compared with what was allowed when it was
 * sent. `CLEATQUAY_SEED` tries another run, `CLEATQUAY_ROUNDS` a longer one.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { FAULTS } from './fixtures/processFaults.js';
import { type WrittenOrganisation, configurationText, routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessVm } from './fixtures/platformProcesses.js';
import { mostWithin } from './fixtures/windows.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 8);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_LIMIT_MS = 12_000;
const MOST_FAULTS = 2;
/** Rounds in which the store rejects all daemons, so that none can prove anything to another. */
const ALL_REJECTED_SHARE = 0.4;
const LONGEST_BEFORE_CHANGE_MS = 500;
const LONGEST_AFTER_CHANGE_MS = 3500;
const CALLERS = 8;
const CALLER_PAUSE_MS = 10;
/** Keys that callers still try: some of them were taken away. */
const TRIED_KEYS = 5;

/** Short, so that faults outlast it. */
const REVOKE_S = 1.5;
const QUOTA = { ratePerS: 20, burst: 10 };
const WINDOW_MS = 5000;
const SLACK = 10;
const OVERSHOOT = 0.1;
const MOST_IN_WINDOW = ((QUOTA.ratePerS * WINDOW_MS) / 1000 + QUOTA.burst) * (1 + OVERSHOOT) + SLACK;

const ROUTES = [routeTo('history')];
const DOMAINS = ['z1', 'z1', 'z2', 'z2'];
const VMS: ProcessVm[] = DOMAINS.map(failureDomain => ({ service: 'history', failureDomain }));
const HOT: WrittenOrganisation = { name: 'hot', apiKeys: ['hot-key'], ...QUOTA };

interface Sent {
  readonly key: string;
  /** ms of `performance.now()`. */
  readonly at: number;
}

describe('organisations among faults, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let version: number;
  let keys: string[];
  let sent: Map<string, Sent>;
  let takenAwayAt: Map<string, number>;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`organisations ${SEED}`);
    version = 1;
    keys = ['key-0'];
    sent = new Map();
    takenAwayAt = new Map();
    const bounds = { strictRevoke: true, revokeS: REVOKE_S, quotaSlack: SLACK };
    fleet = await ProcessFleet.start(VMS, ROUTES, { organisations: declared(), bounds });
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const below = (count: number) => Math.floor(random() * count);
  const one = <T>(list: readonly T[]): T => list[below(list.length)]!;
  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const declared = () => [HOT, { name: 'dairy', apiKeys: [keys.at(-1)!] }];

  /** The organisation gets a new key in place of its last. */
  const changeKey = () => {
    const former = keys.at(-1)!;
    keys.push(`key-${String(keys.length)}`);
    fleet.store.put('op', 'config', configurationText(++version, ROUTES, declared()));
    takenAwayAt.set(former, performance.now());
  };

  const call = async (number: number) => {
    const id = `r${String(number)}`;
    const key = random() < 0.5 ? 'hot-key' : one(keys.slice(-TRIED_KEYS));
    sent.set(id, { key, at: performance.now() });
    await one(fleet.nodes).request({ host: 'history.example', path: '/x', id, key });
  };

  const pressing = async (isOver: () => boolean, caller: number) => {
    for (let i = 0; !isOver(); i++) {
      await call(caller + i * CALLERS);
      await pause(CALLER_PAUSE_MS);
    }
  };

  const round = async () => {
    const struck = Array.from({ length: below(MOST_FAULTS + 1) }, () => below(VMS.length));
    const ends =
      random() < ALL_REJECTED_SHARE
        ? fleet.nodes.map(FAULTS.rejected!)
        : [...new Set(struck)].map(node => FAULTS[one(Object.keys(FAULTS))]!(fleet.nodes[node]!));
    await pause(below(LONGEST_BEFORE_CHANGE_MS));
    changeKey();
    await pause(below(LONGEST_AFTER_CHANGE_MS));
    await Promise.all(ends.map(end => end()));
  };

  const ran = () => fleet.nodes.flatMap(({ upstream }) => upstream.arrivals).filter(arrival => arrival.ran);

  it('run nothing for a key that was taken away longer ago than the bound, nor more than a quota allows', async function () {
    this.timeout(ROUNDS * ROUND_LIMIT_MS);
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, (_, caller) => pressing(() => isOver, caller));
    for (let done = 0; done < ROUNDS; done++) await round();
    isOver = true;
    await Promise.all(callers);
    const late = ran().filter(({ requestId }) => {
      const { key, at } = sent.get(requestId)!;
      return at > (takenAwayAt.get(key) ?? Number.POSITIVE_INFINITY) + REVOKE_S * 1000;
    });
    expect(late.length, `late runs of seed ${SEED}`).to.equal(0);
    for (const { requestId, headers } of ran()) {
      const { key } = sent.get(requestId)!;
      expect(headers['tenant-id']).to.equal(key === 'hot-key' ? 'hot' : 'dairy');
      expect(headers.authorization).to.equal(undefined);
    }
    const hot = ran().filter(({ requestId }) => sent.get(requestId)!.key === 'hot-key');
    expect(hot.length).to.be.greaterThan(0);
    expect(ran().length).to.be.greaterThan(hot.length);
    expect(
      mostWithin(
        hot.map(({ at }) => at),
        WINDOW_MS,
      ),
      `most runs of seed ${SEED}`,
    ).to.be.at.most(MOST_IN_WINDOW);
  });
});
