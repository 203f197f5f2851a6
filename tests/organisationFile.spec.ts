import { type Fleet } from '@cleatquay/bench';
import { joinSections, splitSections } from '@cleatquay/configuration';
import { defaultDialect } from '@cleatquay/calls';
import { digestOfKey } from '@cleatquay/organisations';
import { CallGraph, type OperatorFile, checkOperatorFile } from '@cleatquay/settings';
import { expect } from 'chai';
import { readFileSync } from 'node:fs';
import { CALL_CONTEXT } from './fixtures/callContext.js';
import { smallFleet } from './fixtures/smallFleet.js';

const DAIRY_KEY = 'dairy-key';
const PATH = '/alarms/alarms/7';

const organisations = {
  dairy: { keyDigests: [digestOfKey(DAIRY_KEY)], rank: 0, quota: { perSecond: 20, burst: 10 } },
  pharmacy: { keyDigests: [digestOfKey('pharmacy-key')] },
};

function fileWith(change: object): unknown {
  const file = JSON.parse(readFileSync('deployments/frostline.json', 'utf8')) as object;
  return { ...file, ...change };
}

describe('organisations in the operator file', () => {
  it('are split into sections of their own and joined again', () => {
    const file = checkOperatorFile(fileWith({ organisations }));
    const sections = splitSections(file);
    expect([...sections.keys()]).to.include.members(['organisation:dairy', 'organisation:pharmacy']);
    expect(joinSections(sections)).to.deep.equal(file);
  });

  it('distinguish an empty list from a missing one', () => {
    const emptyList = joinSections(splitSections(checkOperatorFile(fileWith({ organisations: {} }))));
    expect(new CallGraph(emptyList).keyring?.organisations).to.deep.equal([]);
    const withoutList = joinSections(splitSections(checkOperatorFile(fileWith({}))));
    expect(new CallGraph(withoutList).keyring).to.equal(undefined);
  });

  it("determine a request's priority before its route does", () => {
    const graph = new CallGraph(checkOperatorFile(fileWith({ organisations })));
    const confirm = graph.get('receiving.confirm')!;
    const read = graph.get('history.read')!;
    const { dairy, pharmacy } = Object.fromEntries(
      graph.keyring!.organisations.map(organisation => [organisation.name, organisation]),
    );
    expect(graph.classOf(read, dairy)).to.be.below(graph.classOf(read, pharmacy));
    expect(graph.classOf(confirm, dairy)).to.be.below(graph.classOf(read, dairy));
    expect(graph.classOf(read, pharmacy)).to.be.below(graph.classes);
  });

  const refused: Record<string, object> = {
    'a key in place of its digest': { dairy: { keyDigests: ['plain-key'] } },
    'a key shared by two organisations': { ...organisations, other: organisations.dairy },
    'a quota of zero': { dairy: { keyDigests: [], quota: { perSecond: 0 } } },
    'a negative burst': { dairy: { keyDigests: [], quota: { perSecond: 1, burst: -1 } } },
    'a name with a space': { 'two words': { keyDigests: [] } },
  };
  for (const [defect, declared] of Object.entries(refused)) {
    it(`are refused for ${defect}`, () => {
      expect(() => checkOperatorFile(fileWith({ organisations: declared })))
        .to.throw()
        .with.property('result', 'configurationInvalid');
    });
  }

  it('are forwarded to upstreams by name in a header, which is left out if there is none', () => {
    const headers = (organisation: string) =>
      defaultDialect.requestHeaders({ ...CALL_CONTEXT, organisation }, '');
    expect(headers('dairy')).to.include.members(['cleatquay-organisation', 'dairy']);
    expect(headers('')).to.not.include('cleatquay-organisation');
  });

  describe('on daemons', () => {
    let fleet: Fleet;

    before(async () => {
      const change = (file: OperatorFile) => void Object.assign(file, { organisations });
      fleet = await smallFleet(
        [
          ['alarms', 'regina-a'],
          ['alarms', 'moose-b'],
        ],
        change,
      );
    });

    after(() => fleet[Symbol.asyncDispose]());

    const sendRequest = async (node: number, key?: string) => {
      const headers: Record<string, string> = key === undefined ? {} : { authorization: `Bearer ${key}` };
      const response = await fetch(`${fleet.callerUrls[node]!}${PATH}`, { headers });
      await response.arrayBuffer();
      return response.status;
    };

    it('accept requests with a known key only', async () => {
      expect(await sendRequest(0, 'pharmacy-key')).to.equal(200);
      expect(await sendRequest(1, 'pharmacy-key')).to.equal(200);
      expect(await sendRequest(0)).to.equal(401);
      expect(await sendRequest(1, 'nobody')).to.equal(401);
    });

    it('are limited by their quotas across the fleet', async () => {
      const until = performance.now() + 10_000;
      while ((await sendRequest(0, DAIRY_KEY)) !== 200) expect(performance.now()).to.be.below(until);
      const statuses = await Promise.all(
        Array.from({ length: 150 }, (_, i) => sendRequest(i % 2, DAIRY_KEY)),
      );
      expect(statuses).to.include(429);
      expect(statuses.filter(status => status === 200).length).to.be.within(1, 80);
      expect(await sendRequest(0, 'pharmacy-key')).to.equal(200);
    });
  });
});
