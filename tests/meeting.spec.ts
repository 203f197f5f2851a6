import { ManualClock } from '@cleatquay/clock';
import { type KeptState, Meeting, type MeetingRow, type Membership } from '@cleatquay/membership';
import { expect } from 'chai';

const SELF = '127.0.0.1:1';
const DEPARTURE = { instanceId: 'left', born: 0 };
const RECORDED: MeetingRow = { address: SELF, gossipAddress: SELF, departures: [DEPARTURE], upstreams: [] };

/** The part of a membership that peer discovery uses, without any other member. */
const membership = {
  me: { address: SELF, gossipAddress: SELF },
  meet: () => undefined,
  aliveCount: () => 0,
  table: new Map(),
} as unknown as Membership;

describe('the row of a daemon in the discovery table', () => {
  let rows: MeetingRow[];
  let persisted: KeptState;
  let allowRead: () => void;
  let discovery: Meeting;

  beforeEach(() => {
    rows = [RECORDED];
    persisted = { departures: [], upstreams: [] };
    const isReadable = new Promise<void>(resolve => (allowRead = resolve));
    discovery = new Meeting({
      clock: new ManualClock(),
      random: () => 0.5,
      membership,
      isTender: () => false,
      table: {
        create: async row => {
          await isReadable;
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
      kept: () => persisted,
      onFormer: recorded => (persisted = recorded),
      log: () => undefined,
    });
  });

  afterEach(() => discovery[Symbol.asyncDispose]());

  it('keeps what an earlier process recorded, even if a change is recorded before the row was read', async () => {
    discovery.start();
    await discovery.record();
    expect(rows).to.deep.equal([RECORDED]);
    allowRead();
    await discovery.met;
    expect(rows[0]?.departures).to.deep.equal([DEPARTURE]);
  });

  it('is no longer maintained after a stop in the middle of a round', async () => {
    discovery.start();
    const stopped = discovery[Symbol.asyncDispose]();
    allowRead();
    await stopped;
  });
});
