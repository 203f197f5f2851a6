import { AdaptiveLimit, SaturationDetector } from '@cleatquay/admission';
import { ManualClock, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';

const SLOTS = 20;

describe('the slots of an upstream under sustained load', () => {
  const random = seededRandom('full load');
  let clock: ManualClock;
  let detector: SaturationDetector;

  beforeEach(() => {
    clock = new ManualClock();
    detector = new SaturationDetector(clock);
  });

  /** Records a run every 2 ms whose durations spread by half of their mean; returns the ratio of the time in which all slots are usable. */
  const fullSlotsRatio = (slowdownWhenFull: number, seconds = 20): number => {
    let full = 0;
    for (let ms = 0; ms < seconds * 1000; ms += 2) {
      clock.advance(2);
      const isFull = detector.usableRatio === 1;
      if (isFull) full += 2;
      const mean = random() < 0.2 ? 100 : 30;
      const kind = mean === 100 ? 'long' : 'short';
      detector.recordRun(
        kind,
        detector.usableRatio,
        mean * (isFull ? slowdownWhenFull : 1) * (0.13 + 1.74 * random()),
      );
    }
    return full / (seconds * 1000);
  };

  it('are all used except for a twentieth of the time when it is as fast with all of them', () => {
    expect(fullSlotsRatio(1)).to.be.above(0.9);
  });

  it('are reduced except for a twentieth of the time when runs take 1.3 times as long with all of them', () => {
    fullSlotsRatio(1.3);
    expect(fullSlotsRatio(1.3)).to.be.below(0.1);
  });

  it('are all used again when the slowdown is over', () => {
    fullSlotsRatio(1.3);
    fullSlotsRatio(1);
    expect(fullSlotsRatio(1)).to.be.above(0.85);
  });

  it('are all used most of the time for any number of slots', () => {
    for (const slots of [11, 15, 19, 36, 63]) {
      const limit = new AdaptiveLimit(clock, slots, false);
      let full = 0;
      for (let i = 0; i < 5000; i++) {
        clock.advance(2);
        limit.recordRun('r', limit.utilisationAt(limit.value), 30 * (0.13 + 1.74 * random()));
        if (limit.value === slots) full++;
      }
      expect(full / 5000, `of ${String(slots)}`).to.be.above(0.85);
    }
  });

  it('are all used when there are too few to leave a tenth free', () => {
    for (const slots of [1, 2, 5, 9]) {
      const limit = new AdaptiveLimit(clock, slots, false);
      for (let i = 0; i < 400; i++) {
        clock.advance(10);
        limit.recordRun('r', 1, 30);
        expect(limit.value).to.equal(slots);
      }
    }
  });

  it('are limited to nine tenths of the announced slots', () => {
    const limit = new AdaptiveLimit(clock, SLOTS, false);
    expect(limit.value).to.equal(20);
    clock.advance(1000);
    for (let i = 0; i < 200; i++) limit.recordRun('r', limit.utilisationAt(16), 30);
    for (let i = 0; i < 200; i++) limit.recordRun('r', limit.utilisationAt(20), 39);
    expect(limit.value).to.equal(18);
  });
});
