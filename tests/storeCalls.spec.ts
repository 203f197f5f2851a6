import { expect } from 'chai';
import { PlatformFleet, configurationText, routeTo, until } from './fixtures/platformFleet.js';

const DOMAINS = ['z1', 'z1', 'z1', 'z1', 'z2', 'z2', 'z2', 'z2'];
/** Platform readers of each failure domain. */
const READERS_PER_DOMAIN = 2;

describe('the requests of a fleet to the store', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    const vms = DOMAINS.map(failureDomain => ({ service: 'history', failureDomain }));
    fleet = await PlatformFleet.start(vms, [routeTo('history')]);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const calls = (path: string) => fleet.store.calls.get(path) ?? 0;
  const generations = () => fleet.nodes.map(({ daemon }) => daemon.configuration.generation);

  it('are a row, a list and a configuration for each daemon that starts, and its upstream', () => {
    expect(calls('/cleatquay/rows-tx')).to.be.at.most(2 * DOMAINS.length);
    expect(calls('/cleatquay/rows-get')).to.be.at.most(2 * DOMAINS.length + READERS_PER_DOMAIN);
  });

  it('are those of two daemons in each failure domain for a new configuration, which all daemons get within a second', async () => {
    // Feeds that began while the daemons knew few other members expire first.
    await new Promise(resolve => setTimeout(resolve, 8500));
    const before = calls('/cleatquay/rows-feed');
    const start = performance.now();
    fleet.store.put('op', 'config', configurationText(2, [routeTo('history'), routeTo('alarms')]));
    await until(() => generations().every(generation => generation === 2));
    expect(performance.now() - start).to.be.below(1000);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(calls('/cleatquay/rows-feed') - before).to.be.at.most(2 * READERS_PER_DOMAIN);
  });

  it('are few while the store is unreachable', async () => {
    await new Promise(resolve => setTimeout(resolve, 8500));
    fleet.store.faults.down = 'reset';
    const before = [...fleet.store.calls.values()].reduce((a, b) => a + b, 0);
    await new Promise(resolve => setTimeout(resolve, 5000));
    const requests = [...fleet.store.calls.values()].reduce((a, b) => a + b, 0) - before;
    fleet.store.faults.down = 'no';
    // Sixteen by the four readers; thirty if all eight daemons read the store and check their rows.
    expect(requests).to.be.at.most(22);
  });
});
