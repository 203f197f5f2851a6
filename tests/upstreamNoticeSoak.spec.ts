/**
 * Upstreams name rate limits that change and end, and say in their answers that they leave while their heartbeats call them ready, before daemons as
 * processes of which some are stopped and continued, killed and started again, rejected by the store, or left with connections that fell silent, at
 * random and several at once. What reaches each upstream is compared with what it had named. `CLEATQUAY_SEED` tries another run, `CLEATQUAY_ROUNDS` a
 * longer one.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';
import { FAULTS } from './fixtures/processFaults.js';
import { type LoadedRequest, SteadyLoad } from './fixtures/steadyLoad.js';
import { mostWithin } from './fixtures/windows.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 5);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_LIMIT_MS = 20_000;
const PER_SECOND = 150;
const WORK_MS = 60;
const MOST_FAULTS = 3;
const LONGEST_BEFORE_MS = 1500;
const LONGEST_AFTER_MS = 3500;
const AWAY_MS = 300;

const LIMITED_SHARE = 0.5;
const LEAVING_SHARE = 0.3;
const RATES = [0, 1, 4, 12, 20];

/** What has to hold: time until a limit does, its window, and what may come beyond it; time until nothing comes after a leave. */
const HOLDS_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const BORNE_FACTOR = 1.5;
const BORNE_REQUESTS = 5;
const DRAIN_MS = 2000;
/** Only those count that had passed such an answer on so long before. */
const TOLD_MS = 500;
/** After the end of a fault a daemon counts as harmed for so long. */
const HARMED_MS = 3000;

const VMS: ProcessVm[] = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));

/** A time, ms of `performance.now()`. */
interface Span {
  readonly from: number;
  to: number;
}

/** A time for which an upstream names a rate. */
interface Naming extends Span {
  readonly rate: number;
}

/** An arrival of a request; times of `performance.now()`, ms. */
interface ToldArrival {
  readonly at: number;
  readonly sentAt: number;
  /** When its daemon passed on what the upstream says. */
  readonly told: number;
}

/** What one upstream says, and what is done to the daemon beside it. */
interface History {
  readonly namings: Naming[];
  readonly leavings: Span[];
  readonly harms: Span[];
}

describe('upstreams that name limits and leave among faults, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let histories: History[];

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`upstream notices ${SEED}`);
    histories = VMS.map(() => ({ namings: [], leavings: [], harms: [] }));
    fleet = await ProcessFleet.start(VMS, [routeTo('history')]);
    for (const { upstream } of fleet.nodes)
      Object.assign(upstream.behaviour, { workMs: WORK_MS, awayMs: AWAY_MS });
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const below = (count: number) => Math.floor(random() * count);
  const one = <T>(list: readonly T[]): T => list[below(list.length)]!;
  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const node = (index: number): ProcessNode => fleet.nodes[index]!;
  const open = (spans: Span[]) => spans.find(({ to }) => to === Number.POSITIVE_INFINITY);
  const close = (spans: Span[]) => {
    const span = open(spans);
    if (span) span.to = performance.now();
  };
  const begin = () => ({ from: performance.now(), to: Number.POSITIVE_INFINITY });

  const name = (index: number) => {
    const { namings } = histories[index]!;
    close(namings);
    const rate = random() < LIMITED_SHARE ? one(RATES) : undefined;
    node(index).upstream.behaviour.rateLimit = rate === undefined ? undefined : String(rate);
    if (rate !== undefined) namings.push({ ...begin(), rate });
  };

  const leave = (index: number) => {
    node(index).upstream.behaviour.saysLeaving = true;
    histories[index]!.leavings.push(begin());
  };

  /** Its next start says nothing at first. */
  const replace = async (index: number) => {
    const { upstream } = node(index);
    const ended = upstream.end();
    Object.assign(upstream.behaviour, { saysLeaving: false, rateLimit: undefined });
    close(histories[index]!.namings);
    close(histories[index]!.leavings);
    await ended;
  };

  const strike = (): (() => Promise<void>) => {
    const index = below(VMS.length);
    const harm = begin();
    histories[index]!.harms.push(harm);
    const end = FAULTS[one(Object.keys(FAULTS))]!(node(index));
    return async () => {
      await end();
      harm.to = performance.now() + HARMED_MS;
    };
  };

  const round = async () => {
    const leaving = VMS.map((_, index) => index).filter(() => random() < LEAVING_SHARE / 2);
    VMS.forEach((_, index) => name(index));
    leaving.forEach(leave);
    await pause(below(LONGEST_BEFORE_MS));
    const ends = Array.from({ length: 1 + below(MOST_FAULTS) }, strike);
    await pause(HOLDS_AFTER_MS + below(LONGEST_AFTER_MS));
    await Promise.all(ends.map(end => end()));
    await pause(below(LONGEST_BEFORE_MS));
    await Promise.all(leaving.map(replace));
  };

  const isHarmed = (index: number, from: number, to: number) =>
    histories[index]!.harms.some(harm => harm.from <= to && harm.to >= from);

  /** Arrivals in a time in which an upstream says something, from daemons that were told so in it, and neither stopped nor started since. */
  const fromTold = (index: number, { from, to }: Span, sent: Map<string, LoadedRequest>): ToldArrival[] => {
    const toldAt = new Map<number, number>();
    return node(index).upstream.arrivals.flatMap(({ requestId, at }) => {
      const { node: entry, at: sentAt } = sent.get(requestId)!;
      if (at < from || at > to) return [];
      const told = toldAt.get(entry) ?? at + WORK_MS;
      toldAt.set(entry, told);
      return isHarmed(entry, told, at) ? [] : [{ at, sentAt, told }];
    });
  };

  /** How many more came in the fullest window than may. */
  const beyond = (index: number, naming: Naming, sent: Map<string, LoadedRequest>): number => {
    const allowed = (BORNE_FACTOR * naming.rate * WINDOW_MS) / 1000 + BORNE_REQUESTS;
    const times = fromTold(index, naming, sent)
      .filter(({ at, told }) => at > told + TOLD_MS && at >= naming.from + HOLDS_AFTER_MS)
      .map(({ at }) => at);
    return Math.max(0, mostWithin(times, WINDOW_MS) - allowed);
  };

  /** Requests that came though their daemons had passed on in time that the upstream leaves. */
  const late = (index: number, leaving: Span, sent: Map<string, LoadedRequest>): ToldArrival[] =>
    fromTold(index, leaving, sent).filter(({ sentAt, told }) => sentAt > told + DRAIN_MS);

  it('get no more than they name, and nothing new once they leave', async function () {
    this.timeout(ROUNDS * ROUND_LIMIT_MS);
    const load = new SteadyLoad(fleet, { perSecond: PER_SECOND, hosts: ['history.example'] });
    for (let done = 0; done < ROUNDS; done++) await round();
    await load[Symbol.asyncDispose]();
    const sent = new Map(load.requests.map(request => [request.id, request]));
    histories.forEach(({ namings, leavings }, index) => {
      const place = `at upstream ${String(index)}, seed ${SEED}`;
      for (const naming of namings)
        expect(beyond(index, naming, sent), `beyond a limit ${place}`).to.equal(0);
      for (const leaving of leavings) expect(late(index, leaving, sent), `late ${place}`).to.deep.equal([]);
    });
    expect(load.requests.some(({ status }) => status === 200)).to.equal(true);
  });
});
