/**
 * Guards against the overflow of `sentAt` after 50 days of uptime: the milliseconds of the monotonic clock no longer fit into 32 bits, the codec
 * throws ("invalid uint32: 4294967301"), and the daemon exits at its next frame to a peer.
 */
import { TransitDelays, toSentAt } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { LinkFrame } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';

const FIFTY_DAYS_MS = 50 * 24 * 3_600_000;
const WRAPAROUND_MS = 2 ** 32;
const RUNS = 500;
/** Frames carry whole milliseconds. */
const ROUNDING_MS = 1;

describe('the transit delay of frames', () => {
  it('is based on a time of sending that can be encoded after 50 days of uptime', () => {
    const sentAt = toSentAt(FIFTY_DAYS_MS);
    expect(LinkFrame.decode(LinkFrame.encode({ items: [], sentAt }).finish()).sentAt).to.equal(sentAt);
  });

  it('is measured correctly for any clock offset between the two sides', () => {
    const offset = fc.integer({ min: 0, max: 3 * WRAPAROUND_MS });
    const delayLists = fc.array(fc.nat(5000), { minLength: 1, maxLength: 20 });
    fc.assert(
      fc.property(offset, offset, delayLists, (sender, receiver, delays) => {
        const clock = new ManualClock();
        clock.advance(receiver);
        const transitDelays = new TransitDelays(clock);
        transitDelays.measure(toSentAt(sender));
        for (const [i, delayMs] of delays.entries()) {
          clock.advance(10_000);
          const sentAt = toSentAt(sender + (i + 1) * 10_000 - delayMs);
          expect(transitDelays.measure(sentAt)).to.be.closeTo(delayMs, ROUNDING_MS + 10 * (i + 1));
        }
      }),
      { numRuns: RUNS },
    );
  });
});
