/** Guards against shares of quotas that are too large since members were missing in a daemon's view (docs/incidents/first-seconds-after-the-store-returns.md). */
import { ManualClock } from '@cleatquay/clock';
import { type DiscoveryRow, DomainMembers } from '@cleatquay/membership';
import { type Member, type MemberState } from '@cleatquay/protocol';
import { expect } from 'chai';

const SELF = '10.0.0.1:1';
const [SECOND, THIRD, OTHER_DOMAIN] = ['10.0.0.2:1', '10.0.0.3:1', '10.1.0.1:1'] as const;

const row = (address: string, failureDomain: string) => ({ address, failureDomain }) as DiscoveryRow;

describe('the daemons among which a quota is divided', () => {
  let clock: ManualClock;
  let members: Map<string, Member>;
  let goneAt: Map<string, number>;
  let isComplete: boolean;
  let domain: DomainMembers;

  const meet = (address: string, state: MemberState = 'ALIVE', failureDomain = 'a') => {
    members.set(address, { address, failureDomain, state } as Member);
    if (state === 'DEAD' || state === 'LEFT') goneAt.set(address, clock.now());
    clock.advance(50);
  };

  beforeEach(() => {
    clock = new ManualClock();
    members = new Map();
    goneAt = new Map();
    isComplete = true;
    meet(SELF);
    const membership = {
      me: members.get(SELF)!,
      table: { all: () => members.values(), get: (address: string) => members.get(address) },
      goneForMs: (address: string) => clock.now() - (goneAt.get(address) ?? Number.NEGATIVE_INFINITY),
    };
    domain = new DomainMembers({
      clock,
      membership: membership as never,
      failureDomain: 'a',
      isComplete: () => isComplete,
    });
  });

  it('are unknown until all that may use shares are known', () => {
    isComplete = false;
    expect(domain.count).to.equal(undefined);
  });

  it('include those that are listed and were never met, for a minute', () => {
    domain.setRows([row(SELF, 'a'), row(SECOND, 'a'), row(THIRD, 'a'), row(OTHER_DOMAIN, 'b')]);
    expect(domain.count).to.equal(3);
    meet(SECOND);
    expect(domain.count).to.equal(3);
    clock.advance(61_000);
    domain.setRows([row(SELF, 'a'), row(SECOND, 'a'), row(THIRD, 'a'), row(OTHER_DOMAIN, 'b')]);
    expect(domain.count).to.equal(2);
  });

  it('include those whose rows name no failure domain, until they are met', () => {
    domain.setRows([row(SELF, ''), row(OTHER_DOMAIN, '')]);
    expect(domain.count).to.equal(2);
    meet(OTHER_DOMAIN, 'ALIVE', 'b');
    expect(domain.count).to.equal(1);
  });

  it('include those that may only be partitioned for a minute, and those that left while their leases may be used', () => {
    meet(SECOND, 'DEAD');
    meet(THIRD, 'LEFT');
    expect(domain.count).to.equal(3);
    clock.advance(3000);
    expect(domain.count).to.equal(2);
    clock.advance(60_000);
    expect(domain.count).to.equal(1);
  });

  it('include this daemon, whatever its state', () => {
    const me = members.get(SELF)!;
    me.state = 'LEFT';
    expect(domain.count).to.equal(1);
  });
});
