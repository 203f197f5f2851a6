import { type Quota, ShareLeases } from '@cleatquay/organisations';
import { expect } from 'chai';
import fc from 'fast-check';
import { QuotaSimulation } from './fixtures/quotaSimulation.js';

const WINDOW_S = 5;
const OVERSHOOT = 0.1;
const SLACK = 20;
const QUOTA: Quota = { perSecond: 40, burst: 40 };
const DAEMONS = [8, 7, 8];

/** What the users' rule allows to run in any window. */
function allowed({ perSecond, burst }: Quota): number {
  return (perSecond * WINDOW_S + burst) * (1 + OVERSHOOT) + SLACK;
}

function simulation(seed: string, quota = QUOTA): QuotaSimulation {
  return new QuotaSimulation({ seed, quota, slack: SLACK, daemonsADomain: DAEMONS });
}

describe('quotas of organisations over a fleet', () => {
  describe('an organisation that sends five times its quota', () => {
    it('gets its quota, and no more in any window', async () => {
      using fleet = simulation('hot');
      await fleet.pass(3000, 0, () => fleet.anyone());
      await fleet.pass(12_000, 200, () => fleet.anyone());
      expect(fleet.mostInWindow).to.be.at.most(allowed(QUOTA));
      expect(fleet.runs.length).to.be.at.least(12 * QUOTA.perSecond);
    });

    it('gets no more from the halves of a fleet that is cut in two, and each half goes on serving it', async () => {
      using fleet = simulation('cut');
      await fleet.pass(3000, 0, () => fleet.anyone());
      await fleet.pass(3000, 200, () => fleet.anyone());
      const half = new Set(fleet.nodes.filter((_, i) => i % 2 === 0));
      fleet.path = (a, b) => half.has(a) === half.has(b);
      const before = fleet.runs.length;
      await fleet.pass(8000, 200, () => fleet.anyone());
      expect(fleet.runs.length - before).to.be.at.least(6 * QUOTA.perSecond);
      fleet.path = () => true;
      await fleet.pass(6000, 200, () => fleet.anyone());
      expect(fleet.mostInWindow).to.be.at.most(allowed(QUOTA));
    });

    it('gets no more from daemons that all start again, one after the other and all at once', async () => {
      using fleet = simulation('restarts');
      await fleet.pass(3000, 0, () => fleet.anyone());
      for (let round = 0; round < 12; round++) {
        for (const node of fleet.nodes) if (round % 3 === 2 || fleet.random() < 0.3) fleet.restart(node);
        await fleet.pass(700, 200, () => fleet.anyone());
      }
      expect(fleet.mostInWindow).to.be.at.most(allowed(QUOTA));
    });

    it('gets no more from daemons whose VMs sleep, and wake up with what they had', async () => {
      using fleet = simulation('sleeps');
      await fleet.pass(3000, 0, () => fleet.anyone());
      for (let round = 0; round < 10; round++) {
        for (const node of fleet.nodes) if (fleet.random() < 0.3) fleet.suspend(node, 2000);
        await fleet.pass(1500, 200, () => fleet.anyone());
      }
      expect(fleet.mostInWindow).to.be.at.most(allowed(QUOTA));
    });

    it('gets the lower quota from one window after that came into force', async () => {
      using fleet = simulation('lowered');
      const lower = { perSecond: 10, burst: 10 };
      await fleet.pass(6000, 200, () => fleet.anyone());
      fleet.adopt(lower);
      fleet.runs.length = 0;
      await fleet.pass(8000, 200, () => fleet.anyone());
      expect(fleet.mostInWindow).to.be.at.most(allowed(lower));
    });

    it('is told when there is room again, each request another moment', async () => {
      using fleet = simulation('hints');
      await fleet.pass(3000, 0, () => fleet.anyone());
      await fleet.pass(3000, 200, () => fleet.anyone());
      const node = fleet.nodes[0]!;
      const hints: number[] = [];
      for (let i = 0; i < 10; i++) {
        void Promise.resolve(node.quotas.take('dairy', QUOTA)).then(taken => {
          if (taken.kind === 'over') hints.push(taken.retryAfterMs);
        });
        await fleet.pass(100, 200, () => fleet.anyone());
      }
      expect(hints.length).to.be.greaterThan(3);
      for (const hint of hints) expect(hint).to.be.within(1, 10_000);
      expect(new Set(hints).size).to.equal(hints.length);
    });
  });

  describe('an organisation that stays below its quota', () => {
    const shareServed = async (
      seed: string,
      place: (fleet: QuotaSimulation) => () => (typeof fleet.nodes)[0],
    ) => {
      using fleet = simulation(seed);
      await fleet.pass(4000, 0, () => fleet.anyone());
      await fleet.pass(15_000, 0.75 * QUOTA.perSecond, place(fleet));
      return fleet.counts.taken / fleet.counts.asked;
    };

    it('is served whole, though its callers press on two daemons of one failure domain', async () => {
      const served = await shareServed('skewed', fleet => () => fleet.oneOf(fleet.nodes.slice(0, 2)));
      expect(served).to.be.at.least(0.99);
    });

    it('is served whole from everywhere, also where its quota is a request a second for each of few daemons', async () => {
      expect(await shareServed('even', fleet => () => fleet.anyone())).to.be.at.least(0.99);
    });

    it('is served while the daemon that gives out is lost', async () => {
      using fleet = simulation('lost holder');
      await fleet.pass(4000, 30, () => fleet.anyone());
      const lost = new Set(fleet.nodes.filter((_, i) => i % 4 === 1));
      fleet.path = (a, b) => lost.has(a) === lost.has(b) && !lost.has(a);
      const others = fleet.nodes.filter(node => !lost.has(node));
      Object.assign(fleet.counts, { asked: 0, taken: 0 });
      await fleet.pass(10_000, 20, () => fleet.oneOf(others));
      expect(fleet.counts.taken / fleet.counts.asked).to.be.at.least(0.9);
    });
  });

  describe('through random histories of cuts, kills, sleeps, losses and lagging views', () => {
    it('never lets more run than is allowed', async function () {
      this.timeout(120_000);
      const step = fc.record({
        what: fc.constantFrom('cut', 'heal', 'restart', 'sleep', 'loss', 'calm'),
        share: fc.double({ min: 0.05, max: 0.9, noNaN: true }),
        forMs: fc.integer({ min: 200, max: 2500 }),
        load: fc.constantFrom(20, 60, 250),
      });
      const run = fc.asyncProperty(
        fc.string({ minLength: 1, maxLength: 8 }),
        fc.array(step, { minLength: 3, maxLength: 8 }),
        async (seed, steps) => {
          using fleet = simulation(seed);
          await fleet.pass(1500, 0, () => fleet.anyone());
          for (const { what, share, forMs, load } of steps) {
            const some = new Set(fleet.nodes.filter(() => fleet.random() < share));
            if (what === 'cut') fleet.path = (a, b) => some.has(a) === some.has(b);
            if (what === 'heal') fleet.path = () => true;
            if (what === 'restart') for (const node of some) fleet.restart(node);
            if (what === 'sleep') for (const node of some) fleet.suspend(node, forMs * 2);
            fleet.loss = what === 'loss' ? share / 2 : 0;
            await fleet.pass(forMs, load, () => fleet.anyone());
          }
          expect(fleet.mostInWindow).to.be.at.most(allowed(QUOTA));
        },
      );
      await fc.assert(run, { numRuns: 12 });
    });
  });

  describe('shares that are lent', () => {
    it('count only for as long as they are, and are told of when they are less', () => {
      const drops: number[] = [];
      const loans = new ShareLeases(current => drops.push(current));
      loans.add('a', 0.5, 400, 0);
      loans.add('b', 0.25, 800, 0);
      expect(loans.currentShare(100)).to.equal(0.75);
      expect(loans.fullShareMs(400)).to.be.closeTo(300, 1e-9);
      expect(loans.currentShare(500)).to.equal(0.25);
      expect(loans.fullShareMs(2000)).to.be.closeTo(400, 1e-9);
      expect(drops).to.deep.equal([0.25, 0]);
    });

    it('are not taken for longer than they can have been offered, nor when they are over, nor negative', () => {
      const loans = new ShareLeases(() => undefined);
      loans.add('far future', 0.5, 1e9, 0);
      loans.add('over', 0.5, -1, 0);
      loans.add('negative', -0.5, 100, 0);
      loans.add('nothing', Number.NaN, 100, 0);
      expect(loans.currentShare(10)).to.equal(0.5);
      expect(loans.currentShare(1000)).to.equal(0);
    });
  });
});
