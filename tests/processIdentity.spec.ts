import { ProcessIdentity, RequestIdIssuer, parseRequestId } from '@cleatquay/calls';
import { SimulatedNetwork, simulatedAddresses } from '@cleatquay/bench';
import { ManualClock } from '@cleatquay/clock';
import { QuotaCoordinator } from '@cleatquay/organisations';
import { type Upstream } from '@cleatquay/protocol';
import { expect } from 'chai';

const [ADDRESS, OTHER] = simulatedAddresses(2) as [string, string];
/** Request ids that earlier builds accept, whose second part was an epoch. */
const EARLIER_PATTERN = /^([\d.]{7,15}:\d{1,5})~([\da-z]{1,11})~([\da-z]{1,9})~([\da-z]{1,11})$/;

describe('two processes of a daemon with the same epoch', () => {
  // Guards against a process that runs a request again whose id the one before it issued.
  it('issue different request ids, which each knows for its own, and which earlier builds accept', () => {
    const clock = new ManualClock();
    const processes = [new ProcessIdentity(clock), new ProcessIdentity(clock)];
    const ids = processes.map(process => new RequestIdIssuer(clock, ADDRESS, process).issue(1000));
    expect(ids[0]).to.not.equal(ids[1]);
    expect(ids.map(id => parseRequestId(id)?.process)).to.deep.equal(processes.map(({ digits }) => digits));
    for (const id of ids) expect(id).to.match(EARLIER_PATTERN);
  });

  // Guards against a share of a quota that is granted by two coordinators, since the second took the lease of the first.
  it('do not hold the leases of each other', () => {
    const create = () =>
      new QuotaCoordinator({
        now: () => 0,
        division: { failureDomains: 1, slack: 0 },
        quotaOf: () => undefined,
        isInSameDomain: () => true,
      });
    const [first, second] = [create(), create()];
    const request = { number: 1, shard: 0, asks: [], isTransfer: false };
    const { offer } = first.handleRequest({ ...request, loan: undefined }, OTHER);
    const loan = { ...offer!, share: 0.5 };
    second.handleRequest({ ...request, loan }, OTHER);
    expect(second.shareOf(0)).to.equal(0);
    first.handleRequest({ ...request, loan }, OTHER);
    expect(first.shareOf(0)).to.equal(0.5);
  });

  // Guards against records of the later process that are ignored, since the earlier one had changed its own more often.
  it('do not hide the upstreams of the later one from members that know the earlier one', async () => {
    await using network = new SimulatedNetwork('same epoch');
    const upstream = (address: string): Upstream => ({
      service: 's',
      address,
      slots: 1,
      connections: 1,
      draining: false,
    });
    network.start(OTHER, [ADDRESS]);
    const earlier = network.start(ADDRESS, [OTHER]);
    for (let port = 1; port < 10; port++) earlier.setUpstreams([upstream(`10.0.0.1:${String(port)}`)]);
    await network.advance(1000);
    const { epoch } = earlier.me;
    await network.kill(ADDRESS);
    network.start(ADDRESS, [OTHER], 'a', epoch).setUpstreams([upstream('10.0.0.1:20')]);
    await network.advance(3000);
    const known = network.get(OTHER).table.get(ADDRESS);
    expect(known?.upstreams.map(({ address }) => address)).to.deep.equal(['10.0.0.1:20']);
  });
});
