import { expect } from 'chai';
import { PlatformFleet, routeTo, until } from './fixtures/platformFleet.js';

describe('upstreams on the platform', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    fleet = await PlatformFleet.start([{ service: 'history' }, { service: 'history' }], [routeTo('history')]);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const distinctStamps = async (count: number) => {
    const responses = await Promise.all(Array.from({ length: count }, (_, i) => fleet.send(i % 2)));
    expect(responses.every(({ status }) => status === 200)).to.equal(true);
    return new Set(responses.map(({ headers }) => headers['server-stamp']));
  };

  it('get no requests once their shutdown is acknowledged, despite late announcements', async () => {
    const { upstream } = fleet.nodes[0]!;
    expect(await upstream.announce({ state: 'draining', sequence: 1000 })).to.equal(200);
    await upstream.announce({ state: 'ready', sequence: 999 });
    await upstream.announce({ state: 'ready', sequence: 1001 });
    expect([...(await distinctStamps(20))]).to.deep.equal(['i-1']);
  });

  it('get no requests after a shutdown without draining, also while the store is down', async () => {
    fleet.store.faults.down = 'silent';
    expect(await fleet.nodes[0]!.upstream.leave()).to.equal(200);
    expect([...(await distinctStamps(20))]).to.deep.equal(['i-1']);
    fleet.store.faults.down = 'no';
  });

  it('are recorded in the store when they shut down, for a restarted daemon', async () => {
    const { daemon, upstream } = fleet.nodes[0]!;
    await upstream.leave();
    const row = fleet.store.text('daemons', daemon.membership.me.address);
    expect(row).to.contain(upstream.instanceId);
  });

  it('are restored by a restarted daemon before their next announcement', async () => {
    const [node] = fleet.nodes;
    const { instanceId } = node!.upstream;
    await until(
      () => fleet.store.text('daemons', node!.daemon.membership.me.address)?.includes(instanceId) === true,
    );
    node!.upstream.stopAnnouncing();
    await fleet.restart(node!);
    await until(() => node!.daemon.upstreams.identifiedUpstreams.length > 0);
    expect(node!.daemon.upstreams.identifiedUpstreams.map(known => known.instanceId)).to.deep.equal([
      instanceId,
    ]);
  });

  it('are not restored by a restarted daemon if the store missed their shutdown', async () => {
    const [node] = fleet.nodes;
    const { address } = node!.daemon.membership.me;
    await until(() => fleet.store.text('daemons', address)?.includes(node!.upstream.instanceId) === true);
    const before = fleet.store.text('daemons', address)!;
    node!.upstream.stopAnnouncing();
    await node!.upstream.leave();
    fleet.store.put('daemons', address, before);
    await fleet.restart(node!);
    await until(() =>
      fleet.logged.some(({ msg }) =>
        msg.includes('A recorded upstream is not restored: no health check confirmed that it is running.'),
      ),
    );
    expect(node!.daemon.upstreams.identifiedUpstreams).to.deep.equal([]);
  });

  it('get no requests from a restarted daemon after their shutdown', async () => {
    const [node] = fleet.nodes;
    node!.upstream.stopAnnouncing();
    await node!.upstream.leave();
    await fleet.restart(node!);
    await until(() => node!.daemon.isReady);
    expect([...(await distinctStamps(20))]).to.deep.equal(['i-1']);
  });

  it('that crash get no more requests after the first refused connection, which is rerouted', async () => {
    await fleet.nodes[0]!.upstream[Symbol.asyncDispose]();
    expect([...(await distinctStamps(20))]).to.deep.equal(['i-1']);
  });

  it('are refused with a result code if their announcement is invalid', async () => {
    const { upstream } = fleet.nodes[0]!;
    expect(await upstream.announce({ slots: 'many' })).to.equal(400);
    expect(await upstream.announce({ address: 'nowhere' })).to.equal(400);
    const url = `http://${fleet.nodes[0]!.daemon.addresses.get('announcements')!}/cleatquay/instances/i-0/heartbeat`;
    const truncated = await fetch(url, { method: 'POST', body: '{"service":' });
    expect(truncated.status).to.equal(400);
    expect(await truncated.text()).to.contain('CQ1006');
    const tooLong = await fetch(url, { method: 'POST', body: 'x'.repeat(50_000) });
    expect(tooLong.status).to.equal(413);
  });

  it('and daemons are discovered despite an invalid row', async () => {
    fleet.store.put('daemons', 'junk', 'no JSON');
    const added = await fleet.add({ service: 'history' }, 'i-2');
    await until(() => added.daemon.isReady);
    await fleet.waitUntilConverged();
    expect(fleet.logged.map(({ msg }) => msg)).to.include('Meeting: Skipped an invalid row.');
  });

  it('and daemons are discovered again after their rows have expired', async () => {
    const { address } = fleet.nodes[0]!.daemon.membership.me;
    fleet.store.remove('daemons', address);
    const added = await fleet.add({ service: 'history' }, 'i-2');
    await until(() => added.daemon.isReady);
    await fleet.waitUntilConverged();
    expect((await distinctStamps(40)).size).to.equal(3);
  });
});
