import { RouteCosts } from '@cleatquay/admission';
import { expect } from 'chai';
import fc from 'fast-check';

const RUNS = 50;

/** Costs of an upstream that ran as many dear requests as cheap ones, the dear `ratio` times as long. */
function costsOf(ratio: number): RouteCosts {
  const costs = new RouteCosts();
  for (let i = 0; i < RUNS; i++) {
    costs.ran('cheap', 10);
    costs.ran('dear', 10 * ratio);
  }
  return costs;
}

describe('what fresh requests of a route cost', () => {
  const levels = fc.double({ min: 0, max: 3, maxExcluded: true, noNaN: true });
  const ratios = fc.double({ min: 1, max: 100, noNaN: true });

  it('keeps the order among requests of a route, and their class', () => {
    fc.assert(
      fc.property(ratios, levels, levels, (ratio, a, b) => {
        const costs = costsOf(ratio);
        const [first, second] = [Math.min(a, b), Math.max(a, b)].map(level =>
          costs.levelInQueue('dear', level),
        );
        expect(first).to.be.at.most(second!);
        expect(Math.floor(first!)).to.equal(Math.floor(Math.min(a, b)));
      }),
    );
  });

  it('never moves a cheap request, and a dear one only back', () => {
    fc.assert(
      fc.property(ratios, levels, (ratio, level) => {
        const costs = costsOf(ratio);
        expect(costs.levelInQueue('cheap', level)).to.equal(level);
        expect(costs.levelInQueue('dear', level)).to.be.at.least(level);
      }),
    );
  });

  it('admits the dear at least half as often as the cheap, wherever the level is', () => {
    fc.assert(
      fc.property(
        ratios,
        fc.integer({ min: 0, max: 2 }),
        fc.double({ min: 0.01, max: 1, noNaN: true }),
        (ratio, rank, share) => {
          const told = costsOf(ratio).levelForFresh('dear', rank + share) - rank;
          expect(told).to.be.at.least(share / 2 - 1e-9);
        },
      ),
    );
  });

  it('tells the level at which the queue would refuse the request', () => {
    fc.assert(
      fc.property(ratios, levels, levels, (ratio, level, refusedFrom) => {
        const costs = costsOf(ratio);
        const told = costs.levelForFresh('dear', refusedFrom);
        fc.pre(Math.abs(level - told) > 1e-6);
        expect(costs.levelInQueue('dear', level) < refusedFrom).to.equal(level < told);
      }),
    );
  });
});
