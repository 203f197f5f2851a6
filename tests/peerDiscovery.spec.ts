import { ManualClock } from '@cleatquay/clock';
import {
  type PersistedState,
  PeerDiscovery,
  type DiscoveryRow,
  type Membership,
} from '@cleatquay/membership';
import { expect } from 'chai';

const SELF = '127.0.0.1:1';
const MAX_SECOND_ROUND_MS = 1300;
const DEPARTURE = { instanceId: 'left', born: 0 };
const RECORDED: DiscoveryRow = {
  address: SELF,
  gossipAddress: SELF,
  failureDomain: 'a',
  departures: [DEPARTURE],
  upstreams: [],
  delimitingServices: ['orders'],
  closeDelimitedRoutes: [{ service: 'orders', route: 'export' }],
};

/** The part of a membership that peer discovery uses, without any other member. */
const membership = {
  me: { address: SELF, gossipAddress: SELF, failureDomain: 'a' },
  join: () => undefined,
  aliveCount: () => 0,
  table: new Map(),
} as unknown as Membership;

describe('the row of a daemon in the discovery table', () => {
  let clock: ManualClock;
  let rows: DiscoveryRow[];
  let persisted: PersistedState;
  let allowRead: () => void;
  let discovery: PeerDiscovery;

  const settle = () => new Promise(resolve => setImmediate(resolve));

  beforeEach(() => {
    clock = new ManualClock();
    rows = [RECORDED];
    persisted = { departures: [], upstreams: [], delimitingServices: [], closeDelimitedRoutes: [] };
    const readAllowed = new Promise<void>(resolve => (allowRead = resolve));
    discovery = new PeerDiscovery({
      clock,
      random: () => 0.5,
      membership,
      maintainsTable: () => false,
      table: {
        create: async row => {
          await readAllowed;
          const found = rows.find(({ address }) => address === row.address);
          if (found) return { isDone: false, version: 1, recorded: found };
          rows = [row];
          return { isDone: true, version: 1, recorded: undefined };
        },
        list: () => Promise.resolve(rows.map(row => ({ ...row, version: 1 }))),
        put: row => {
          rows = [row];
          return Promise.resolve({ isDone: true, version: 1 });
        },
        remove: () => Promise.resolve(),
      },
      persisted: () => persisted,
      onRestore: recorded => (persisted = recorded),
      onRows: () => undefined,
      onReachability: () => undefined,
      log: () => undefined,
    });
  });

  afterEach(() => discovery[Symbol.asyncDispose]());

  it('keeps what an earlier process recorded, even if a change is recorded before the row was read', async () => {
    discovery.start();
    await discovery.record();
    expect(rows).to.deep.equal([RECORDED]);
    allowRead();
    await discovery.firstRoundDone;
    expect(rows[0]?.departures).to.deep.equal([DEPARTURE]);
    expect(rows[0]?.delimitingServices).to.deep.equal(['orders']);
    expect(rows[0]?.closeDelimitedRoutes).to.deep.equal(RECORDED.closeDelimitedRoutes);
  });

  it('counts its list as complete only after a second round if it had no row, since others may start at the same time', async () => {
    rows = [];
    discovery.start();
    allowRead();
    await discovery.firstRoundDone;
    expect(discovery.isListComplete).to.equal(false);
    await settle();
    clock.advance(MAX_SECOND_ROUND_MS);
    await settle();
    expect(discovery.isListComplete).to.equal(true);
  });

  it('counts its list as complete after the first round if it had a row, which others that start have listed', async () => {
    discovery.start();
    allowRead();
    await discovery.firstRoundDone;
    expect(discovery.isListComplete).to.equal(true);
  });

  it('does not prevent a stop in the middle of a round', async () => {
    discovery.start();
    const stopped = discovery[Symbol.asyncDispose]();
    allowRead();
    await stopped;
  });
});
