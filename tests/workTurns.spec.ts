import { WorkTurns } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';

const nextTurn = () => new Promise(resolve => setImmediate(resolve));

describe('the turns of a process', () => {
  let clock: ManualClock;
  let isLagging: boolean;
  let turns: WorkTurns;
  let begun: number[];

  beforeEach(() => {
    clock = new ManualClock();
    isLagging = false;
    turns = new WorkTurns(clock, () => isLagging);
    begun = [];
  });

  /** Reads a request that costs so much to begin, ms. */
  const read = (request: number, costMs: number) => {
    const begin = () => {
      begun.push(request);
      clock.advance(costMs);
    };
    const turn = turns.take();
    if (turn) void turn.then(begin);
    else begin();
  };

  it('begin requests at once while there is time', () => {
    [1, 2, 3].forEach(request => read(request, 5));
    expect(begun).to.deep.equal([1, 2, 3]);
  });

  it('leave those for which there is none until one more turn has read everything', async () => {
    [1, 2, 3].forEach(request => read(request, 15));
    expect(begun).to.deep.equal([1, 2]);
    await nextTurn();
    expect(begun).to.deep.equal([1, 2]);
    await nextTurn();
    expect(begun).to.deep.equal([1, 2, 3]);
  });

  it('begin them in the order in which they were read, for a bounded time of each turn', async () => {
    for (let request = 1; request <= 9; request++) read(request, 10);
    expect(begun).to.deep.equal([1, 2]);
    for (let turn = 0; turn < 3; turn++) await nextTurn();
    expect(begun.length).to.be.within(4, 6);
    for (let turn = 0; turn < 9; turn++) await nextTurn();
    expect(begun).to.deep.equal([1, 2, 3, 4, 5, 6, 7, 8, 9]);
  });

  it('let none overtake those that wait', async () => {
    [1, 2, 3].forEach(request => read(request, 15));
    await nextTurn();
    read(4, 1);
    for (let turn = 0; turn < 4; turn++) await nextTurn();
    expect(begun).to.deep.equal([1, 2, 3, 4]);
  });

  it('leave all that is read while the process lags to the next turn, and tell how long the first has waited', async () => {
    isLagging = true;
    read(1, 1);
    clock.advance(40);
    expect(begun).to.deep.equal([]);
    expect(turns.waitMs()).to.equal(40);
    for (let turn = 0; turn < 3; turn++) await nextTurn();
    expect(begun).to.deep.equal([1]);
    expect(turns.waitMs()).to.equal(0);
  });
});
