import { digestOfKey } from '@cleatquay/organisations';
import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { PlatformFleet, routeTo, until } from './fixtures/platformFleet.js';

const CLI = 'packages/cli/bin/cleatquay.js';
const BEARER = { Authorization: 'Bearer dairy-key' };

describe('operator commands about an organisation', () => {
  let fleet: PlatformFleet;

  before(async () => {
    const dairy = { name: 'dairy', apiKeys: ['dairy-key'], ratePerS: 2, burst: 1 };
    const vms = [{ service: 'history' }, { service: 'history' }];
    fleet = await PlatformFleet.start(vms, [routeTo('history')], [dairy, { name: 'other', apiKeys: ['x'] }]);
    await until(async () => (await fleet.send(0, { id: 'served', headers: BEARER })).status === 200);
    await until(async () => (await fleet.send(1, { id: 'over', headers: BEARER })).status === 429);
  });

  after(() => fleet[Symbol.asyncDispose]());

  const cleatquay = (...args: string[]) =>
    new Promise<string>((resolve, reject) => {
      const daemon = `--daemon=${fleet.nodes[1]!.daemon.membership.me.operatorAddress}`;
      execFile(process.execPath, [CLI, ...args, daemon], (error, out) =>
        error ? reject(error) : resolve(out),
      );
    });

  it('show its requests to all daemons by outcome', async () => {
    const out = await cleatquay('organisations');
    const [, sent, answered, over] = /^dairy +(\d+) +(\d+) +(\d+)/m.exec(out) ?? [];
    expect(Number(answered)).to.be.at.least(1);
    expect(Number(over)).to.be.at.least(1);
    expect(Number(sent)).to.be.at.least(Number(answered) + Number(over));
    expect(out)
      .to.contain('2 of 2 daemons answered')
      .and.to.not.match(/^other/m);
  });

  it('explain a request with its organisation, quota and the age of the freshness proof', async () => {
    const out = await cleatquay('explain', 'over');
    expect(out).to.contain('dairy').and.to.contain('perSecond').and.to.contain('proofAgeMs');
    expect(out).to.not.contain('dairy-key');
  });

  it('generate a new key and print it with its digest', async () => {
    const out = await cleatquay('new-key');
    const key = /^key +(\S+)$/m.exec(out)?.[1] ?? '';
    expect(key).to.have.lengthOf(32);
    expect(out).to.contain(digestOfKey(key));
    expect(await cleatquay('new-key')).to.not.equal(out);
  });
});
