import { SystemClock } from '@cleatquay/clock';
import { type Fleet, deployments, operatorFileOf } from '@cleatquay/bench';
import { ConfigurationStore } from '@cleatquay/configuration';
import { HttpStore } from '@cleatquay/store';
import { expect } from 'chai';
import { smallFleet } from './fixtures/smallFleet.js';

const CONFIGURATION_DELAY_MS = 4000;
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("an operator's limit", () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await smallFleet([['alarms', 'regina-a']], file => (file.services.alarms!.slots = 2));
  });

  after(() => fleet[Symbol.asyncDispose]());

  const limitAfterCalls = async () => {
    for (let i = 0; i < 40; i++) await (await fetch(`${fleet.callerUrls[0]!}/alarms/alarms/7`)).text();
    const status = await fetch(`http://${fleet.nodes[0]!.addresses.operator}/status`);
    const { upstreams } = (await status.json()) as { upstreams: { load: { limit: number } }[] };
    return upstreams[0]?.load.limit;
  };

  it('applies to an upstream that announces more slots, also after it has renewed its announcement', async () => {
    await sleep(CONFIGURATION_DELAY_MS);
    expect(await limitAfterCalls()).to.equal(2);
  });

  it('is active within seconds of a change, without a restart of the upstream', async () => {
    await using platform = new HttpStore(fleet.platformUrl);
    const file = structuredClone(operatorFileOf(deployments.frostline!));
    file.services.alarms!.slots = 5;
    await new ConfigurationStore(platform, new SystemClock()).apply(file);
    await sleep(CONFIGURATION_DELAY_MS);
    expect(await limitAfterCalls()).to.equal(5);
  });
});
