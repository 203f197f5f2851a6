import { ManualClock } from '@cleatquay/clock';
import { Readers } from '@cleatquay/daemon';
import { type Member } from '@cleatquay/protocol';
import { expect } from 'chai';

const NEAR = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'];
const FAR = '10.1.0.1:1';

describe('who reads the platform', () => {
  let clock: ManualClock;
  let members: Map<string, Member>;

  beforeEach(() => {
    clock = new ManualClock();
    members = new Map(
      [...NEAR, FAR].map(address => [
        address,
        { address, failureDomain: address === FAR ? 'far' : 'near', state: 'ALIVE' } as Member,
      ]),
    );
  });

  const viewOf = (self: string) => {
    const heardAt = clock.now();
    const table = { get: (address: string) => members.get(address), all: () => members.values() };
    const aliveCount = () => members.size - 1;
    const membership = { me: members.get(self)!, table, lastHeardAt: heardAt, aliveCount };
    return new Readers(clock, membership as never, members.get(self)!.failureDomain);
  };
  const readers = () => NEAR.filter(address => members.has(address) && viewOf(address).isOnDuty);

  it('are two of a failure domain, and others in their place when they are gone', () => {
    const before = readers();
    expect(before).to.have.length(2);
    members.delete(before[0]!);
    expect(readers()).to.have.length(2).and.to.include(before[1]!);
  });

  it('are others while their own reads fail, and all that may stand in when the reads of all fail', () => {
    const before = readers();
    for (const address of before) members.get(address)!.isPlatformLost = true;
    expect(readers()).to.have.length(2).and.to.not.include.members(before);
    for (const member of members.values()) member.isPlatformLost = true;
    expect(readers()).to.have.members(NEAR);
  });

  it('is a daemon that has heard nobody for a while', () => {
    const view = viewOf(NEAR.find(address => !readers().includes(address))!);
    expect(view.isOnDuty).to.equal(false);
    clock.advance(1600);
    expect(view.isOnDuty).to.equal(true);
  });

  it('wait for times that end apart, from the first one after a change on', () => {
    const fleet = [...readers(), FAR];
    const first = fleet.map(address => viewOf(address).waitMs(true)).sort((a, b) => a - b);
    expect(first).to.deep.equal([1000, 2000, 3000]);
    for (const address of fleet) expect(viewOf(address).waitMs(false)).to.equal(3000);
  });

  it('are asked by the others of their failure domain for what a far peer has', () => {
    const view = viewOf(NEAR.find(address => !readers().includes(address))!);
    expect(readers()).to.include(view.inOrder([FAR])[0]);
    expect(view.inOrder([FAR]).at(-1)).to.equal(FAR);
    expect(view.inOrder([FAR, NEAR[0]!])[0]).to.equal(NEAR[0]);
    expect(view.patienceMs(FAR)).to.be.above(view.patienceMs(NEAR[0]!));
  });
});
