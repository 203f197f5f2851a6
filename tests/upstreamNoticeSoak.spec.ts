/**
 * Upstreams set, change and remove rate limits, and report in their responses that they are shutting down while their
 * heartbeats report ready. Meanwhile some of the daemons, which are processes, are suspended, killed and restarted,
 * rejected by the store, or left with unresponsive connections, at random and several at once. The requests that each
 * upstream receives are compared with what it reported. `CLEATQUAY_SEED` sets the seed, `CLEATQUAY_ROUNDS` the length.
 */
import { type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode, type ProcessVm } from './fixtures/platformProcesses.js';
import { FAULTS } from './fixtures/processFaults.js';
import { type LoadRequest, SteadyLoad } from './fixtures/steadyLoad.js';
import { maxCountInWindow } from './fixtures/maxCountInWindow.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 5);
const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUND_TIMEOUT_MS = 20_000;
const REQUESTS_PER_SECOND = 150;
const WORK_MS = 60;
const MAX_FAULTS = 3;
const MAX_BEFORE_MS = 1500;
const MAX_AFTER_MS = 3500;
const RESTART_DELAY_MS = 300;

const LIMITED_RATIO = 0.5;
const SHUTDOWN_RATIO = 0.3;
const RATES = [0, 1, 4, 12, 20];

/**
 * What is checked: the time until a rate limit is effective, its window, and what is tolerated above it; the time until
 * an upstream is drained.
 */
const EFFECTIVE_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const TOLERATED_RATIO = 1.5;
const TOLERATED_REQUESTS = 5;
const DRAIN_TIMEOUT_MS = 2000;
/** Only requests from daemons that had forwarded such a response this long before count. */
const NOTICE_MARGIN_MS = 500;
/** How long a daemon counts as affected after the end of a fault. */
const RECOVERY_MS = 3000;

const VMS: ProcessVm[] = ['z1', 'z1', 'z1', 'z2', 'z2', 'z2'].map(failureDomain => ({
  service: 'history',
  failureDomain,
}));

/** A time span, ms of `performance.now()`. */
interface Span {
  readonly from: number;
  to: number;
}

/** A time span in which an upstream reports a rate limit. */
interface RateLimitSpan extends Span {
  readonly rate: number;
}

/** A request received from a daemon that had seen the notice; times of `performance.now()`, ms. */
interface InformedRequest {
  readonly at: number;
  readonly sentAt: number;
  /** When its ingress daemon forwarded a response with the notice. */
  readonly noticeAt: number;
}

/** What one upstream reports, and the faults of the daemon on its VM. */
interface UpstreamHistory {
  readonly rateLimits: RateLimitSpan[];
  readonly shutdowns: Span[];
  readonly faults: Span[];
}

