import { Membership } from '@cleatquay/membership';
import { expect } from 'chai';
import fc from 'fast-check';
import { SimulatedNetwork, simulatedAddresses as addresses } from '@cleatquay/bench';

const COUNT = 30;
const [FIRST_SEED, SECOND_SEED] = addresses(2) as [string, string];

async function joinedNetwork(seed: string, count = COUNT): Promise<SimulatedNetwork> {
  const network = new SimulatedNetwork(seed);
  for (const address of addresses(count))
    network.start(address, [FIRST_SEED, SECOND_SEED], address < '10.0.0.2' ? 'a' : 'b');
  await network.advance(5000);
  return network;
}

describe('membership', () => {
  it('gives each member the full list through two seeds', async () => {
    await using network = await joinedNetwork('join');
    for (const address of network.addresses)
      expect(network.countViews(address, ['ALIVE'])).to.equal(COUNT - 1);
  });

  it('declares only a killed member dead while one datagram in ten is lost', async () => {
    await using network = await joinedNetwork('kill');
    network.deliveryPolicy = () => (network.random() < 0.1 ? 'lose' : 'deliver');
    const victim = network.addresses[7]!;
    await network.kill(victim);
    await network.advance(40_000);
    expect(network.countViews(victim, ['DEAD'])).to.equal(COUNT - 1);
    for (const address of network.addresses) expect(network.countViews(address, ['DEAD'])).to.equal(0);
  });

  it('marks a member as having left as soon as it leaves', async () => {
    await using network = await joinedNetwork('leave');
    const leaving = network.addresses[9]!;
    network.get(leaving).leave();
    await network.advance(1000);
    expect(network.countViews(leaving, ['LEFT'])).to.equal(COUNT - 1);
  });

  it('broadcasts a drain to all members within two seconds', async () => {
    await using network = await joinedNetwork('drain');
    const draining = network.addresses[3]!;
    const upstream = { service: 's', address: draining, slots: 1, connections: 1, draining: true };
    network.get(draining).setUpstreams([upstream]);
    await network.advance(2000);
    const views = network.addresses.map(a => network.get(a).table.get(draining)?.upstreams[0]?.draining);
    expect(views).to.deep.equal(Array(COUNT).fill(true));
  });

  it('broadcasts a drain to every member of each of twenty fleets', async () => {
    for (let i = 0; i < 20; i++) {
      await using network = await joinedNetwork(`drain-${String(i)}`);
      const draining = network.addresses[3]!;
      const upstream = { service: 's', address: draining, slots: 1, connections: 1, draining: true };
      network.get(draining).setUpstreams([upstream]);
      await network.advance(2000);
      const informed = network.addresses.filter(
        a => network.get(a).table.get(draining)?.upstreams[0]?.draining === true,
      );
      expect(informed).to.have.lengthOf(COUNT);
    }
  });

  it('recognises a replaced VM at the same address as a new process', async () => {
    await using network = await joinedNetwork('replace');
    const address = network.addresses[5]!;
    const old = network.get(address).me.epoch;
    await network.kill(address);
    network.start(address, [FIRST_SEED, SECOND_SEED]);
    await network.advance(5000);
    expect(network.countViews(address, ['ALIVE'])).to.equal(COUNT - 1);
    const epochs = network.addresses.map(a => network.get(a).table.get(address)?.epoch ?? 0);
    expect(Math.min(...epochs)).to.be.greaterThan(old);
  });

  it('recovers after minutes of a network partition, even if one side was replaced meanwhile', async function () {
    this.timeout(120_000);
    await using network = await joinedNetwork('heal', 12);
    const isInFirstHalf = (address: string) => address < addresses(12)[6]!;
    network.deliveryPolicy = (from, to) => (isInFirstHalf(from) === isInFirstHalf(to) ? 'deliver' : 'lose');
    await network.advance(120_000);
    for (const address of network.addresses.filter(isInFirstHalf)) {
      await network.kill(address);
      network.start(address, [FIRST_SEED, SECOND_SEED]);
    }
    await network.advance(60_000);
    network.deliveryPolicy = () => 'deliver';
    await network.advance(120_000);
    for (const address of network.addresses)
      expect(network.countViews(address, ['ALIVE']), address).to.equal(11);
  });

  it('broadcasts a generation to all members within two seconds', async () => {
    await using network = await joinedNetwork('spread');
    network.get(FIRST_SEED).setConfiguration({ generation: 7, shortDigest: 1 });
    await network.advance(2000);
    const informed = network.addresses
      .filter(a => a !== FIRST_SEED)
      .map(a => network.receivedGenerations.get(a));
    expect(informed).to.deep.equal(Array(COUNT - 1).fill(7));
  });

  describe('of two hundred daemons that start within a third of a second, and discover those before them in a table', () => {
    const SIZE = 200;

    it('is complete within two seconds, for a few hundred bytes per pair', async () => {
      await using network = new SimulatedNetwork('many');
      for (const [i, address] of addresses(SIZE).entries()) {
        network.start(address, []).join(addresses(i));
        if (i % 6 === 5) await network.advance(10);
      }
      await network.advance(2000);
      const known = network.addresses.map(address => network.get(address).aliveCount());
      expect(Math.min(...known)).to.be.at.least(SIZE - 3);
      const sent = network.addresses.reduce((sum, a) => sum + network.get(a).traffic.sentBytes, 0);
      // 225 MB if each joins all others, 14 MB if each joins three.
      expect(sent / 1e6).to.be.below(25);
    });
  });

  it('tolerates any datagram', async () => {
    await using network = new SimulatedNetwork('fuzz');
    let deliver: (bytes: Uint8Array) => void = () => undefined;
    const self = {
      address: FIRST_SEED,
      gossipAddress: FIRST_SEED,
      operatorAddress: FIRST_SEED,
      failureDomain: 'a',
      epoch: 5,
    };
    await using membership = new Membership({
      clock: network.clock,
      random: network.random,
      datagrams: { address: FIRST_SEED, send: () => undefined, receive: handler => (deliver = handler) },
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
