import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  PlatformFleet,
  type PlatformNode,
  type WrittenOrganisation,
  configurationText,
  routeTo,
  until,
} from './fixtures/platformFleet.js';

const BOUND_MS = 1500;
const DAIRY: WrittenOrganisation = { name: 'dairy', apiKeys: ['kept', 'taken'] };
const ROUTES = [routeTo('history'), routeTo('history', { name: 'open', host: 'open.example', public: true })];

describe('a key that was taken away', () => {
  let fleet: PlatformFleet;

  const start = async (nodes: number) => {
    const vms = Array.from({ length: nodes }, () => ({ service: 'history' }));
    fleet = await PlatformFleet.start(vms, ROUTES, [DAIRY], BOUND_MS);
    await until(async () => (await statusesWith('taken')).every(status => status === 200));
  };

  afterEach(() => fleet[Symbol.asyncDispose]());

  const ask = (node: number | PlatformNode, key: string) =>
    fleet.ask(node, { headers: { Authorization: `Bearer ${key}` } });
  const statusesWith = (key: string) =>
    Promise.all(fleet.nodes.map(async node => (await ask(node, key)).status));
  const takeAway = (version: number) =>
    fleet.store.put(
      'op',
      'config',
      configurationText(version, ROUTES, [{ name: 'dairy', apiKeys: ['kept'] }]),
    );

  it('is honoured nowhere soon after, and the others go on', async () => {
    await start(3);
    takeAway(2);
    await until(async () => (await statusesWith('taken')).every(status => status === 401));
    expect(await statusesWith('kept')).to.deep.equal([200, 200, 200]);
  });

  it('is honoured for no longer than the bound by daemons that the platform does not answer; public routes go on', async () => {
    await start(2);
    for (const { proxy } of fleet.nodes) proxy.reset();
    const cutAt = performance.now();
    takeAway(2);
    while (performance.now() - cutAt < BOUND_MS) await statusesWith('taken');
    expect(await statusesWith('taken')).to.deep.equal([503, 503]);
    expect(await statusesWith('kept')).to.deep.equal([503, 503]);
    expect(await statusesWith('never-held')).to.deep.equal([503, 503]);
    const refused = await ask(0, 'kept');
    expect(refused.text).to.contain('"code":2014').and.to.contain('not-run');
    expect(Number(refused.headers['retry-after'])).to.be.within(0.1, 3);
    expect((await fleet.ask(0, { host: 'open.example' })).status).to.equal(200);
    const keyed = { host: 'open.example', headers: { Authorization: 'Bearer taken' } };
    expect((await fleet.ask(0, keyed)).status).to.equal(503);
  });

  it('costs the others no more than the time without proof: they are honoured again once the platform is back', async () => {
    await start(2);
    fleet.store.faults.down = 503;
    await until(async () => (await statusesWith('kept')).every(status => status === 503));
    fleet.store.faults.down = 'no';
    await until(async () => (await statusesWith('kept')).every(status => status === 200));
  });

  it('is not honoured by a daemon that starts while the platform is away, whatever its peers have', async () => {
    await start(2);
    fleet.store.faults.down = 503;
    await until(async () => (await statusesWith('kept')).every(status => status === 503));
    takeAway(2);
    const { daemon } = await fleet.add({ service: 'history' }, 'late');
    daemon.membership.meet([fleet.nodes[0]!.daemon.membership.me.gossipAddress]);
    await until(() => daemon.configuration.generation === 1);
    expect((await ask(2, 'taken')).status).to.equal(503);
  });

  it('is known to daemons that the platform rejects, from those that it serves, for as long as that lasts', async () => {
    await start(3);
    fleet.nodes[0]!.proxy.reset();
    fleet.nodes[1]!.proxy.reset();
    const end = performance.now() + 2 * BOUND_MS;
    while (performance.now() < end) {
      expect(await statusesWith('kept')).to.deep.equal([200, 200, 200]);
      await sleep(20);
    }
    takeAway(2);
    await until(async () => (await statusesWith('taken')).every(status => status === 401));
  });
});
