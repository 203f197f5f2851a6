import { ProcessorPressure } from '@cleatquay/admission';
import { type Clock, ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';

const CLASSES = 3;

describe('the pressure on the processor', () => {
  let lateMs: number;
  let manual: ManualClock;
  let pressure: ProcessorPressure;

  beforeEach(() => {
    lateMs = 0;
    manual = new ManualClock();
    const clock: Clock = {
      now: () => manual.now(),
      awake: () => manual.awake(),
      date: () => manual.date(),
      sleep: (ms, signal) => manual.sleep(ms, signal),
      after: (ms, action) => manual.after(ms + lateMs, action),
    };
    pressure = new ProcessorPressure(clock, () => CLASSES);
  });

  it('refuses nothing while timers are in time', () => {
    manual.advance(5000);
    expect(pressure.isLagging).to.equal(false);
    expect(pressure.level).to.equal(Number.POSITIVE_INFINITY);
  });

  it('refuses less important classes within a second of lag, and never the most important one', () => {
    lateMs = 300;
    manual.advance(1000);
    expect(pressure.isLagging).to.equal(true);
    expect(pressure.level).to.be.below(CLASSES);
    manual.advance(60_000);
    expect(pressure.level).to.equal(1);
  });

  it('is gone within six seconds after the lag', () => {
    lateMs = 300;
    manual.advance(60_000);
    lateMs = 0;
    manual.advance(6000);
    expect(pressure.level).to.equal(Number.POSITIVE_INFINITY);
  });
});
