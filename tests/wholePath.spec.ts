import { type Fleet } from '@cleatquay/bench';
import { expect } from 'chai';
import { smallFleet } from './fixtures/smallFleet.js';

describe('the whole path', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await smallFleet([
      ['history', 'regina-a'],
      ['receiving', 'moose-b'],
      ['exports', 'swift-c'],
      ['alarms', 'moose-b'],
    ]);
  });

  after(() => fleet[Symbol.asyncDispose]());

  const ask = (path: string, init: RequestInit = {}, entry = 0) =>
    fetch(`${fleet.callerUrls[entry]!}${path}`, { ...init, headers: { 'x-token': 't7', ...init.headers } });

  describe('a request', () => {
    it('goes three services deep and comes back whole, from every daemon', async () => {
      for (const entry of fleet.nodes.keys()) {
        const answer = await ask('/exports/sensors/7', {}, entry);
        expect(answer.status).to.equal(200);
        expect(answer.headers.get('cleatquay-outcome')).to.equal('answered');
        const body = (await answer.json()) as { children: { children: { route: string }[] }[] };
        expect(body.children[0]?.children[0]?.route).to.equal('alarms.list');
      }
    });

    it('streams a large answer whole', async () => {
      const answer = await ask('/exports/sensors/7?size=3000000');
      const body = (await answer.json()) as { filler: string };
      expect(body.filler).to.have.lengthOf(3_000_000);
    });

    it('streams a large body whole', async () => {
      const answer = await ask('/receiving/receipts', { method: 'POST', body: 'x'.repeat(2_000_000) });
      expect(((await answer.json()) as { received: number }).received).to.equal(2_000_000);
    });
  });

  describe('a request that no route fits', () => {
    it('is told so by number, as not run', async () => {
      const answer = await ask('/history/nothing');
      expect(answer.status).to.equal(404);
      expect(answer.headers.get('cleatquay-outcome')).to.equal('not-run');
      expect(await answer.json()).to.include({ code: 1010, result: 'routeUnknown' });
    });
  });

  describe('an announcement', () => {
    const announce = (change: object) =>
      fetch(`http://${fleet.nodes[0]!.addresses.operator}/upstreams`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ service: 'x', address: '127.0.0.1:9', slots: 1, connections: 1, ...change }),
      });

    it('of another VM is refused, naming the field', async () => {
      const answer = await announce({ address: '10.0.0.1:80' });
      expect(await answer.json()).to.include({ code: 1006, field: 'address' });
    });

    it('of an address where nothing listens is refused', async () => {
      const answer = await announce({});
      expect(await answer.json()).to.include({ code: 1007, field: 'address' });
    });
  });
});
