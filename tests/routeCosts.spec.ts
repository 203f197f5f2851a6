import { RouteCosts } from '@cleatquay/admission';
import { expect } from 'chai';
import fc from 'fast-check';

const RUNS = 50;

/** Costs of an upstream that ran as many expensive requests as cheap ones, each `ratio` times as long. */
function costsOf(ratio: number): RouteCosts {
  const costs = new RouteCosts();
  for (let i = 0; i < RUNS; i++) {
    costs.recordRun('cheap', 10);
    costs.recordRun('expensive', 10 * ratio);
  }
  return costs;
}

describe('costs of root requests by route', () => {
  const levels = fc.double({ min: 0, max: 3, maxExcluded: true, noNaN: true });
  const ratios = fc.double({ min: 1, max: 100, noNaN: true });

  it('keep the order among requests of a route, and their class', () => {
    fc.assert(
      fc.property(ratios, levels, levels, (ratio, a, b) => {
        const costs = costsOf(ratio);
        const [first, second] = [Math.min(a, b), Math.max(a, b)].map(level =>
          costs.queueLevel('expensive', level),
        );
        expect(first).to.be.at.most(second!);
        expect(Math.floor(first!)).to.equal(Math.floor(Math.min(a, b)));
      }),
    );
  });

  it('never change the level of a cheap request, and never admit an expensive one earlier', () => {
    fc.assert(
      fc.property(ratios, levels, (ratio, level) => {
        const costs = costsOf(ratio);
        expect(costs.queueLevel('cheap', level)).to.equal(level);
        expect(costs.queueLevel('expensive', level)).to.be.at.least(level);
      }),
    );
  });

  it('leave expensive requests admitted at least half as often as cheap ones, at any admission level', () => {
    fc.assert(
      fc.property(
        ratios,
        fc.integer({ min: 0, max: 2 }),
        fc.double({ min: 0.01, max: 1, noNaN: true }),
        (ratio, rank, share) => {
          const rootLevel = costsOf(ratio).rootAdmissionLevel('expensive', rank + share) - rank;
          expect(rootLevel).to.be.at.least(share / 2 - 1e-9);
        },
      ),
    );
  });

  it('give the admission level at which the queue would refuse the request', () => {
    fc.assert(
      fc.property(ratios, levels, levels, (ratio, level, refusedFrom) => {
        const costs = costsOf(ratio);
        const rootLevel = costs.rootAdmissionLevel('expensive', refusedFrom);
        fc.pre(Math.abs(level - rootLevel) > 1e-6);
        expect(costs.queueLevel('expensive', level) < refusedFrom).to.equal(level < rootLevel);
      }),
    );
  });
});
