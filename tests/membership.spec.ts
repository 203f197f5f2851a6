import { Membership } from '@cleatquay/membership';
import { expect } from 'chai';
import fc from 'fast-check';
import { SimulatedNetwork, simulatedAddresses as addresses } from '@cleatquay/bench';

const COUNT = 30;
const [FIRST, SECOND] = addresses(2) as [string, string];

async function joined(seed: string, count = COUNT): Promise<SimulatedNetwork> {
  const network = new SimulatedNetwork(seed);
  for (const address of addresses(count))
    network.start(address, [FIRST, SECOND], address < '10.0.0.2' ? 'a' : 'b');
  await network.pass(5000);
  return network;
}

describe('membership', () => {
  it('lets everybody know everybody, by two seeds', async () => {
    await using network = await joined('join');
    for (const address of network.addresses)
      expect(network.countSeen(address, ['ALIVE'])).to.equal(COUNT - 1);
  });

  it('finds a killed member out, and accuses nobody else, while one datagram in ten is lost', async () => {
    await using network = await joined('kill');
    network.path = () => (network.random() < 0.1 ? 'lose' : 'deliver');
    const victim = network.addresses[7]!;
    await network.kill(victim);
    await network.pass(40_000);
    expect(network.countSeen(victim, ['DEAD'])).to.equal(COUNT - 1);
    for (const address of network.addresses) expect(network.countSeen(address, ['DEAD'])).to.equal(0);
  });

  it('takes a member that left out at once', async () => {
    await using network = await joined('leave');
    const leaving = network.addresses[9]!;
    network.get(leaving).leave();
    await network.pass(1000);
    expect(network.countSeen(leaving, ['LEFT'])).to.equal(COUNT - 1);
  });

  it('tells everybody of a drain within two seconds', async () => {
    await using network = await joined('drain');
    const draining = network.addresses[3]!;
    const upstream = { service: 's', address: draining, slots: 1, connections: 1, draining: true };
    network.get(draining).setUpstreams([upstream]);
    await network.pass(2000);
    const views = network.addresses.map(a => network.get(a).table.get(draining)?.upstreams[0]?.draining);
    expect(views).to.deep.equal(Array(COUNT).fill(true));
  });

  it('misses nobody with that in twenty fleets', async () => {
    for (let i = 0; i < 20; i++) {
      await using network = await joined(`drain-${String(i)}`);
      const draining = network.addresses[3]!;
      const upstream = { service: 's', address: draining, slots: 1, connections: 1, draining: true };
      network.get(draining).setUpstreams([upstream]);
      await network.pass(2000);
      const heard = network.addresses.filter(
        a => network.get(a).table.get(draining)?.upstreams[0]?.draining === true,
      );
      expect(heard).to.have.lengthOf(COUNT);
    }
  });

  it('takes a replaced VM at the same address for a new one', async () => {
    await using network = await joined('replace');
    const address = network.addresses[5]!;
    const old = network.get(address).me.epoch;
    await network.kill(address);
    network.start(address, [FIRST, SECOND]);
    await network.pass(5000);
    expect(network.countSeen(address, ['ALIVE'])).to.equal(COUNT - 1);
    const epochs = network.addresses.map(a => network.get(a).table.get(address)?.epoch ?? 0);
    expect(Math.min(...epochs)).to.be.greaterThan(old);
  });

  it('heals after minutes of partition, also when one side was replaced meanwhile', async function () {
    this.timeout(120_000);
    await using network = await joined('heal', 12);
    const isLeft = (address: string) => address < addresses(12)[6]!;
    network.path = (from, to) => (isLeft(from) === isLeft(to) ? 'deliver' : 'lose');
    await network.pass(120_000);
    for (const address of network.addresses.filter(isLeft)) {
      await network.kill(address);
      network.start(address, [FIRST, SECOND]);
    }
    await network.pass(60_000);
    network.path = () => 'deliver';
    await network.pass(120_000);
    for (const address of network.addresses)
      expect(network.countSeen(address, ['ALIVE']), address).to.equal(11);
  });

  it('spreads a generation to everybody within two seconds', async () => {
    await using network = await joined('spread');
    network.get(FIRST).setConfiguration({ generation: 7, shortDigest: 1 });
    await network.pass(2000);
    const heard = network.addresses.filter(a => a !== FIRST).map(a => network.generationsHeard.get(a));
    expect(heard).to.deep.equal(Array(COUNT - 1).fill(7));
  });

  describe('of two hundred that start within a third of a second, and know of those before them by a table', () => {
    const SIZE = 200;

    it('knows everybody within two seconds, for a few hundred bytes a pair', async () => {
      await using network = new SimulatedNetwork('many');
      for (const [i, address] of addresses(SIZE).entries()) {
        network.start(address, []).meet(addresses(i));
        if (i % 6 === 5) await network.pass(10);
      }
      await network.pass(2000);
      const known = network.addresses.map(address => network.get(address).aliveCount());
      expect(Math.min(...known)).to.be.at.least(SIZE - 3);
      const sent = network.addresses.reduce((sum, a) => sum + network.get(a).traffic.sentBytes, 0);
      // 225 MB when each met all others, 14 with three.
      expect(sent / 1e6).to.be.below(25);
    });
  });

  it('takes no harm from any datagram', async () => {
    await using network = new SimulatedNetwork('fuzz');
    let deliver: (bytes: Uint8Array) => void = () => undefined;
    const self = {
      address: FIRST,
      gossipAddress: FIRST,
      operatorAddress: FIRST,
      failureDomain: 'a',
      epoch: 5,
    };
    await using membership = new Membership({
      clock: network.clock,
      random: network.random,
      datagrams: { address: FIRST, send: () => undefined, receive: handler => (deliver = handler) },
      seeds: [],
      self,
      onConfiguration: () => undefined,
      onChange: () => undefined,
    });
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 300 }), bytes => {
        deliver(bytes);
        expect(membership.me.state).to.equal('ALIVE');
      }),
      { numRuns: 2000 },
    );
  });
});
