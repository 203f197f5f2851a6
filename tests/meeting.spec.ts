import { ManualClock } from '@cleatquay/clock';
import { type KeptState, Meeting, type MeetingRow, type Membership } from '@cleatquay/membership';
import { expect } from 'chai';

const SELF = '127.0.0.1:1';
const LEFT = { instanceId: 'left', born: 0 };
const FORMER: MeetingRow = { address: SELF, gossipAddress: SELF, departures: [LEFT], upstreams: [] };

/** As much of a membership as a meeting asks of one that knows nobody. */
const membership = {
  me: { address: SELF, gossipAddress: SELF },
  meet: () => undefined,
  aliveCount: () => 0,
  table: new Map(),
} as unknown as Membership;

describe('the row of a daemon', () => {
  let rows: MeetingRow[];
  let kept: KeptState;
  let letRead: () => void;
  let meeting: Meeting;

  beforeEach(() => {
    rows = [FORMER];
    kept = { departures: [], upstreams: [] };
    const mayRead = new Promise<void>(resolve => (letRead = resolve));
    meeting = new Meeting({
      clock: new ManualClock(),
      random: () => 0.5,
      membership,
      isTender: () => false,
      table: {
        create: async row => {
          await mayRead;
          const former = rows.find(({ address }) => address === row.address);
          if (former) return { isDone: false, version: 1, former };
          rows = [row];
          return { isDone: true, version: 1, former: undefined };
        },
        list: () => Promise.resolve(rows.map(row => ({ ...row, version: 1 }))),
        put: row => {
          rows = [row];
          return Promise.resolve({ isDone: true, version: 1 });
        },
        remove: () => Promise.resolve(),
      },
      kept: () => kept,
      onFormer: former => (kept = former),
      log: () => undefined,
    });
  });

  afterEach(() => meeting[Symbol.asyncDispose]());

  it('keeps what an earlier process recorded, though something is recorded before it was read', async () => {
    meeting.start();
    await meeting.record();
    expect(rows).to.deep.equal([FORMER]);
    letRead();
    await meeting.met;
    expect(rows[0]?.departures).to.deep.equal([LEFT]);
  });

  it('is looked after no more once that is over, also in the middle of a round', async () => {
    meeting.start();
    const ended = meeting[Symbol.asyncDispose]();
    letRead();
    await ended;
  });
});
