import { type Quota, ShareLeases } from '@cleatquay/organisations';
import { expect } from 'chai';
import fc from 'fast-check';
import { QuotaSimulation } from './fixtures/quotaSimulation.js';

const WINDOW_S = 5;
const OVERSHOOT_RATIO = 0.1;
const SLACK = 20;
const QUOTA: Quota = { perSecond: 40, burst: 40 };
const DAEMONS = [8, 7, 8];

/** Maximum number of requests that may run in any window. */
function allowedInWindow({ perSecond, burst }: Quota): number {
  return (perSecond * WINDOW_S + burst) * (1 + OVERSHOOT_RATIO) + SLACK;
}

function simulation(seed: string, quota = QUOTA): QuotaSimulation {
  return new QuotaSimulation({ seed, quota, slack: SLACK, daemonsPerDomain: DAEMONS });
}

describe('quotas of organisations across a fleet', () => {
  describe('an organisation that sends five times its quota', () => {
    it('gets its quota and no more in any window', async () => {
      using fleet = simulation('hot');
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      await fleet.advance(12_000, 200, () => fleet.pickAnyNode());
      expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(QUOTA));
      expect(fleet.runs.length).to.be.at.least(12 * QUOTA.perSecond);
    });

    it('gets no more in a network partition, and is served on both sides', async () => {
      using fleet = simulation('cut');
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      await fleet.advance(3000, 200, () => fleet.pickAnyNode());
      const half = new Set(fleet.nodes.filter((_, i) => i % 2 === 0));
      fleet.isConnected = (a, b) => half.has(a) === half.has(b);
      const before = fleet.runs.length;
      await fleet.advance(8000, 200, () => fleet.pickAnyNode());
      expect(fleet.runs.length - before).to.be.at.least(6 * QUOTA.perSecond);
      fleet.isConnected = () => true;
      await fleet.advance(6000, 200, () => fleet.pickAnyNode());
      expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(QUOTA));
    });

    it('gets no more when daemons restart, one by one or all at once', async () => {
      using fleet = simulation('restarts');
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      for (let round = 0; round < 12; round++) {
        for (const node of fleet.nodes) if (round % 3 === 2 || fleet.random() < 0.3) fleet.restart(node);
        await fleet.advance(700, 200, () => fleet.pickAnyNode());
      }
      expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(QUOTA));
    });

    it('gets no more from VMs that are suspended and resumed with their state', async () => {
      using fleet = simulation('sleeps');
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      for (let round = 0; round < 10; round++) {
        for (const node of fleet.nodes) if (fleet.random() < 0.3) fleet.suspend(node, 2000);
        await fleet.advance(1500, 200, () => fleet.pickAnyNode());
      }
      expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(QUOTA));
    });

    it('gets no more although daemons divide its quota by fewer members than there are, in favour of one coordinator', async () => {
      using fleet = simulation('few members');
      fleet.shareCountSeenBy = () => 2;
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      await fleet.advance(8000, 300, () => fleet.pickAnyNode());
      expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(QUOTA));
    });

    it('gets no more while the coordinator changes again and again, although each grants ahead', async () => {
      const quota = { perSecond: 100, burst: 5 };
      using fleet = new QuotaSimulation({ seed: 'coordinators', quota, slack: 2, daemonsPerDomain: [8] });
      let excluded = 0;
      fleet.isKnown = (_, other) => fleet.nodes.indexOf(other) % 2 === excluded;
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      for (let round = 0; round < 14; round++) {
        await fleet.advance(900, 500, () => fleet.pickAnyNode());
        excluded = 1 - excluded;
      }
      expect(fleet.maxInWindow).to.be.at.most((100 * WINDOW_S + 5) * (1 + OVERSHOOT_RATIO) + 2);
    });

    it('is limited to a lower quota one window after that became active', async () => {
      using fleet = simulation('lowered');
      const lowerQuota = { perSecond: 10, burst: 10 };
      await fleet.advance(6000, 200, () => fleet.pickAnyNode());
      fleet.adopt(lowerQuota);
      fleet.runs.length = 0;
      await fleet.advance(8000, 200, () => fleet.pickAnyNode());
      expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(lowerQuota));
    });

    it('gets a different retry time for each refused request', async () => {
      using fleet = simulation('hints');
      await fleet.advance(3000, 0, () => fleet.pickAnyNode());
      await fleet.advance(3000, 200, () => fleet.pickAnyNode());
      const node = fleet.nodes[0]!;
      const hints: number[] = [];
      for (let i = 0; i < 10; i++) {
        void Promise.resolve(node.quotas.acquire('dairy', QUOTA)).then(decision => {
          if (decision.kind === 'over') hints.push(decision.retryAfterMs);
        });
        await fleet.advance(100, 200, () => fleet.pickAnyNode());
      }
      expect(hints.length).to.be.greaterThan(3);
      for (const hint of hints) expect(hint).to.be.within(1, 10_000);
      expect(new Set(hints).size).to.equal(hints.length);
    });
  });

  describe('an organisation that stays below its quota', () => {
    const servedRatio = async (
      seed: string,
      nodeSelector: (fleet: QuotaSimulation) => () => (typeof fleet.nodes)[0],
    ) => {
      using fleet = simulation(seed);
      await fleet.advance(4000, 0, () => fleet.pickAnyNode());
      await fleet.advance(15_000, 0.75 * QUOTA.perSecond, nodeSelector(fleet));
      return fleet.counts.taken / fleet.counts.requests;
    };

    it('is served completely, even if its callers use only two daemons of one failure domain', async () => {
      const served = await servedRatio('skewed', fleet => () => fleet.pickNode(fleet.nodes.slice(0, 2)));
      expect(served).to.be.at.least(0.99);
    });

    it('is served completely if its callers use all daemons, whose shares are about two requests per second', async () => {
      expect(await servedRatio('even', fleet => () => fleet.pickAnyNode())).to.be.at.least(0.99);
    });

    it('is served while a quota coordinator fails', async () => {
      using fleet = simulation('lost holder');
      await fleet.advance(4000, 30, () => fleet.pickAnyNode());
      const failed = new Set(fleet.nodes.filter((_, i) => i % 4 === 1));
      fleet.isConnected = (a, b) => failed.has(a) === failed.has(b) && !failed.has(a);
      const others = fleet.nodes.filter(node => !failed.has(node));
      Object.assign(fleet.counts, { requests: 0, taken: 0 });
      await fleet.advance(10_000, 20, () => fleet.pickNode(others));
      expect(fleet.counts.taken / fleet.counts.requests).to.be.at.least(0.9);
    });
  });

  describe('under random partitions, restarts, suspensions, packet loss and stale membership', () => {
    it('never runs more requests than allowed', async function () {
      this.timeout(120_000);
      const step = fc.record({
        fault: fc.constantFrom('partition', 'heal', 'restart', 'suspend', 'loss', 'none'),
        share: fc.double({ min: 0.05, max: 0.9, noNaN: true }),
        forMs: fc.integer({ min: 200, max: 2500 }),
        load: fc.constantFrom(20, 60, 250),
      });
      const run = fc.asyncProperty(
        fc.string({ minLength: 1, maxLength: 8 }),
        fc.array(step, { minLength: 3, maxLength: 8 }),
        async (seed, steps) => {
          using fleet = simulation(seed);
          await fleet.advance(1500, 0, () => fleet.pickAnyNode());
          for (const { fault, share, forMs, load } of steps) {
            const affected = new Set(fleet.nodes.filter(() => fleet.random() < share));
            if (fault === 'partition') fleet.isConnected = (a, b) => affected.has(a) === affected.has(b);
            if (fault === 'heal') fleet.isConnected = () => true;
            if (fault === 'restart') for (const node of affected) fleet.restart(node);
            if (fault === 'suspend') for (const node of affected) fleet.suspend(node, forMs * 2);
            fleet.loss = fault === 'loss' ? share / 2 : 0;
            await fleet.advance(forMs, load, () => fleet.pickAnyNode());
          }
          expect(fleet.maxInWindow).to.be.at.most(allowedInWindow(QUOTA));
        },
      );
      await fc.assert(run, { numRuns: 12 });
    });
  });

  describe('leased shares', () => {
    it('count until they expire, and report decreases', () => {
      const decreases: number[] = [];
      const leases = new ShareLeases(current => decreases.push(current));
      leases.add('a', 0.5, 400, 0);
      leases.add('b', 0.25, 800, 0);
      expect(leases.currentShare(100)).to.equal(0.75);
      expect(leases.fullShareMs(400)).to.be.closeTo(300, 1e-9);
      expect(leases.currentShare(500)).to.equal(0.25);
      expect(leases.fullShareMs(2000)).to.be.closeTo(400, 1e-9);
      expect(decreases).to.deep.equal([0.25, 0]);
    });

    it('count no more than the whole, however many there are', () => {
      const leases = new ShareLeases(() => undefined);
      leases.add('a', 1, 400, 0);
      leases.add('b', 0.75, 800, 0);
      expect(leases.currentShare(100)).to.equal(1);
      expect(leases.fullShareMs(100)).to.be.closeTo(100, 1e-9);
      expect(leases.fullShareMs(800)).to.be.closeTo(400 + 0.75 * 400, 1e-9);
    });

    it('are limited to the lease duration, and ignored if expired or not positive', () => {
      const leases = new ShareLeases(() => undefined);
      leases.add('far future', 0.5, 1e9, 0);
      leases.add('over', 0.5, -1, 0);
      leases.add('negative', -0.5, 100, 0);
      leases.add('not a number', Number.NaN, 100, 0);
      expect(leases.currentShare(10)).to.equal(0.5);
      expect(leases.currentShare(1000)).to.equal(0);
    });
  });
});
