import { type Fleet } from '@cleatquay/bench';
import { expect } from 'chai';
import { smallFleet } from './fixtures/smallFleet.js';

describe('the request path', () => {
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

  const send = (path: string, init: RequestInit = {}, ingress = 0) =>
    fetch(`${fleet.callerUrls[ingress]!}${path}`, { ...init, headers: { 'x-token': 't7', ...init.headers } });

  describe('a request', () => {
    it('reaches three services and gets a complete response, from every daemon', async () => {
      for (const ingress of fleet.nodes.keys()) {
        const response = await send('/exports/sensors/7', {}, ingress);
        expect(response.status).to.equal(200);
        expect(response.headers.get('cleatquay-outcome')).to.equal('answered');
        const body = (await response.json()) as { children: { children: { route: string }[] }[] };
        expect(body.children[0]?.children[0]?.route).to.equal('alarms.list');
      }
    });

    it('streams a large response completely', async () => {
      const response = await send('/exports/sensors/7?size=3000000');
      const body = (await response.json()) as { filler: string };
      expect(body.filler).to.have.lengthOf(3_000_000);
    });

    it('streams a large request body completely', async () => {
      const response = await send('/receiving/receipts', { method: 'POST', body: 'x'.repeat(2_000_000) });
      expect(((await response.json()) as { received: number }).received).to.equal(2_000_000);
    });
  });

  describe('a request that matches no route', () => {
    it('gets the code of an unknown route, and the outcome not-run', async () => {
      const response = await send('/history/nothing');
      expect(response.status).to.equal(404);
      expect(response.headers.get('cleatquay-outcome')).to.equal('not-run');
      expect(await response.json()).to.include({ code: 1010, result: 'routeUnknown' });
    });
  });

  describe('an announcement', () => {
    const announce = (change: object) =>
      fetch(`http://${fleet.nodes[0]!.addresses.operator}/upstreams`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ service: 'x', address: '127.0.0.1:9', slots: 1, connections: 1, ...change }),
      });

    it('with an address on another VM is refused, naming the field', async () => {
      const response = await announce({ address: '10.0.0.1:80' });
      expect(await response.json()).to.include({ code: 1006, field: 'address' });
    });

    it('with an address on which nothing listens is refused', async () => {
      const response = await announce({});
      expect(await response.json()).to.include({ code: 1007, field: 'address' });
    });
  });
});
