import { Gossip } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { createSocket } from 'node:dgram';
import { PlatformFleet, routeTo, until } from './fixtures/platformFleet.js';

const ROUNDS = 60;
const RUNS = { numRuns: ROUNDS };

/** Announcements without a usable upstream: with missing fields, other types or unknown values. */
const invalidAnnouncement = fc
  .record(
    {
      service: fc.oneof(fc.constant('history'), fc.string(), fc.integer()),
      address: fc.oneof(fc.constant('127.0.0.1:9'), fc.string(), fc.constant(null)),
      zone: fc.anything(),
      version: fc.anything(),
      slots: fc.oneof(fc.constant(4), fc.double(), fc.string()),
      state: fc.oneof(fc.constantFrom('resting', 'READY', ''), fc.integer()),
      warmupLeftS: fc.oneof(fc.constant(0), fc.string()),
      sequence: fc.oneof(fc.constant(1e6), fc.string()),
      born: fc.oneof(fc.double(), fc.string()),
    },
    { requiredKeys: ['state'] },
  )
  .map(body => JSON.stringify(body));
const bytes = fc.uint8Array({ maxLength: 300 }).map(array => Buffer.from(array));

describe('invalid input from other processes', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start(
      [{ service: 'history' }, { service: 'alarms' }],
      [routeTo('history'), routeTo('alarms')],
    );
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const post = async (id: string, action: string, body: string | Buffer) => {
    const announcements = fleet.nodes[0]!.daemon.addresses.get('announcements')!;
    const url = `http://${announcements}/cleatquay/instances/${id}/${action}`;
    const response = await fetch(url, { method: 'POST', body });
    await response.arrayBuffer();
    return response.status;
  };
  const registered = () =>
    fleet.nodes[0]!.daemon.upstreams.identifiedUpstreams.map(({ instanceId }) => instanceId);
  const expectServed = async () => expect((await fleet.send(1)).status).to.equal(200);

  describe('in an announcement', () => {
    it('registers no upstream', async () => {
      await fc.assert(
        fc.asyncProperty(fc.oneof(invalidAnnouncement, bytes), async body => {
          expect(await post('i-0', 'heartbeat', body)).to.be.within(400, 499);
          expect(registered()).to.deep.equal(['i-0']);
        }),
        RUNS,
      );
      await expectServed();
    });

    it('does not register a service without configuration at the address of another upstream', async () => {
      const { address } = fleet.nodes[0]!.daemon.upstreams.identifiedUpstreams[0]!;
      const body = { service: 'unheard-of', address, slots: 4, state: 'ready', sequence: 1 };
      expect(await post('i-9', 'heartbeat', JSON.stringify(body))).to.be.within(400, 499);
      expect(registered()).to.deep.equal(['i-0']);
      await expectServed();
    });

    it('is rejected if the id can not be decoded', async () => {
      expect(await post('%E0%A4%A', 'heartbeat', '{}')).to.be.within(400, 499);
    });
  });

  describe('in a row of the store', () => {
    const invalidRow = fc.oneof(
      fc.json(),
      fc.string(),
      fc.record({ gossipAddress: fc.string() }).map(value => JSON.stringify(value)),
      fc.constantFrom('{"gossipAddress":"127.0.0.1:99999"}', '{"gossipAddress":"nowhere"}'),
    );

    it('prevents no daemon from discovering the others', async () => {
      fc.sample(invalidRow, ROUNDS).forEach((text, i) =>
        fleet.store.put('daemons', `000-${String(i)}`, text),
      );
      fleet.store.put('daemons', '127.0.0.1:70000', '{"gossipAddress":"127.0.0.1:70000"}');
      const node = await fleet.add({ service: 'history' }, 'i-2');
      await until(() => node.daemon.membership.aliveCount() === 2 && node.daemon.isReady);
      await expectServed();
    });

    it('that replaced the row of a daemon is overwritten when the daemon restarts', async () => {
      const [node] = fleet.nodes;
      const { address } = node!.daemon.membership.me;
      fleet.store.put('daemons', address, '{"gossipAddress":17}');
      await fleet.restart(node!);
      await until(() => fleet.store.text('daemons', address)?.includes('127.0.0.1') === true);
      await until(() => node!.daemon.isReady);
    });
  });

  describe('in a datagram', () => {
    it('crashes no daemon if there is no response to its sender', async () => {
      const socket = createSocket('udp4');
      const [ip, port] = fleet.nodes[0]!.daemon.membership.me.gossipAddress.split(':');
      for (const from of ['nowhere', '127.0.0.1:99999', '']) {
        const message = {
          from,
          ping: { sequence: 1, target: '' },
          ack: undefined,
          sync: undefined,
          members: [],
          generation: 0,
          digest: 0,
          bulk: false,
          findings: [],
          findingsDigest: 0,
          quotaQuestion: undefined,
          quotaAnswer: undefined,
        };
        const gossip = Gossip.encode(message).finish();
        await new Promise(resolve => socket.send(gossip, Number(port), ip, resolve));
      }
      await new Promise(resolve => setTimeout(resolve, 100));
      socket.close();
      await expectServed();
    });
  });
});
