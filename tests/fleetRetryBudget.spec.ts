import { FleetRetryBudget } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';
import fc from 'fast-check';

const BOUNDS = { ratio: 0.2, extra: 49, windowMs: 10_000 };
const DAEMONS = 15;

describe('the retry budget of a fleet', () => {
  it('holds the retries of all daemons together to their share, in any window', () => {
    const step = fc.record({
      daemon: fc.nat(DAEMONS - 1),
      requests: fc.nat(20),
      tries: fc.nat(20),
      before: fc.constantFrom('not-run' as const, 'may-have-run' as const),
      pauseMs: fc.nat(1500),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 20, maxLength: 120 }), steps => {
        const clock = new ManualClock();
        const budgets = Array.from(
          { length: DAEMONS },
          () => new FleetRetryBudget(clock, BOUNDS, () => DAEMONS),
        );
        const events: { at: number; requests: number; retries: number }[] = [];
        for (const { daemon, requests, tries, before, pauseMs } of steps) {
          clock.advance(pauseMs);
          const budget = budgets[daemon]!;
          for (let i = 0; i < requests; i++) budget.requested('s');
          let retries = 0;
          for (let i = 0; i < tries; i++) if (budget.take('s', before)) retries++;
          events.push({ at: clock.now(), requests, retries });
        }
        for (const { at } of events) {
          const within = events.filter(e => e.at <= at && e.at > at - BOUNDS.windowMs);
          // As the users count it: requests of this window or of the one before, whichever has more.
          const earlier = events.filter(e => e.at <= at - BOUNDS.windowMs && e.at > at - 2 * BOUNDS.windowMs);
          const sum = (list: typeof events, of: 'requests' | 'retries') =>
            list.reduce((n, e) => n + e[of], 0);
          const requests = Math.max(sum(within, 'requests'), sum(earlier, 'requests'));
          expect(sum(within, 'retries')).to.be.at.most(BOUNDS.ratio * requests + BOUNDS.extra);
        }
      }),
    );
  });

  it('is there to be used by a daemon alone', () => {
    const budget = new FleetRetryBudget(new ManualClock(), BOUNDS, () => 1);
    expect(budget.take('s', 'not-run')).to.equal(true);
    expect(budget.take('s', 'may-have-run')).to.equal(true);
  });
});
