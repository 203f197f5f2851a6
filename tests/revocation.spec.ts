import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  PlatformFleet,
  type PlatformNode,
  type OrganisationDefinition,
  configurationText,
  routeTo,
  until,
} from './fixtures/platformFleet.js';

const REVOCATION_MS = 1500;
const ORGANISATION: OrganisationDefinition = { name: 'dairy', apiKeys: ['kept', 'revoked'] };
const ROUTES = [routeTo('history'), routeTo('history', { name: 'open', host: 'open.example', public: true })];

describe('a revoked key', () => {
  let fleet: PlatformFleet;

  const start = async (nodes: number) => {
    const vms = Array.from({ length: nodes }, () => ({ service: 'history' }));
    fleet = await PlatformFleet.start(vms, ROUTES, [ORGANISATION], REVOCATION_MS);
    await until(async () => (await statusesWith('revoked')).every(status => status === 200));
  };

  afterEach(() => fleet[Symbol.asyncDispose]());

  const sendTo = (node: number | PlatformNode, key: string) =>
    fleet.send(node, { headers: { Authorization: `Bearer ${key}` } });
  const statusesWith = (key: string) =>
    Promise.all(fleet.nodes.map(async node => (await sendTo(node, key)).status));
  const revokeKey = (version: number) =>
    fleet.store.put(
      'op',
      'config',
      configurationText(version, ROUTES, [{ name: 'dairy', apiKeys: ['kept'] }]),
    );

  it('is soon accepted by no daemon, while the other keys still are', async () => {
    await start(3);
    revokeKey(2);
    await until(async () => (await statusesWith('revoked')).every(status => status === 401));
    expect(await statusesWith('kept')).to.deep.equal([200, 200, 200]);
  });

  it('is accepted no longer than the revocation time by daemons without the platform; public routes still work', async () => {
    await start(2);
    for (const { proxy } of fleet.nodes) proxy.reset();
    const partitionedAt = performance.now();
    revokeKey(2);
    while (performance.now() - partitionedAt < REVOCATION_MS) await statusesWith('revoked');
    expect(await statusesWith('revoked')).to.deep.equal([503, 503]);
    expect(await statusesWith('kept')).to.deep.equal([503, 503]);
    expect(await statusesWith('never-valid')).to.deep.equal([503, 503]);
    const refusal = await sendTo(0, 'kept');
    expect(refusal.text).to.contain('"code":2014').and.to.contain('not-run');
    expect(Number(refusal.headers['retry-after'])).to.be.within(0.1, 3);
    expect((await fleet.send(0, { host: 'open.example' })).status).to.equal(200);
    const withKey = { host: 'open.example', headers: { Authorization: 'Bearer revoked' } };
    expect((await fleet.send(0, withKey)).status).to.equal(503);
  });

  it('does not affect the other keys for longer than a proof is missing: they are accepted again once the platform is back', async () => {
    await start(2);
    fleet.store.faults.down = 503;
    await until(async () => (await statusesWith('kept')).every(status => status === 503));
    fleet.store.faults.down = 'no';
    await until(async () => (await statusesWith('kept')).every(status => status === 200));
  });

  it('is not accepted by a daemon that starts while the platform is unavailable, whatever configuration its peers have', async () => {
    await start(2);
    fleet.store.faults.down = 503;
    await until(async () => (await statusesWith('kept')).every(status => status === 503));
    revokeKey(2);
    const { daemon } = await fleet.add({ service: 'history' }, 'late');
    daemon.membership.join([fleet.nodes[0]!.daemon.membership.me.gossipAddress]);
    await until(() => daemon.configuration.generation === 1);
    expect((await sendTo(2, 'revoked')).status).to.equal(503);
  });

  it('is known to daemons that the platform rejects, by way of those that it serves, however long that lasts', async () => {
    await start(3);
    fleet.nodes[0]!.proxy.reset();
    fleet.nodes[1]!.proxy.reset();
    const end = performance.now() + 2 * REVOCATION_MS;
    while (performance.now() < end) {
      expect(await statusesWith('kept')).to.deep.equal([200, 200, 200]);
      await sleep(20);
    }
    revokeKey(2);
    await until(async () => (await statusesWith('revoked')).every(status => status === 401));
  });
});
