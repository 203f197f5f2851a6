/**
 * Requests that end upstreams come at daemons as processes while some of these are stopped and continued, killed and started again, rejected by the
 * store, or left with connections that fell silent, at random and several at once, beside others that are harmless. `CLEATQUAY_SEED` tries another
 * run, `CLEATQUAY_ROUNDS` a longer one.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessVm } from './fixtures/platformProcesses.js';
import { FAULTS } from './fixtures/processFaults.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 2);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_LIMIT_MS = 60_000;
/** Ends under one request after which it is known, and time in which all daemons learn of it. */
const QUARANTINE_ENDS = 3;
const KNOWN_EVERYWHERE_MS = 3000;
/** Sends after that time that are borne. */
const BORNE_SENDS = 3;
/** After the end of a fault a daemon counts as harmed for so long. */
const HARMED_MS = 3000;
const MOST_FAULTS = 3;
const MOST_GAP_MS = 700;
const ASKS = 10;
const CALLERS = 6;

const VMS: ProcessVm[] = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));

/** A time for which a daemon counts as harmed. */
interface Harm {
  readonly node: number;
  readonly from: number;
  to: number;
}

describe('requests that end upstreams among faults, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let harms: Harm[];
  /** At which daemon each request came. */
  let entries: Map<string, number>;

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`quarantine ${SEED}`);
    harms = [];
    entries = new Map();
    fleet = await ProcessFleet.start(VMS, [routeTo('history', { timeoutS: 5 })]);
    for (const { upstream } of fleet.nodes) {
      upstream.behaviour.workMs = 60;
      upstream.behaviour.awayMs = 1000;
      upstream.behaviour.fault = (_id, path) => (path.startsWith('/deadly') ? 'end' : 'none');
    }
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const below = (count: number) => Math.floor(random() * count);
  const one = <T>(list: readonly T[]): T => list[below(list.length)]!;
  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const ask = (path: string, id: string) => {
    const node = below(VMS.length);
    entries.set(id, node);
    return fleet.nodes[node]!.request({ host: 'history.example', path, id });
  };

  const strike = (): (() => Promise<void>) => {
    const node = below(VMS.length);
    const harm: Harm = { node, from: performance.now(), to: Number.POSITIVE_INFINITY };
    harms.push(harm);
    const end = FAULTS[one(Object.keys(FAULTS))]!(fleet.nodes[node]!);
    return async () => {
      await end();
      harm.to = performance.now() + HARMED_MS;
    };
  };
  const isHarmed = (node: number, at: number) =>
    harms.some(harm => harm.node === node && harm.from <= at && at <= harm.to);

  /** Sends of a path by unharmed daemons to upstreams beside unharmed ones, later than all should know that it ends upstreams. */
  const sendsTooLate = (path: string) => {
    const deadly = new Set([...entries.keys()].filter(id => id.startsWith(path)));
    const ends = fleet.nodes
      .flatMap(({ upstream }) => upstream.ends)
      .filter(({ requestId }) => deadly.has(requestId))
      .map(({ at }) => at)
      .sort((a, b) => a - b);
    const known = (ends[QUARANTINE_ENDS - 1] ?? Number.POSITIVE_INFINITY) + KNOWN_EVERYWHERE_MS;
    return fleet.nodes.flatMap(({ upstream }, node) =>
      upstream.arrivals.filter(
        ({ requestId, at }) =>
          deadly.has(requestId) &&
          at > known &&
          !isHarmed(node, at) &&
          !isHarmed(entries.get(requestId) ?? 0, at),
      ),
    );
  };

  const askBeside = async (round: number, caller: number, isOver: () => boolean) => {
    for (let i = 0; !isOver(); i++) {
      const path = i % 3 === 0 ? '/popular' : `/own/${String(round)}/${String(caller)}/${String(i)}`;
      const id = `${path}-${String(round)}-${String(caller)}-${String(i)}`;
      if ((await ask(path, id)) !== 200) await ask(path, `${id}-again`);
    }
  };
  const askForDeath = async (path: string, from: number) => {
    for (let i = 0; i < ASKS; i++) {
      void ask(path, `${path}-${String(from + i)}`);
      await pause(below(MOST_GAP_MS));
    }
  };

  const round = async (number: number): Promise<string> => {
    const path = `/deadly/${String(number)}`;
    let isOver = false;
    const callers = Array.from({ length: CALLERS }, (_, caller) => askBeside(number, caller, () => isOver));
    const ends = Array.from({ length: 1 + below(MOST_FAULTS) }, strike);
    await askForDeath(path, 0);
    await Promise.all(ends.map(end => end()));
    await askForDeath(path, ASKS);
    await pause(KNOWN_EVERYWHERE_MS);
    await askForDeath(path, 2 * ASKS);
    isOver = true;
    await Promise.all(callers);
    return path;
  };

  it('are held back in time, and nothing else is', async function () {
    this.timeout(ROUNDS * ROUND_LIMIT_MS);
    const held: string[] = [];
    for (let done = 1; done <= ROUNDS; done++) {
      const path = await round(done);
      held.push(`GET ${path}`);
      expect(sendsTooLate(path).length, `round ${String(done)} of seed ${SEED}`).to.be.at.most(BORNE_SENDS);
      for (const node of fleet.nodes) {
        const status = await node.status();
        const asks = status?.quarantine.map(verdict => verdict.asks).sort();
        expect(asks, `round ${String(done)} of seed ${SEED}`).to.deep.equal([...held].sort());
      }
    }
  });
});
