import { ManualClock } from '@cleatquay/clock';
import { PressureLog } from '@cleatquay/daemon';
import { expect } from 'chai';

describe('the log of waits for the processor', () => {
  let clock: ManualClock;
  let lines: { message: string; facts: object }[];
  let log: PressureLog;

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    log = new PressureLog(clock, (message, facts) => lines.push({ message, facts }));
  });

  /** Samples of 50 ms each. */
  const sample = (lags: readonly number[]) => {
    for (const lag of lags) {
      clock.advance(50);
      log.sampled(lag, lag > 200);
    }
  };

  it('has a line for its begin and one for its end, however often the lag comes and goes', () => {
    sample([250, 10, 400, 10, 300]);
    sample(Array<number>(30).fill(0));
    expect(lines).to.deep.equal([
      { message: 'Requests are delayed by event-loop lag.', facts: { lagMs: 250 } },
      {
        message: 'Requests are no longer delayed by event-loop lag.',
        facts: { longestLagMs: 400, forMs: 200 },
      },
    ]);
  });

  it('says nothing of lags that are borne', () => {
    sample(Array<number>(100).fill(150));
    expect(lines).to.deep.equal([]);
  });
});
