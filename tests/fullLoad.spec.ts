import { AdaptiveLimit, FullLoad } from '@cleatquay/admission';
import { ManualClock, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';

const SLOTS = 20;

describe('the slots of an upstream that always has more to do', () => {
  const random = seededRandom('full load');
  let clock: ManualClock;
  let fullLoad: FullLoad;

  beforeEach(() => {
    clock = new ManualClock();
    fullLoad = new FullLoad(clock);
  });

  /** Runs for some seconds, one every 2 ms, whose times spread by half of their mean; gives the part of the time with all slots in use. */
  const partInFullUse = (factorWhenFull: number, seconds = 20): number => {
    let full = 0;
    for (let ms = 0; ms < seconds * 1000; ms += 2) {
      clock.advance(2);
      const isFull = fullLoad.usableRatio === 1;
      if (isFull) full += 2;
      const mean = random() < 0.2 ? 100 : 30;
      const kind = mean === 100 ? 'long' : 'short';
      fullLoad.recordRun(
        kind,
        fullLoad.usableRatio,
        mean * (isFull ? factorWhenFull : 1) * (0.13 + 1.74 * random()),
      );
    }
    return full / (seconds * 1000);
  };

  it('are all used when it is as fast with all of them, but for a twentieth of the time', () => {
    expect(partInFullUse(1)).to.be.above(0.9);
  });

  it('are not all used when it takes 1.3 times as long with all of them, but for a twentieth of the time', () => {
    partInFullUse(1.3);
    expect(partInFullUse(1.3)).to.be.below(0.1);
  });

  it('are all used again when it no longer does', () => {
    partInFullUse(1.3);
    partInFullUse(1);
    expect(partInFullUse(1)).to.be.above(0.85);
  });

  it('are all used for most of the time, however many they are', () => {
    for (const slots of [11, 15, 19, 36, 63]) {
      const limit = new AdaptiveLimit(clock, slots, false);
      let full = 0;
      for (let i = 0; i < 5000; i++) {
        clock.advance(2);
        limit.ran('r', limit.utilisationAt(limit.value), 30 * (0.13 + 1.74 * random()));
        if (limit.value === slots) full++;
      }
      expect(full / 5000, `of ${String(slots)}`).to.be.above(0.85);
    }
  });

  it('are all of a few, of which a tenth would be more than a tenth', () => {
    for (const slots of [1, 2, 5, 9]) {
      const limit = new AdaptiveLimit(clock, slots, false);
      for (let i = 0; i < 400; i++) {
        clock.advance(10);
        limit.ran('r', 1, 30);
        expect(limit.value).to.equal(slots);
      }
    }
  });

  it('are nine tenths of what it announces', () => {
    const limit = new AdaptiveLimit(clock, SLOTS, false);
    expect(limit.value).to.equal(20);
    clock.advance(1000);
    for (let i = 0; i < 200; i++) limit.ran('r', limit.utilisationAt(16), 30);
    for (let i = 0; i < 200; i++) limit.ran('r', limit.utilisationAt(20), 39);
    expect(limit.value).to.equal(18);
  });
});
