import { ManualClock, seededRandom } from '@cleatquay/clock';
import { type Load, type ReportedLoad, emptyLoad } from '@cleatquay/protocol';
import { PeerStatistics, Router, UpstreamDirectory } from '@cleatquay/routing';
import { EVEN } from '@cleatquay/standins';
import { expect } from 'chai';
import fc from 'fast-check';
import { crc32 } from 'node:zlib';
import { type ChainLoad, type ChainResult, memberAt, simulateChains } from './fixtures/chainLoad.js';

const SLOTS = 12;
const WORK_MS = 44;
/** An upstream is slow for 0.15 of the time; the rest of its capacity is at the normal speed. */
const SLOW = { share: 0.15, factor: 2.5, ms: 600 };
const MEAN_CAPACITY = 1 - SLOW.share + SLOW.share / SLOW.factor;
const UNEVEN_SPEEDS = [0.6, 0.8, 1, 1.2, 1.4, 1.6];
const ALIKE_SPEEDS = [1, 1, 1, 1, 1, 1];
const SEEDS = ['1', '2', '3', '4'];

type Report = (load: ReportedLoad) => ReportedLoad | undefined;
/** Upstreams that report nothing get the choice by utilisation, which the first test shows to be unchanged. */
const NO_REPORT: Report = () => undefined;
const TRUE_REPORT: Report = load => load;

/** The p95 of a call in ms, and the ratio of calls that were served, at 75 % load from twelve daemons. */
async function simulate(speeds: readonly number[], report: Report, slow = SLOW) {
  const capacity = speeds.reduce((sum, speed) => sum + (1000 * SLOTS) / (WORK_MS * speed), 0);
  const perSecond = 0.75 * capacity * (slow.share === 0 ? 1 : MEAN_CAPACITY);
  const load: ChainLoad = {
    ...{ name: 'calls', rank: 1, perSecond, calls: 1, workMs: WORK_MS },
    ...{ leadMs: 0, betweenMs: 0, timeoutMs: 1000 },
  };
  const uneven = speeds.map(speed => ({ speed, slow, noise: 0.3 }));
  const service = { upstreams: speeds.length, slots: SLOTS, senders: 12, uneven, report };
  const times: number[] = [];
  const results: ChainResult[] = [];
  for (const seed of SEEDS)
    results.push(...(await simulateChains(service, [load], 8000, seed, ms => times.push(ms))));
  const sum = (field: keyof ChainResult) => results.reduce((total, result) => total + result[field], 0);
  times.sort((a, b) => a - b);
  return { p95: times[Math.floor(0.95 * times.length)]!, served: sum('served') / sum('sent') };
}

