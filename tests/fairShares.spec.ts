import { Admission, levelOf } from '@cleatquay/admission';
import { ManualClock, NEVER_CANCELLED, type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';

const STEP_MS = 5;
const WORK_MS = 40;
const SLOTS = 9;
const QUIET_MS = 5000;
const HOT_MS = 15_000;
/** How far the worst tenth of organisations may be below the mean, as a share served. */
const WORST_TENTH_BELOW = 0.1;

/** An organisation's requests a second, usually and while it is hot. */
interface Load {
  readonly usual: number;
  readonly hot: number;
}

const STEADY: Load = { usual: 10, hot: 10 };
const steady = (count: number, load = STEADY) => Array.from({ length: count }, () => load);

/**
 * Answers to: an overloaded upstream to which one organisation sends many times its usual, within its quota. The order inside a class comes from the request's
 * id, so that every organisation is served the same share of what it sends, however much that is.
 */
describe('an upstream with too little room, and organisations of one importance', () => {
  const shares = async (loads: readonly Load[], seed: string): Promise<number[]> => {
    const clock = new ManualClock();
    const random = seededRandom(seed);
    const admission = new Admission({
      clock,
      random,
      classes: () => 2,
      slots: SLOTS,
      maxQueueMs: () => 50,
      cold: false,
    });
    const sent = loads.map(() => 0);
    const served = loads.map(() => 0);
    const ask = async (organisation: number, isHot: boolean) => {
      const level = levelOf(1, `${String(organisation)} ${String(random())}`);
      if (isHot) sent[organisation]!++;
      const permit = await admission.request(level, 1000, NEVER_CANCELLED);
      if (!('release' in permit)) return;
      if (isHot) served[organisation]!++;
      clock.after(WORK_MS + 20 * random(), () => permit.release('answered'));
    };
    for (let t = 0; t < QUIET_MS + HOT_MS; t += STEP_MS) {
      const isHot = t >= QUIET_MS;
      loads.forEach(({ usual, hot }, organisation) => {
        const due = arrivals(((isHot ? hot : usual) * STEP_MS) / 1000, random);
        for (let i = 0; i < due; i++) void ask(organisation, isHot);
      });
      clock.advance(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
    admission[Symbol.dispose]();
    return served.map((count, organisation) => count / Math.max(1, sent[organisation]!));
  };

  const played: Record<string, readonly Load[]> = {
    'that sends what its quota allows': [{ usual: 40, hot: 64 }, ...steady(19)],
    'that sends ten times its usual within a wide quota': [{ usual: 10, hot: 100 }, ...steady(19)],
    'that is large, while all send more': [{ usual: 80, hot: 112 }, ...steady(19, { usual: 6, hot: 8.4 })],
  };
  for (const [what, loads] of Object.entries(played)) {
    it(`take no more than their part beside one ${what}`, async () => {
      const inOrder = (await shares(loads, what)).sort((a, b) => a - b);
      const mean = inOrder.reduce((sum, share) => sum + share, 0) / inOrder.length;
      const worst = inOrder.slice(0, Math.ceil(inOrder.length / 10));
      const worstTenth = worst.reduce((sum, share) => sum + share, 0) / worst.length;
      expect(mean).to.be.below(0.95);
      expect(worstTenth).to.be.at.least(mean - WORST_TENTH_BELOW);
      expect(inOrder[0]).to.be.at.least(mean / 2);
    });
  }
});

/** How many come in a moment in which so many are expected (Poisson). */
function arrivals(expected: number, random: Random): number {
  const limit = Math.exp(-expected);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
