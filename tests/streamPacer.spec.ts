import { StreamPacer } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';
import { setImmediate as nextIteration } from 'node:timers/promises';

const PART_BYTES = 65_536;
const PARTS_PER_SLICE = 4;
const PART_COST_MS = 2;
const SLICE_MS = PARTS_PER_SLICE * PART_COST_MS;

describe('StreamPacer', () => {
  let clock: ManualClock;
  let pacer: StreamPacer;
  let taken: string[];

  beforeEach(() => {
    clock = new ManualClock();
    pacer = new StreamPacer(clock);
    taken = [];
  });

  /** Takes pieces without end, each of which costs time. It goes on after its test, whose clock and list it keeps. */
  const take = async (stream: string, bytes = PART_BYTES, costMs = PART_COST_MS) => {
    const [ownClock, ownTaken] = [clock, taken];
    async function* endless() {
      for (;;) yield bytes;
    }
    for await (const piece of pacer.pace(endless(), length => length)) {
      if (piece !== bytes || ownTaken.length > 10_000) return;
      ownTaken.push(stream);
      ownClock.advance(costMs);
    }
  };

  // Guards against streams that take all of the time of a process.
  it('takes a slice in an iteration, and pauses for as long as that took', async () => {
    void take('a');
    for (let slice = 1; slice <= 3; slice++) {
      await nextIteration();
      await nextIteration();
      expect(taken).to.have.lengthOf(slice * PARTS_PER_SLICE);
      clock.advance(SLICE_MS - 1);
      await nextIteration();
      expect(taken).to.have.lengthOf(slice * PARTS_PER_SLICE);
      clock.advance(1);
    }
  });

  it('serves streams in turn', async () => {
    for (const stream of ['a', 'b', 'c', 'd']) void take(stream);
    for (let i = 0; i < 6; i++) {
      await nextIteration();
      clock.advance(SLICE_MS);
    }
    const counts = ['a', 'b', 'c', 'd'].map(stream => taken.filter(one => one === stream).length);
    expect(Math.max(...counts) - Math.min(...counts)).to.be.at.most(1);
  });

  // Guards against chunks of a byte, each of which costs as much as a long one.
  it('takes few pieces of a byte in a slice', async () => {
    void take('a', 1, 0);
    await nextIteration();
    expect(taken.length).to.be.within(1, 1024);
  });

  it('still passes streams on in a process that is short of processor time', async () => {
    void take('a', PART_BYTES, 1000);
    await nextIteration();
    // The slice ends, and the pause begins, behind this iteration.
    await nextIteration();
    const before = taken.length;
    clock.advance(20);
    await nextIteration();
    expect(taken.length).to.be.above(before);
  });
});
