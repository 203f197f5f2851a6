/**
 * A daemon that was restarted took up an upstream that had told it that it leaves: its row had gone back to what it said before.
 *
 * 1. The daemon wrote its row; the call was lost, and the store performed it seconds later.
 * 2. Meanwhile the daemon had written the row again, with what had changed since, and had been told that this was done.
 * 3. The first write took effect then, and put the older row in its place.
 *
 * Cause: the daemon knew by its own count of changes what the row said, and its writes had no condition.
 *
 * Evidence: read from the code in search of whatever is known by a number alone; on the code as it was, the row lacked the second
 * departure for as long as the daemon ran.
 */
import { expect } from 'chai';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const LATE_MS = 800;

describe('the row of a daemon on the platform', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history')]);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  it('does not go back when a write that got no answer takes effect late', async () => {
    const { daemon } = fleet.nodes[0]!;
    const row = () => fleet.store.text('daemons', daemon.membership.me.address) ?? '';
    const performed = new Promise(resolve => setTimeout(resolve, LATE_MS + 200));
    fleet.store.faults.lateWritesMs = LATE_MS;
    await daemon.leave('first');
    fleet.store.faults.lateWritesMs = 0;
    await daemon.leave('second');
    await performed;
    expect(row()).to.include('first').and.to.include('second');
  });
});
