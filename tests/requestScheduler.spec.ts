import { RequestScheduler } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';

const nextIteration = () => new Promise(resolve => setImmediate(resolve));

describe('the request scheduler', () => {
  let clock: ManualClock;
  let isLagging: boolean;
  let scheduler: RequestScheduler;
  let started: number[];

  beforeEach(() => {
    clock = new ManualClock();
    isLagging = false;
    scheduler = new RequestScheduler(clock, () => isLagging);
    started = [];
  });

  /** Simulates a request that was read and takes `costMs` to start. */
  const read = (request: number, costMs: number) => {
    const start = () => {
      started.push(request);
      clock.advance(costMs);
    };
    const queued = scheduler.acquire();
    if (queued) void queued.then(start);
    else start();
  };

  it('starts requests at once within the time slice of an iteration', () => {
    [1, 2, 3].forEach(request => read(request, 5));
    expect(started).to.deep.equal([1, 2, 3]);
  });

  it('queues requests beyond the time slice until one more iteration has read everything', async () => {
    [1, 2, 3].forEach(request => read(request, 15));
    expect(started).to.deep.equal([1, 2]);
    await nextIteration();
    expect(started).to.deep.equal([1, 2]);
    await nextIteration();
    expect(started).to.deep.equal([1, 2, 3]);
  });

  it('starts queued requests in order, for a bounded time of each iteration', async () => {
    for (let request = 1; request <= 9; request++) read(request, 10);
    expect(started).to.deep.equal([1, 2]);
    for (let i = 0; i < 3; i++) await nextIteration();
    expect(started.length).to.be.within(4, 6);
    for (let i = 0; i < 9; i++) await nextIteration();
    expect(started).to.deep.equal([1, 2, 3, 4, 5, 6, 7, 8, 9]);
  });

  it('lets no request overtake queued ones', async () => {
    [1, 2, 3].forEach(request => read(request, 15));
    await nextIteration();
    read(4, 1);
    for (let i = 0; i < 4; i++) await nextIteration();
    expect(started).to.deep.equal([1, 2, 3, 4]);
  });

  it('queues everything that is read while the event loop lags, and reports how long the first request has waited', async () => {
    isLagging = true;
    read(1, 1);
    clock.advance(40);
    expect(started).to.deep.equal([]);
    expect(scheduler.waitMs()).to.equal(40);
    for (let i = 0; i < 3; i++) await nextIteration();
    expect(started).to.deep.equal([1]);
    expect(scheduler.waitMs()).to.equal(0);
  });
});
