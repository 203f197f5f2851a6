import { FleetRetryBudget } from '@cleatquay/calls';
import { ManualClock, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import fc from 'fast-check';

const BOUNDS = { ratio: 0.2, extra: 49, windowMs: 10_000 };
const DAEMONS = 15;
const random = seededRandom('retries');

describe('the retry budget of a fleet', () => {
  it('limits the retries of all daemons together to a ratio of the requests, in any window', () => {
    const step = fc.record({
      daemon: fc.nat(DAEMONS - 1),
      requests: fc.nat(20),
      retryRequests: fc.nat(20),
      previousOutcome: fc.constantFrom('not-run' as const, 'may-have-run' as const),
      callsBefore: fc.nat(4),
      /** Place of the call among those that need retries, if its class is known. */
      order: fc.option(fc.double({ min: 0, max: 2.99, noNaN: true }), { nil: undefined }),
      /** Number of requests for each additional call that is made by a request that is itself a retry. */
      retryInterval: fc.integer({ min: 10, max: 50 }),
      gapMs: fc.nat(1500),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), steps => {
        const clock = new ManualClock();
        const budgets = Array.from(
          { length: DAEMONS },
          () => new FleetRetryBudget(clock, BOUNDS, () => DAEMONS),
        );
        const events: { at: number; requests: number; retries: number }[] = [];
        for (const {
          daemon,
          requests,
          retryRequests,
          previousOutcome,
          callsBefore,
          order,
          retryInterval,
          gapMs,
        } of steps) {
          clock.advance(gapMs);
          const budget = budgets[daemon]!;
          for (let i = 0; i < requests; i++) budget.countRequest('s', false, i % 3);
          let retries = Math.floor(requests / retryInterval);
          for (let i = 0; i < retries; i++) budget.countRequest('s', true);
          for (let i = 0; i < retryRequests; i++)
            if (budget.take('s', { previousOutcome, callsBefore, ...(order !== undefined && { order }) }))
              retries++;
          events.push({ at: clock.now(), requests, retries });
        }
        for (const { at } of events) {
          const within = events.filter(e => e.at <= at && e.at > at - BOUNDS.windowMs);
          // The limit refers to the requests of this window, of that half a window before or of the preceding one, whichever has most.
          const before = (ms: number) =>
            events.filter(e => e.at <= at - ms && e.at > at - ms - BOUNDS.windowMs);
          const windows = [within, before(BOUNDS.windowMs / 2), before(BOUNDS.windowMs)];
          const sum = (list: typeof events, of: 'requests' | 'retries') =>
            list.reduce((n, e) => n + e[of], 0);
          const requests = Math.max(...windows.map(window => sum(window, 'requests')));
          expect(sum(within, 'retries')).to.be.at.most(BOUNDS.ratio * requests + BOUNDS.extra);
        }
      }),
    );
  });

  it('allows retries to a single daemon', () => {
    const budget = new FleetRetryBudget(new ManualClock(), BOUNDS, () => 1);
    expect(budget.take('s', { previousOutcome: 'not-run', callsBefore: 0 })).to.equal(true);
    expect(budget.take('s', { previousOutcome: 'may-have-run', callsBefore: 1 })).to.equal(true);
  });

  it('is granted in the order of requests while there are enough retries for all', () => {
    const budget = new FleetRetryBudget(new ManualClock(), { ...BOUNDS, extra: 0 }, () => 1);
    for (let i = 0; i < 1000; i++) budget.countRequest('s', false);
    const granted = (callsBefore: number) => {
      let count = 0;
      for (let i = 0; i < 200; i++)
        if (budget.take('s', { previousOutcome: 'not-run', callsBefore })) count++;
      return count;
    };
    expect(granted(0)).to.equal(160);
    expect(granted(3)).to.equal(0);
  });

  it('favours calls of requests that have made more calls before, when retries are scarce', () => {
    const clock = new ManualClock();
    const budget = new FleetRetryBudget(clock, { ...BOUNDS, extra: 0 }, () => 1);
    for (let second = 0; second < 10; second++) {
      clock.advance(1000);
      for (let i = 0; i < 100; i++) budget.countRequest('s', false);
    }
    const granted = [0, 0, 0, 0];
    for (let i = 0; i < 400; i++) {
      const callsBefore = i % granted.length;
      if (budget.take('s', { previousOutcome: 'not-run', callsBefore })) granted[callsBefore]!++;
    }
    expect(granted[0]).to.be.at.most(15);
    expect(granted[3]).to.be.at.least(50);
  });

  it('is charged for calls that a retried request makes again', () => {
    const budget = new FleetRetryBudget(new ManualClock(), { ...BOUNDS, extra: 0 }, () => 1);
    for (let i = 0; i < 1000; i++) budget.countRequest('s', false);
    for (let i = 0; i < 160; i++) budget.countRequest('s', true);
    expect(budget.take('s', { previousOutcome: 'not-run', callsBefore: 1 })).to.equal(false);
  });

  describe('while a service sheds', () => {
    /** Requests a second, and how many retries each of them needs. */
    interface Demand {
      readonly order: () => number;
      readonly callsBefore?: number;
      readonly requests: number;
      readonly retries: number;
    }

    /** Ratios of the requested retries that are granted in 5 s after 10 s of the same requests without retries. */
    function grantedRatios(demands: readonly Demand[]): number[] {
      const clock = new ManualClock();
      const budget = new FleetRetryBudget(clock, BOUNDS, () => 1);
      const granted = demands.map(() => 0);
      const requested = demands.map(() => 0);
      for (let tick = 0; tick < 150; tick++) {
        clock.advance(100);
        demands.forEach(({ order, callsBefore = 0, requests, retries }, index) => {
          for (let i = 0; i < requests / 10; i++) budget.countRequest('s', false);
          for (let i = 0; tick >= 100 && i < retries / 10; i++) {
            requested[index]!++;
            const retry = { previousOutcome: 'not-run' as const, callsBefore, order: order() };
            if (budget.take('s', retry)) granted[index]!++;
          }
        });
      }
      return granted.map((count, index) => count / requested[index]!);
    }

    it('serves the top class although lower classes request most retries', () => {
      const [top, lower] = grantedRatios([
        { order: () => 0.5 + random() / 4, requests: 200, retries: 240 },
        { order: () => 2.5 + random() / 4, requests: 1000, retries: 1200 },
      ]);
      expect(top).to.be.above(0.95);
      expect(lower).to.be.within(0.02, 0.15);
    });

    it('leaves to lower classes what the top class does not need', () => {
      const [top, lower] = grantedRatios([
        { order: () => 0.1, requests: 50, retries: 60 },
        { order: () => 1.1, requests: 1000, retries: 200 },
        { order: () => 1.9, requests: 1000, retries: 1200 },
      ]);
      expect(top).to.be.above(0.95);
      expect(lower).to.be.above(0.95);
    });

    it('completes chains of lower classes that are half done while the top class needs more than there are', () => {
      const [late, early, lower] = grantedRatios([
        { order: () => random(), callsBefore: 5, requests: 100, retries: 60 },
        { order: () => random(), requests: 700, retries: 600 },
        { order: () => 2 + random(), callsBefore: 2, requests: 100, retries: 60 },
      ]);
      expect(late).to.be.above(0.95);
      expect(lower).to.be.above(0.95);
      expect(early).to.be.within(0.1, 0.5);
    });

    it('gives back a retry that no upstream received', () => {
      const clock = new ManualClock();
      const budget = new FleetRetryBudget(clock, { ...BOUNDS, extra: 0 }, () => 1);
      for (let i = 0; i < 20; i++) budget.countRequest('s', false);
      const retry = { previousOutcome: 'not-run' as const, callsBefore: 0, order: 0.5 };
      const takeAll = () => {
        let taken = 0;
        while (budget.take('s', retry)) taken++;
        return taken;
      };
      const taken = takeAll();
      expect(taken).to.be.above(0);
      budget.giveBack('s', { retry, at: clock.now() });
      expect(takeAll()).to.equal(1);
      clock.advance(2 * BOUNDS.windowMs + 1000);
      budget.countRequest('s', false);
      budget.giveBack('s', { retry, at: 0 });
      expect(takeAll()).to.be.at.most(taken);
    });

    it('gives some chains of a lower class all retries rather than all chains some of them', () => {
      const part = (from: number) => () => from + random() / 16;
      const ratios = grantedRatios(
        [2, 2.25, 2.5, 2.75].map(from => ({ order: part(from), requests: 500, retries: 500 })),
      );
      expect(ratios[0]).to.be.above(0.9);
      expect(ratios[3]).to.be.below(0.1);
    });
  });
});
