import { parseNotice } from '@cleatquay/calls';
import { expect } from 'chai';
import fc from 'fast-check';
import { type CallerResponse, PlatformFleet, routeTo, until } from './fixtures/platformFleet.js';

describe('the notice in the headers of a response', () => {
  describe('the rate limit', () => {
    for (const [text, rate] of [
      ['18.9', 18.9],
      ['0', 0],
      ['11', 11],
      [' 7.50 ', 7.5],
    ] as const)
      it(`parses "${text}" as ${String(rate)} requests per second`, () =>
        expect(parseNotice(text, undefined).rateLimit).to.equal(rate));

    for (const text of ['', '-3', 'many', 'NaN', 'Infinity', '1e308', '0x10', '1_000', '9'.repeat(400)])
      it(`is unclear for "${text.slice(0, 10)}"`, () =>
        expect(parseNotice(text, undefined).rateLimit).to.equal('unclear'));

    it('is the lowest of several, sent as a list or as repeated headers', () => {
      expect(parseNotice(['40', '12'], undefined).rateLimit).to.equal(12);
      expect(parseNotice('40, 12', undefined).rateLimit).to.equal(12);
      expect(parseNotice(['40', 'many'], undefined).rateLimit).to.equal(40);
    });

    it('is a finite number or not a number, for any header value', () => {
      fc.assert(
        fc.property(fc.oneof(fc.string(), fc.array(fc.string()), fc.double().map(String)), header => {
          const { rateLimit } = parseNotice(header, undefined);
          if (typeof rateLimit === 'number') expect(rateLimit).to.be.within(0, Number.MAX_VALUE);
        }),
      );
    });
  });

  describe('that the upstream is shutting down', () => {
    it('is recognised from the value "1" only', () => {
      expect(parseNotice(undefined, '1').isLeaving).to.equal(true);
      for (const other of [undefined, '0', '', 'true', '11'])
        expect(parseNotice(undefined, other).isLeaving).to.equal(false);
    });
  });

  describe('in logs and metrics', () => {
    let fleet: PlatformFleet;

    beforeEach(async () => {
      fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history')]);
    });

    afterEach(() => fleet[Symbol.asyncDispose]());

    const send = (): Promise<CallerResponse> => fleet.send(0);
    const lines = (text: string) => fleet.logged.filter(({ msg }) => msg.includes(text)).length;
    const metrics = async () => {
      const { operatorAddress } = fleet.nodes[0]!.daemon.membership.me;
      return (await fetch(`http://${operatorAddress}/metrics`)).text();
    };

    it('is logged when it changes, and exported', async () => {
      const { behaviour } = fleet.nodes[0]!.upstream;
      await send();
      expect(await metrics()).to.match(/^cleatquay_upstream_rate_limit -1$/m);
      behaviour.rateLimit = '18.9';
      await send();
      expect(lines('An upstream reports a rate limit.')).to.equal(1);
      expect(await metrics()).to.match(/^cleatquay_upstream_rate_limit 18.9$/m);
      expect(await metrics()).to.match(/^cleatquay_upstream_answers_with_rate_limit 1$/m);
      behaviour.rateLimit = 'many';
      await until(async () => (await send()) && lines('CQ1017') === 1);
      behaviour.rateLimit = undefined;
      await until(async () => (await send()) && lines('no longer reports a rate limit') === 1);
    });

    it('is logged at most once a second, however often it changes', async () => {
      const { behaviour } = fleet.nodes[0]!.upstream;
      for (let i = 1; i <= 20; i++) {
        behaviour.rateLimit = String(1000 + i);
        await send();
      }
      expect(lines('An upstream reports a rate limit.')).to.be.within(1, 2);
    });
  });
});
