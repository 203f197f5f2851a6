/**
 * Guards against a restarted daemon that registers an upstream again although this had announced its shutdown, since the daemon's row had
 * reverted to an older state:
 *
 * 1. A write of the row timed out, and the store performed it seconds later.
 * 2. Meanwhile the daemon had written the row again with later changes, and this was acknowledged.
 * 3. The first write took effect then, and replaced the newer row.
 *
 * Cause: writes were unconditional, and the daemon relied on its own count of changes to know what the row contains. With that code the row
 * did not contain the shutdown of the second upstream for as long as the daemon ran.
 */
import { expect } from 'chai';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const WRITE_DELAY_MS = 800;

describe('the row of a daemon on the platform', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history')]);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  it('does not revert when a write without a response takes effect late', async () => {
    const { daemon } = fleet.nodes[0]!;
    const row = () => fleet.store.text('daemons', daemon.membership.me.address) ?? '';
    const performed = new Promise(resolve => setTimeout(resolve, WRITE_DELAY_MS + 200));
    fleet.store.faults.lateWritesMs = WRITE_DELAY_MS;
    await daemon.markUpstreamLeaving('first');
    fleet.store.faults.lateWritesMs = 0;
    await daemon.markUpstreamLeaving('second');
    await performed;
    expect(row()).to.include('first').and.to.include('second');
  });
});
