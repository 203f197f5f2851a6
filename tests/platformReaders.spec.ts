import { ManualClock } from '@cleatquay/clock';
import { PlatformReaders } from '@cleatquay/daemon';
import { type Member } from '@cleatquay/protocol';
import { expect } from 'chai';

const SAME_DOMAIN = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'];
const OTHER_DOMAIN = '10.1.0.1:1';

describe('PlatformReaders', () => {
  let clock: ManualClock;
  let members: Map<string, Member>;
  let heardAt: Map<string, number>;

  beforeEach(() => {
    clock = new ManualClock();
    heardAt = new Map();
    members = new Map(
      [...SAME_DOMAIN, OTHER_DOMAIN].map(address => [
        address,
        { address, failureDomain: address === OTHER_DOMAIN ? 'other' : 'same', state: 'ALIVE' } as Member,
      ]),
    );
  });

  /** The view of a daemon that has just heard from all others. */
  const readersSeenBy = (self: string) => {
    for (const address of members.keys()) heardAt.set(address, clock.now());
    const lastHeardAt = (address: string) => heardAt.get(address);
    const table = {
      revision: members.size,
      get: (address: string) => members.get(address),
      all: () => members.values(),
    };
    const aliveCount = () => members.size - 1;
    const membership = { me: members.get(self)!, table, lastHeardAt, aliveCount };
    return new PlatformReaders(clock, membership as never, members.get(self)!.failureDomain);
  };
  const activeReaders = () =>
    SAME_DOMAIN.filter(address => members.has(address) && readersSeenBy(address).mustReadPlatform);

  it('selects two daemons of a failure domain, and others when these are gone', () => {
    const before = activeReaders();
    expect(before).to.have.length(2);
    members.delete(before[0]!);
    expect(activeReaders()).to.have.length(2).and.to.include(before[1]!);
  });

  it('selects others while the reads of these fail, and all readers and fallback readers when the reads of all fail', () => {
    const before = activeReaders();
    for (const address of before) members.get(address)!.isPlatformLost = true;
    expect(activeReaders()).to.have.length(2).and.to.not.include.members(before);
    for (const member of members.values()) member.isPlatformLost = true;
    expect(activeReaders()).to.have.members(SAME_DOMAIN);
  });

  it('lets a daemon read that has received nothing from others for a while', () => {
    const view = readersSeenBy(SAME_DOMAIN.find(address => !activeReaders().includes(address))!);
    expect(view.mustReadPlatform).to.equal(false);
    clock.advance(1600);
    expect(view.mustReadPlatform).to.equal(true);
  });

  it('lets a daemon read that has heard nothing from the readers for a while, although it hears from others', () => {
    const readers = activeReaders();
    const [other, self] = SAME_DOMAIN.filter(address => !readers.includes(address));
    const view = readersSeenBy(self!);
    clock.advance(1600);
    heardAt.set(other!, clock.now());
    expect(view.mustReadPlatform).to.equal(true);
    heardAt.set(readers[1]!, clock.now());
    expect(view.mustReadPlatform).to.equal(false);
  });

  it('staggers the long polls of the readers, from the first one after a change on', () => {
    const fleet = [...activeReaders(), OTHER_DOMAIN];
    const first = fleet.map(address => readersSeenBy(address).waitMs(true)).sort((a, b) => a - b);
    expect(first).to.deep.equal([1000, 2000, 3000]);
    for (const address of fleet) expect(readersSeenBy(address).waitMs(false)).to.equal(3000);
  });

  it('fetches a version from the readers of the same failure domain before a peer in another one', () => {
    const view = readersSeenBy(SAME_DOMAIN.find(address => !activeReaders().includes(address))!);
    expect(activeReaders()).to.include(view.fetchOrder([OTHER_DOMAIN])[0]);
    expect(view.fetchOrder([OTHER_DOMAIN]).at(-1)).to.equal(OTHER_DOMAIN);
    expect(view.fetchOrder([OTHER_DOMAIN, SAME_DOMAIN[0]!])[0]).to.equal(SAME_DOMAIN[0]);
    expect(view.fetchDelayMs(OTHER_DOMAIN, true)).to.be.above(view.fetchDelayMs(SAME_DOMAIN[0]!, true));
  });

  it('waits for its own read before it fetches a version only if its reads succeed, and it has a configuration', () => {
    const self = activeReaders()[0]!;
    const peer = SAME_DOMAIN.find(address => address !== self)!;
    expect(readersSeenBy(self).fetchDelayMs(peer, true)).to.be.above(0);
    expect(readersSeenBy(self).fetchDelayMs(peer, false)).to.equal(0);
    for (const member of members.values()) member.isPlatformLost = true;
    expect(readersSeenBy(self).fetchDelayMs(peer, true)).to.equal(0);
    expect(readersSeenBy(self).fetchDelayMs(OTHER_DOMAIN, true)).to.equal(0);
  });

  it('does not fetch a version from readers whose reads fail before the peer that has it', () => {
    for (const member of members.values()) member.isPlatformLost = true;
    expect(readersSeenBy(SAME_DOMAIN[0]!).fetchOrder([OTHER_DOMAIN])).to.deep.equal([OTHER_DOMAIN]);
  });
});
