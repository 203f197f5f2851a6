import { Admission, requestLevel } from '@cleatquay/admission';
import { ManualClock, NEVER_CANCELLED, type Random, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';

const STEP_MS = 5;
const SERVICE_MS = 40;
const SLOTS = 9;
const WARMUP_MS = 5000;
const PEAK_MS = 15_000;
/** Maximum difference between the mean served ratio and that of the worst tenth of organisations. */
const MAX_WORST_TENTH_DEFICIT = 0.1;

/** Requests per second of an organisation, usually and during the peak. */
interface Load {
  readonly usual: number;
  readonly peak: number;
}

const CONSTANT_LOAD: Load = { usual: 10, peak: 10 };
const constantLoads = (count: number, load = CONSTANT_LOAD) => Array.from({ length: count }, () => load);

/**
 * Guards against: on an overloaded upstream, one organisation that sends many times its usual load within its quota crowds out the others. The order
 * within a class derives from the request id, so that every organisation has the same ratio of its requests served, however many it sends.
 */
describe('an overloaded upstream, and organisations of the same priority', () => {
  const servedRatios = async (loads: readonly Load[], seed: string): Promise<number[]> => {
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
    const send = async (organisation: number, isPeak: boolean) => {
      const level = requestLevel(1, `${String(organisation)} ${String(random())}`);
      if (isPeak) sent[organisation]!++;
      const permit = await admission.request(level, 1000, NEVER_CANCELLED);
      if (!('release' in permit)) return;
      if (isPeak) served[organisation]!++;
      clock.after(SERVICE_MS + 20 * random(), () => permit.release('answered'));
    };
    for (let t = 0; t < WARMUP_MS + PEAK_MS; t += STEP_MS) {
      const isPeak = t >= WARMUP_MS;
      loads.forEach(({ usual, peak }, organisation) => {
        const count = poisson(((isPeak ? peak : usual) * STEP_MS) / 1000, random);
        for (let i = 0; i < count; i++) void send(organisation, isPeak);
      });
      clock.advance(STEP_MS);
      await new Promise(resolve => setImmediate(resolve));
    }
    admission[Symbol.dispose]();
    return served.map((count, organisation) => count / Math.max(1, sent[organisation]!));
  };

  // Each name is also the seed of its scenario.
  const scenarios: Record<string, readonly Load[]> = {
    'that sends what its quota allows': [{ usual: 40, peak: 64 }, ...constantLoads(19)],
    'that sends ten times its usual within a wide quota': [{ usual: 10, peak: 100 }, ...constantLoads(19)],
    'that is large, while all send more': [
      { usual: 80, peak: 112 },
      ...constantLoads(19, { usual: 6, peak: 8.4 }),
    ],
  };
  for (const [description, loads] of Object.entries(scenarios)) {
    it(`are served fairly alongside one ${description}`, async () => {
      const sorted = (await servedRatios(loads, description)).sort((a, b) => a - b);
      const mean = sorted.reduce((sum, ratio) => sum + ratio, 0) / sorted.length;
      const worst = sorted.slice(0, Math.ceil(sorted.length / 10));
      const worstTenth = worst.reduce((sum, ratio) => sum + ratio, 0) / worst.length;
      expect(mean).to.be.below(0.95);
      expect(worstTenth).to.be.at.least(mean - MAX_WORST_TENTH_DEFICIT);
      expect(sorted[0]).to.be.at.least(mean / 2);
    });
  }
});

/** A Poisson-distributed number of arrivals with this expected value. */
function poisson(expected: number, random: Random): number {
  const limit = Math.exp(-expected);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) count++;
  return count;
}
