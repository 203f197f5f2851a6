import { FleetRetryBudget } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';
import fc from 'fast-check';

const BOUNDS = { ratio: 0.2, extra: 49, windowMs: 10_000 };
const DAEMONS = 15;

describe('the retry budget of a fleet', () => {
  it('limits the retries of all daemons together to a ratio of the requests, in any window', () => {
    const step = fc.record({
      daemon: fc.nat(DAEMONS - 1),
      requests: fc.nat(20),
      retryRequests: fc.nat(20),
      previousOutcome: fc.constantFrom('not-run' as const, 'may-have-run' as const),
      callsBefore: fc.nat(4),
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
          retryInterval,
          gapMs,
        } of steps) {
          clock.advance(gapMs);
          const budget = budgets[daemon]!;
          for (let i = 0; i < requests; i++) budget.countRequest('s', false);
          let retries = Math.floor(requests / retryInterval);
          for (let i = 0; i < retries; i++) budget.countRequest('s', true);
          for (let i = 0; i < retryRequests; i++)
            if (budget.take('s', { previousOutcome, callsBefore })) retries++;
          events.push({ at: clock.now(), requests, retries });
        }
        for (const { at } of events) {
          const within = events.filter(e => e.at <= at && e.at > at - BOUNDS.windowMs);
          // The limit refers to the requests of this window or of the preceding one, whichever has more.
          const earlier = events.filter(e => e.at <= at - BOUNDS.windowMs && e.at > at - 2 * BOUNDS.windowMs);
          const sum = (list: typeof events, of: 'requests' | 'retries') =>
            list.reduce((n, e) => n + e[of], 0);
          const requests = Math.max(sum(within, 'requests'), sum(earlier, 'requests'));
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
});
