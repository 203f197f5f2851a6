import { ProcessorPressure } from '@cleatquay/admission';
import { type Clock, ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';

const CLASSES = 3;

describe('processor pressure', () => {
  let timerDelayMs: number;
  let manualClock: ManualClock;
  let pressure: ProcessorPressure;

  beforeEach(() => {
    timerDelayMs = 0;
    manualClock = new ManualClock();
    const clock: Clock = {
      now: () => manualClock.now(),
      awake: () => manualClock.awake(),
      date: () => manualClock.date(),
      sleep: (ms, signal) => manualClock.sleep(ms, signal),
      after: (ms, action) => manualClock.after(ms + timerDelayMs, action),
    };
    pressure = new ProcessorPressure(clock, () => CLASSES);
  });

  it('refuses nothing while timers fire on time', () => {
    manualClock.advance(5000);
    expect(pressure.isLagging).to.equal(false);
    expect(pressure.level).to.equal(Number.POSITIVE_INFINITY);
  });

  it('refuses lower classes within a second of lag, and never the top class', () => {
    timerDelayMs = 300;
    manualClock.advance(1000);
    expect(pressure.isLagging).to.equal(true);
    expect(pressure.level).to.be.below(CLASSES);
    manualClock.advance(60_000);
    expect(pressure.level).to.equal(1);
  });

  it('admits every class again within six seconds after the lag', () => {
    timerDelayMs = 300;
    manualClock.advance(60_000);
    timerDelayMs = 0;
    manualClock.advance(6000);
    expect(pressure.level).to.equal(Number.POSITIVE_INFINITY);
  });
});
