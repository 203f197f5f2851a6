import { SharedTimeout, type SharingTimer, SystemClock } from '@cleatquay/clock';
import { expect } from 'chai';
import fc from 'fast-check';

describe('timers that share a timeout', () => {
  let fired: number[];
  let nowMs: number;
  let timers: SharedTimeout<SharingTimer>;

  beforeEach(() => {
    fired = [];
    nowMs = 0;
    timers = new SharedTimeout(() => nowMs);
  });

  const timer = (timeoutAt: number, action: () => void = () => undefined): SharingTimer => {
    const created = {
      timeoutAt,
      fire: () => {
        timers.pending.delete(created);
        fired.push(timeoutAt);
        action();
      },
    };
    return created;
  };

  it('fire when they are due, in the order of their due times', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(100)), fc.array(fc.nat(120)), (dueTimes, steps) => {
        fired = [];
        nowMs = 0;
        timers = new SharedTimeout(() => nowMs);
        for (const dueAt of dueTimes) timers.add(timer(dueAt));
        for (const step of steps.toSorted((a, b) => a - b)) {
          nowMs = step;
          timers.fireDue();
          const expected = dueTimes.filter(dueAt => dueAt <= step).toSorted((a, b) => a - b);
          expect(fired).to.deep.equal(expected);
        }
        nowMs = 1000;
        timers.fireDue();
      }),
    );
  });

  it('do not fire after another one that was due has cancelled them', () => {
    const cancelled = timer(2);
    timers.add(timer(1, () => timers.pending.delete(cancelled)));
    timers.add(cancelled);
    nowMs = 5;
    timers.fireDue();
    expect(fired).to.deep.equal([1]);
  });

  describe('of the clock of the machine', () => {
    const clock = new SystemClock();
    const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

    /** Sets a timer that records how late it fired, ms. */
    const recordLateness = (ms: number, lateness: Map<number, number>) => {
      const dueAt = clock.now() + ms;
      return clock.after(ms, () => lateness.set(ms, clock.now() - dueAt));
    };

    it('fire though the earliest of them was cancelled, and none of them early', async () => {
      const lateness = new Map<number, number>();
      recordLateness(200, lateness);
      const cancelled = recordLateness(110, lateness);
      recordLateness(150, lateness);
      cancelled[Symbol.dispose]();
      await sleep(400);
      expect([...lateness.keys()]).to.deep.equal([150, 200]);
      expect(Math.min(...lateness.values())).to.be.at.least(0);
    });

    it('fire though an earlier one that was due at the same time throws', async () => {
      const uncaught = process.listeners('uncaughtException');
      process.removeAllListeners('uncaughtException');
      const thrown: unknown[] = [];
      const record = (error: unknown) => void thrown.push(error);
      process.on('uncaughtException', record);
      try {
        const error = new Error('Test: an exception in a timer.');
        clock.after(120, () => {
          throw error;
        });
        const late = new Promise<string>(resolve => clock.after(120, () => resolve('fired')));
        expect(await Promise.race([late, sleep(1000)])).to.equal('fired');
        expect(thrown).to.deep.equal([error]);
      } finally {
        process.off('uncaughtException', record);
        for (const listener of uncaught) process.on('uncaughtException', listener);
      }
    });

    it('fire if they were set by one that fired, also when none was left', async () => {
      let count = 0;
      const repeat = () => {
        if (++count < 3) clock.after(100, repeat);
      };
      clock.after(100, repeat);
      await sleep(600);
      expect(count).to.equal(3);
    });
  });
});
