/**
 * A daemon that had run for 50 days would have ended at its first frame to a peer after that: the milliseconds of its steady clock no longer
 * fitted into the field that tells when a frame was sent, and the codec refused it ("invalid uint32: 4294967301").
 */
import { TransitDelays, toSentAt } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { LinkFrame } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';

const FIFTY_DAYS_MS = 50 * 24 * 3_600_000;
const TURN_MS = 2 ** 32;
const RUNS = 500;
/** Frames tell whole milliseconds. */
const ROUNDING_MS = 1;

describe('frames of a link', () => {
  it('tell when they were sent also after 50 days', () => {
    const sentAt = toSentAt(FIFTY_DAYS_MS);
    expect(LinkFrame.decode(LinkFrame.encode({ items: [], sentAt }).finish()).sentAt).to.equal(sentAt);
  });

  it('are as late as they were held up, wherever the clocks of both ends stand', () => {
    const offset = fc.integer({ min: 0, max: 3 * TURN_MS });
    const held = fc.array(fc.nat(5000), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(offset, offset, held, (sender, receiver, delays) => {
        const clock = new ManualClock();
        clock.advance(receiver);
        const frames = new TransitDelays(clock);
        frames.measure(toSentAt(sender));
        for (const [i, delayMs] of delays.entries()) {
          clock.advance(10_000);
          const sentAt = toSentAt(sender + (i + 1) * 10_000 - delayMs);
          expect(frames.measure(sentAt)).to.be.closeTo(delayMs, ROUNDING_MS + 10 * (i + 1));
        }
      }),
      { numRuns: RUNS },
    );
  });
});
