import { ManualClock } from '@cleatquay/clock';
import { PressureLog } from '@cleatquay/daemon';
import { expect } from 'chai';

describe('PressureLog', () => {
  let clock: ManualClock;
  let lines: { message: string; facts: object }[];
  let log: PressureLog;

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    log = new PressureLog(clock, (message, facts) => lines.push({ message, facts }));
  });

  /** Adds samples, one every 50 ms. */
  const addSamples = (lags: readonly number[]) => {
    for (const lag of lags) {
      clock.advance(50);
      log.addSample(lag, lag > 200);
    }
  };

  it('logs the beginning and the end of a period once, however often the lag comes and goes', () => {
    addSamples([250, 10, 400, 10, 300]);
    addSamples(Array<number>(30).fill(0));
    expect(lines).to.deep.equal([
      { message: 'Requests are delayed by event-loop lag.', facts: { lagMs: 250 } },
      {
        message: 'Requests are no longer delayed by event-loop lag.',
        facts: { longestLagMs: 400, forMs: 200 },
      },
    ]);
  });

  it('logs nothing for lags below the threshold', () => {
    addSamples(Array<number>(100).fill(150));
    expect(lines).to.deep.equal([]);
  });
});