describe('upstreams that report limits and shut down during faults, with daemons as processes', () => {
  let fleet: ProcessFleet;
  let random: Random;
  let histories: UpstreamHistory[];

  before(() => ProcessFleet.build());

  beforeEach(async () => {
    random = seededRandom(`upstream notices ${SEED}`);
    histories = VMS.map(() => ({ rateLimits: [], shutdowns: [], faults: [] }));
    fleet = await ProcessFleet.start(VMS, [routeTo('history')]);
    for (const { upstream } of fleet.nodes)
      Object.assign(upstream.behaviour, { workMs: WORK_MS, restartDelayMs: RESTART_DELAY_MS });
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const randomBelow = (count: number) => Math.floor(random() * count);
  const pick = <T>(list: readonly T[]): T => list[randomBelow(list.length)]!;
  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  const node = (index: number): ProcessNode => fleet.nodes[index]!;
  const open = (spans: Span[]) => spans.find(({ to }) => to === Number.POSITIVE_INFINITY);
  const close = (spans: Span[]) => {
    const span = open(spans);
    if (span) span.to = performance.now();
  };
  const begin = () => ({ from: performance.now(), to: Number.POSITIVE_INFINITY });

  const changeRateLimit = (index: number) => {
    const { rateLimits } = histories[index]!;
    close(rateLimits);
    const rate = random() < LIMITED_RATIO ? pick(RATES) : undefined;
    node(index).upstream.behaviour.rateLimit = rate === undefined ? undefined : String(rate);
    if (rate !== undefined) rateLimits.push({ ...begin(), rate });
  };

  const startShutdown = (index: number) => {
    node(index).upstream.behaviour.saysLeaving = true;
    histories[index]!.shutdowns.push(begin());
  };

  /** Restarts the upstream. Its next process reports nothing at first. */
  const restartUpstream = async (index: number) => {
    const { upstream } = node(index);
    const restarted = upstream.crash();
    Object.assign(upstream.behaviour, { saysLeaving: false, rateLimit: undefined });
    close(histories[index]!.rateLimits);
    close(histories[index]!.shutdowns);
    await restarted;
  };

  const injectFault = (): (() => Promise<void>) => {
    const index = randomBelow(VMS.length);
    const fault = begin();
    histories[index]!.faults.push(fault);
    const stop = FAULTS[pick(Object.keys(FAULTS))]!(node(index));
    return async () => {
      await stop();
      fault.to = performance.now() + RECOVERY_MS;
    };
  };

  const runRound = async () => {
    const shuttingDown = VMS.map((_, index) => index).filter(() => random() < SHUTDOWN_RATIO / 2);
    VMS.forEach((_, index) => changeRateLimit(index));
    shuttingDown.forEach(startShutdown);
    await sleep(randomBelow(MAX_BEFORE_MS));
    const stopFaults = Array.from({ length: 1 + randomBelow(MAX_FAULTS) }, injectFault);
    await sleep(EFFECTIVE_AFTER_MS + randomBelow(MAX_AFTER_MS));
    await Promise.all(stopFaults.map(stop => stop()));
    await sleep(randomBelow(MAX_BEFORE_MS));
    await Promise.all(shuttingDown.map(restartUpstream));
  };

  const isAffected = (index: number, from: number, to: number) =>
    histories[index]!.faults.some(fault => fault.from <= to && fault.to >= from);

  /**
   * Requests received in a time span in which an upstream reports something, from daemons that saw that notice in it and
   * had no fault since.
   */
  const fromInformedDaemons = (
    index: number,
    { from, to }: Span,
    sent: Map<string, LoadRequest>,
  ): InformedRequest[] => {
    const noticeTimes = new Map<number, number>();
    return node(index).upstream.receivedRequests.flatMap(({ requestId, at }) => {
      const { node: ingress, at: sentAt } = sent.get(requestId)!;
      if (at < from || at > to) return [];
      const noticeAt = noticeTimes.get(ingress) ?? at + WORK_MS;
      noticeTimes.set(ingress, noticeAt);
      return isAffected(ingress, noticeAt, at) ? [] : [{ at, sentAt, noticeAt }];
    });
  };

  /** Number of requests above the limit in the fullest window. */
  const excess = (index: number, limitSpan: RateLimitSpan, sent: Map<string, LoadRequest>): number => {
    const allowed = (TOLERATED_RATIO * limitSpan.rate * WINDOW_MS) / 1000 + TOLERATED_REQUESTS;
    const times = fromInformedDaemons(index, limitSpan, sent)
      .filter(
        ({ at, noticeAt }) => at > noticeAt + NOTICE_MARGIN_MS && at >= limitSpan.from + EFFECTIVE_AFTER_MS,
      )
      .map(({ at }) => at);
    return Math.max(0, maxCountInWindow(times, WINDOW_MS) - allowed);
  };

  /** Requests sent by daemons too long after these forwarded the notice that the upstream is shutting down. */
  const lateRequests = (index: number, shutdown: Span, sent: Map<string, LoadRequest>): InformedRequest[] =>
    fromInformedDaemons(index, shutdown, sent).filter(
      ({ sentAt, noticeAt }) => sentAt > noticeAt + DRAIN_TIMEOUT_MS,
    );

  it('get no more requests than they report, and none once they shut down', async function () {
    this.timeout(ROUNDS * ROUND_TIMEOUT_MS);
    const load = new SteadyLoad(fleet, { perSecond: REQUESTS_PER_SECOND, hosts: ['history.example'] });
    for (let done = 0; done < ROUNDS; done++) await runRound();
    await load[Symbol.asyncDispose]();
    const sent = new Map(load.requests.map(request => [request.id, request]));
    histories.forEach(({ rateLimits, shutdowns }, index) => {
      const location = `at upstream ${String(index)}, seed ${SEED}`;
      for (const limitSpan of rateLimits)
        expect(excess(index, limitSpan, sent), `above a limit ${location}`).to.equal(0);
      for (const shutdown of shutdowns)
        expect(
          lateRequests(index, shutdown, sent),
          `requests after the shutdown notice ${location}`,
        ).to.deep.equal([]);
    });
    expect(load.requests.some(({ status }) => status === 200)).to.equal(true);
  });
});