describe('the choice of an upstream by the expected time of a call', () => {
  let clock: ManualClock;
  let directory: UpstreamDirectory;
  let router: Router;

  beforeEach(() => {
    clock = new ManualClock();
    directory = new UpstreamDirectory();
  });

  const start = (upstreams: number) => {
    for (let i = 0; i < upstreams; i++) directory.update(memberAt(`u${String(i)}`, SLOTS));
    const options = { clock, random: seededRandom('call time'), directory };
    router = new Router({ ...options, self: 'me', failureDomain: 'a' });
  };
  const choose = () => {
    const selection = router.choose('scarce', 'r', 0, new Set());
    return selection.kind === 'chosen' ? selection.candidate.address : selection.kind;
  };
  const loadWith = (change: Partial<ReportedLoad> = {}): Load => {
    const reported = { running: 1, waiting: 0, slots: SLOTS, workTimePercent: 100, ageMs: 0, ...change };
    return { ...emptyLoad(), limit: SLOTS, reported };
  };
  /** Makes a call; the report is that of the response. */
  const call = (address: string, ms: number, report: Partial<ReportedLoad> = {}) => {
    const end = router.trackCall(address, 'r');
    clock.advance(ms);
    router.recordLoad(address, 'r', loadWith(report));
    end('answered');
  };
  const expectedMs = (address: string) =>
    router.statisticsSummary({ candidate: { address, failureDomain: 'a', slots: SLOTS } }, 'r').expectedMs!;

  it('is that of the less utilised of two random upstreams where no load is reported', () => {
    const operation = fc.record({
      kind: fc.constantFrom('choose', 'end', 'report', 'wait'),
      index: fc.nat(11),
      number: fc.nat(30),
    });
    fc.assert(
      fc.property(
        fc.integer({ min: 2, max: 12 }),
        fc.array(operation, { maxLength: 60 }),
        (n, operations) => {
          clock = new ManualClock();
          directory = new UpstreamDirectory();
          start(n);
          const random = seededRandom('call time');
          const model = Array.from({ length: n }, (_, i) => ({
            address: `u${String(i)}`,
            statistics: new PeerStatistics(clock),
          })).sort((a, b) => crc32(`me ${a.address}`) - crc32(`me ${b.address}`));
          const ends: (() => void)[] = [];
          for (const { kind, index, number } of operations) {
            const { address, statistics } = model[index % n]!;
            if (kind === 'wait') clock.advance(number);
            if (kind === 'end') ends.shift()?.();
            if (kind === 'report') {
              const load = { ...emptyLoad(), inFlight: number, limit: SLOTS };
              router.recordLoad(address, 'r', load);
              statistics.recordLoad('r', load);
            }
            if (kind !== 'choose') continue;
            const [first, second] = [0, 0].map(() => model[Math.floor(random() * n)]!);
            const isBetter = second!.statistics.utilisation(SLOTS) < first!.statistics.utilisation(SLOTS);
            const expected = isBetter ? second! : first!;
            expect(choose()).to.equal(expected.address);
            const end = router.trackCall(expected.address, 'r');
            const startedAt = expected.statistics.callStarted();
            ends.push(() => {
              end('refused');
              expected.statistics.callEnded('refused', startedAt);
            });
          }
        },
      ),
    );
  });

  describe('at 75 % load', () => {
    it('lowers p95 by at least a fifth where upstreams differ in speed and are slow at times', async () => {
      const [before, after] = [
        await simulate(UNEVEN_SPEEDS, NO_REPORT),
        await simulate(UNEVEN_SPEEDS, TRUE_REPORT),
      ];
      expect(after.p95).to.be.below(0.8 * before.p95);
      expect(after.served).to.be.at.least(before.served);
    });

    it('is no worse where all upstreams are alike', async () => {
      const [before, after] = [
        await simulate(ALIKE_SPEEDS, NO_REPORT, EVEN.slow),
        await simulate(ALIKE_SPEEDS, TRUE_REPORT, EVEN.slow),
      ];
      expect(after.p95).to.be.at.most(before.p95);
      expect(after.served).to.be.at.least(before.served);
    });

    it('is no worse where the reported work times are unrelated to the work', async () => {
      const random = seededRandom('unrelated');
      const before = await simulate(UNEVEN_SPEEDS, NO_REPORT);
      const after = await simulate(UNEVEN_SPEEDS, load => ({
        ...load,
        workTimePercent: 50 + Math.floor(random() * 400),
      }));
      expect(after.p95).to.be.at.most(before.p95);
      expect(after.served).to.be.at.least(before.served);
    });
  });

  /** Guards against herding: all calls between two reports would go to the upstream that looked best. */
  it('fills no upstream beyond its slots while others have free ones', () => {
    start(4);
    for (let i = 0; i < 20; i++) ['u0', 'u1', 'u2', 'u3'].forEach((u, j) => call(u, 10 + 4 * j));
    const counts = new Map<string, number>();
    for (let i = 0; i < 3.5 * SLOTS; i++) {
      const address = choose();
      router.trackCall(address, 'r');
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
    expect(Math.max(...counts.values())).to.be.at.most(SLOTS);
    expect(counts.get('u0')).to.be.above(counts.get('u3')!);
  });

  describe('the expected time', () => {
    beforeEach(() => {
      start(2);
      for (let i = 0; i < 40; i++) ['u0', 'u1'].forEach(address => call(address, 40));
    });

    it('rises with each call in progress', () => {
      let previous = 0;
      for (let i = 0; i < 2 * SLOTS; i++) {
        expect(expectedMs('u0')).to.be.at.least(previous);
        previous = expectedMs('u0');
        router.trackCall('u0', 'r');
      }
      expect(previous).to.be.above(100);
    });

    it('follows a reported work time, and returns to the measured time as the report ages', () => {
      router.recordLoad('u0', 'r', loadWith({ workTimePercent: 300 }));
      expect(expectedMs('u0')).to.be.within(90, 130);
      clock.advance(4000);
      expect(expectedMs('u0')).to.be.within(30, 46);
    });

    it('hardly follows a report that was old when it was sent', () => {
      router.recordLoad('u0', 'r', loadWith({ workTimePercent: 300, ageMs: 3000 }));
      expect(expectedMs('u0')).to.be.within(30, 46);
    });

    it('stops following reports that contradict the measured times', () => {
      for (let i = 0; i < 300; i++) call('u0', 40, { workTimePercent: i % 8 === 0 ? 400 : 100 });
      router.recordLoad('u0', 'r', loadWith({ workTimePercent: 400 }));
      expect(expectedMs('u0')).to.be.below(50);
    });

    it('is hardly changed by a single absurd report, or by more running requests than slots', () => {
      router.recordLoad('u0', 'r', loadWith({ workTimePercent: 100_000, slots: 1, running: 9 }));
      clock.advance(4000);
      expect(expectedMs('u0')).to.be.within(30, 46);
    });
  });

  it('finds within seconds that a slow upstream has recovered', () => {
    start(2);
    for (let i = 0; i < 40; i++) {
      call('u0', 20);
      call('u1', 100);
    }
    const share = () => {
      let count = 0;
      for (let i = 0; i < 500; i++) {
        const address = choose();
        call(address, 20);
        if (address === 'u1') count++;
      }
      return count / 500;
    };
    expect(share()).to.be.below(0.1);
    expect(share()).to.be.within(0.2, 0.8);
  });
});
