import { differences } from '@cleatquay/configuration';
import { type Organisation, Keyring, digestOfKey } from '@cleatquay/organisations';
import { decodeConfiguration } from '@cleatquay/platform';
import { type HostRoute, HostRoutes, joinPlan, planSections } from '@cleatquay/routes';
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  PlatformFleet,
  type OrganisationDefinition,
  configurationText,
  routeTo,
  until,
} from './fixtures/platformFleet.js';

const DAIRY: OrganisationDefinition = { name: 'dairy', apiKeys: ['dairy-key-1', 'dairy-key-2'] };
const PHARMACY: OrganisationDefinition = { name: 'pharmacy', apiKeys: ['pharmacy-key'] };
const MAX_LOOKUP_MS = 0.002;
const KEYS = [...DAIRY.apiKeys, ...PHARMACY.apiKeys];

const bearer = (key: string) => ({ Authorization: `Bearer ${key}` });

describe('organisations', () => {
  describe('identification of requests', () => {
    let fleet: PlatformFleet;

    before(async () => {
      const vms = ['history', 'history', 'alarms'].map(service => ({ service }));
      const open = routeTo('alarms', { name: 'open', host: 'open.example', public: true });
      fleet = await PlatformFleet.start(
        vms,
        [routeTo('history'), routeTo('alarms'), open],
        [DAIRY, PHARMACY],
      );
    });

    after(() => fleet[Symbol.asyncDispose]());

    it('passes the name to the upstream, whatever the caller sent, and never the key', async () => {
      for (const node of fleet.nodes.keys()) {
        const id = `named-${String(node)}`;
        const headers = { ...bearer('pharmacy-key'), 'Tenant-Id': 'dairy', 'X-Kept': 'as it is' };
        expect((await fleet.send(node, { id, headers })).status).to.equal(200);
        const [received] = fleet.receivedRequests(id);
        expect(received?.headers['tenant-id']).to.equal('pharmacy');
        expect(received?.headers.authorization).to.equal(undefined);
        expect(received?.headers['x-kept']).to.equal('as it is');
      }
    });

    it('accepts each key of an organisation', async () => {
      for (const key of DAIRY.apiKeys) {
        const id = `by-${key}`;
        await fleet.send(0, { id, headers: bearer(key) });
        expect(fleet.receivedRequests(id)[0]?.headers['tenant-id']).to.equal('dairy');
      }
    });

    it('is the same for an attempt on another upstream', async () => {
      for (const { upstream } of fleet.nodes.slice(0, 2))
        upstream.behaviour.fault = id =>
          id === 'again' && fleet.receivedRequests(id).length === 1 ? 'shed' : 'none';
      const response = await fleet.send(2, { id: 'again', headers: bearer('pharmacy-key') });
      expect(response.status).to.equal(200);
      const names = fleet.receivedRequests('again').map(({ headers }) => headers['tenant-id']);
      expect(names).to.deep.equal(['pharmacy', 'pharmacy']);
    });

    it('is optional on a public route; a key that is sent there must be valid, and is not forwarded', async () => {
      const send = (id: string, headers: Record<string, string>) =>
        fleet.send(0, { host: 'open.example', id, headers });
      expect((await send('open-1', { 'Tenant-Id': 'dairy' })).status).to.equal(200);
      expect(fleet.receivedRequests('open-1')[0]?.headers['tenant-id']).to.equal(undefined);
      expect((await send('open-2', bearer('dairy-key-1'))).status).to.equal(200);
      expect(fleet.receivedRequests('open-2')[0]?.headers.authorization).to.equal(undefined);
      expect(fleet.receivedRequests('open-2')[0]?.headers['tenant-id']).to.equal('dairy');
      expect((await send('open-3', bearer('nobody'))).status).to.equal(401);
      expect(fleet.receivedRequests('open-3')).to.have.lengthOf(0);
    });

    it('does not apply to the calls of an upstream, which have no key', async () => {
      for (const { upstream } of fleet.nodes.slice(0, 2))
        upstream.behaviour.calls = [{ host: 'alarms.example', path: '/c' }];
      const before = fleet.nodes[2]!.upstream.receivedRequests.length;
      const response = await fleet.send(0, { id: 'deep', headers: bearer('dairy-key-1') });
      for (const { upstream } of fleet.nodes.slice(0, 2)) upstream.behaviour.calls = [];
      expect(response.status).to.equal(200);
      const calls = fleet.nodes[2]!.upstream.receivedRequests.slice(before);
      expect(calls.map(({ headers }) => headers['tenant-id'])).to.deep.equal([undefined]);
    });

    const refused: Record<string, { headers: Record<string, string | string[]>; code: number }> = {
      'no key': { headers: {}, code: 1015 },
      'an unknown key': { headers: bearer('nobody'), code: 1016 },
      'another scheme': { headers: { Authorization: 'Basic ZGFpcnk6' }, code: 1015 },
      'no text after the scheme': { headers: { Authorization: 'Bearer ' }, code: 1015 },
      'two words': { headers: { Authorization: 'Bearer dairy-key-1 dairy-key-2' }, code: 1015 },
      'two headers': { headers: { Authorization: ['Bearer dairy-key-1', 'Bearer dairy-key-1'] }, code: 1015 },
      'a key of 8,000 characters': { headers: bearer('k'.repeat(8000)), code: 1015 },
    };
    for (const [defect, { headers, code }] of Object.entries(refused)) {
      it(`refuses ${defect} with a result code before the request reaches an upstream`, async () => {
        const response = await fleet.send(0, { id: defect, headers: headers as Record<string, string> });
        expect(response.status).to.equal(401);
        expect(response.text).to.contain(`"code":${String(code)}`);
        expect(fleet.receivedRequests(defect)).to.have.lengthOf(0);
      });
    }

    it('leaves no key in log lines, dumps and metrics', async () => {
      for (const key of KEYS) await fleet.send(0, { headers: bearer(key) });
      await fleet.send(0, { headers: bearer('nobody-knows-this') });
      const { daemon } = fleet.nodes[0]!;
      const dump = await (await fetch(`http://${daemon.membership.me.operatorAddress}/dump`)).text();
      const metrics = await (await fetch(`http://${daemon.membership.me.operatorAddress}/metrics`)).text();
      const exposed = JSON.stringify(fleet.logged) + dump + metrics;
      for (const key of [...KEYS, 'nobody-knows-this']) expect(exposed).to.not.contain(key);
    });
  });

  describe('a daemon without a configuration', () => {
    it('refuses requests with a retry time, not as unauthenticated', async () => {
      await using fleet = await PlatformFleet.start([{ service: 'history' }], undefined);
      const response = await fleet.send(0, { headers: bearer('dairy-key-1') });
      expect(response.status).to.equal(503);
      expect(Number(response.headers['retry-after'])).to.be.greaterThan(0);
    });
  });

  describe('a new configuration version', () => {
    let fleet: PlatformFleet;

    beforeEach(async () => {
      fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history')], [DAIRY]);
    });

    afterEach(() => fleet[Symbol.asyncDispose]());

    const apply = async (version: number, organisations: readonly OrganisationDefinition[] | undefined) => {
      fleet.store.put('op', 'config', configurationText(version, [routeTo('history')], organisations));
      await until(() => fleet.nodes.every(({ daemon }) => daemon.configuration.generation === version));
    };
    const statusWith = async (key: string) => (await fleet.send(0, { headers: bearer(key) })).status;

    it('adds and revokes keys', async () => {
      await apply(2, [{ name: 'dairy', apiKeys: ['dairy-key-2', 'dairy-key-3'] }]);
      expect(await statusWith('dairy-key-1')).to.equal(401);
      expect(await statusWith('dairy-key-2')).to.equal(200);
      expect(await statusWith('dairy-key-3')).to.equal(200);
    });

    it('with an empty list of organisations revokes all keys', async () => {
      await apply(2, []);
      expect(await statusWith('dairy-key-1')).to.equal(401);
    });

    it('without a list requires no keys, and still strips those that callers send', async () => {
      await apply(2, undefined);
      const response = await fleet.send(0, { id: 'after', headers: bearer('dairy-key-1') });
      expect(response.status).to.equal(200);
      expect(fleet.receivedRequests('after')[0]?.headers.authorization).to.equal(undefined);
    });
  });

  describe('a quota', () => {
    it('limits an organisation across all daemons; requests beyond it are refused at once with a retry time, and other organisations are not affected', async () => {
      const vms = ['z1', 'z1', 'z2'].map(failureDomain => ({ service: 'history', failureDomain }));
      const bounded = { ...DAIRY, ratePerS: 10, burst: 6 };
      await using fleet = await PlatformFleet.start(vms, [routeTo('history')], [bounded, PHARMACY]);
      const send = (i: number, key: string) => fleet.send(i % 3, { headers: bearer(key) });
      await until(async () => (await send(0, 'dairy-key-1')).status === 200);
      const startedAt = performance.now();
      const responses = await Promise.all(Array.from({ length: 120 }, (_, i) => send(i, 'dairy-key-1')));
      const seconds = (performance.now() - startedAt) / 1000;
      const served = responses.filter(({ status }) => status === 200).length;
      const refused = responses.filter(({ status }) => status === 429);
      const unexpected = responses.filter(({ status }) => status !== 200 && status !== 429);
      expect(unexpected.map(({ status, text }) => `${String(status)} ${text}`)).to.deep.equal([]);
      expect(served).to.be.within(1, 6 + 10 * (seconds + 0.5));
      for (const { headers, text } of refused) {
        expect(Number(headers['retry-after'])).to.be.greaterThan(0);
        expect(text).to.contain('"code":2015').and.to.contain('not-run');
      }
      const others = await Promise.all(Array.from({ length: 30 }, (_, i) => send(i, 'pharmacy-key')));
      expect(others.every(({ status }) => status === 200)).to.equal(true);
    });

    it('is not consumed by requests that no upstream runs', async () => {
      const bounded = { ...DAIRY, ratePerS: 2, burst: 1 };
      await using fleet = await PlatformFleet.start(
        [{ service: 'history' }],
        [routeTo('history')],
        [bounded],
      );
      const { upstream } = fleet.nodes[0]!;
      await until(async () => (await fleet.send(0, { headers: bearer('dairy-key-1') })).status === 200);
      await until(async () => (await fleet.send(0, { headers: bearer('dairy-key-1') })).status === 429);
      await sleep(600);
      upstream.behaviour.fault = () => 'shed';
      const statuses: number[] = [];
      for (let i = 0; i < 8; i++)
        statuses.push((await fleet.send(0, { headers: bearer('dairy-key-1') })).status);
      expect(statuses.filter(status => status === 503).length).to.be.greaterThan(3);
    });
  });

  describe('a deployment without organisations', () => {
    it('forwards the authorization header unchanged', async () => {
      await using fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history')]);
      await fleet.send(0, { id: 'plain', headers: bearer('of the upstream') });
      expect(fleet.receivedRequests('plain')[0]?.headers.authorization).to.equal('Bearer of the upstream');
    });
  });

  describe('an invalid configuration', () => {
    const decoding = (organisations: readonly object[]) => () =>
      decodeConfiguration(
        configurationText(3, [routeTo('history')], organisations as unknown as OrganisationDefinition[]),
      );
    const refused: Record<string, readonly object[]> = {
      'two organisations that share a key': [DAIRY, { name: 'other', apiKeys: ['dairy-key-2'] }],
      'two organisations of one name': [DAIRY, { name: 'dairy', apiKeys: ['x'] }],
      'an empty key': [{ name: 'dairy', apiKeys: ['dairy-key-1', ''] }],
      'keys that are not a list': [{ name: 'dairy', apiKeys: 'dairy-key-1' }],
      'a key that is not a string': [{ name: 'dairy', apiKeys: [{ secret: 'dairy-key-1' }] }],
      'a negative rate': [{ ...DAIRY, ratePerS: -1 }],
      'a name of more than 200 bytes': [{ ...DAIRY, name: 'n'.repeat(201) }],
      'no name': [{ apiKeys: ['dairy-key-1'] }],
    };
    for (const [defect, organisations] of Object.entries(refused)) {
      it(`is rejected completely for ${defect}, with a result code and without exposing a key`, () => {
        expect(decoding(organisations)).to.throw().with.property('result', 'configurationInvalid');
        try {
          decoding(organisations)();
        } catch (error) {
          expect(String((error as { describe: () => string }).describe())).to.not.contain('dairy-key');
        }
      });
    }

    it('is distinguished from optional values: without a rate there is no limit, even with a burst', () => {
      const { sections } = decodeConfiguration(
        configurationText(
          3,
          [routeTo('history')],
          [
            { ...DAIRY, burst: 5 },
            { ...PHARMACY, ratePerS: 0 },
          ],
        ),
      );
      const quotas = joinPlan(sections).organisations?.map(({ quota }) => quota);
      expect(quotas).to.deep.equal([undefined, undefined]);
    });

    it('has no key in the content that is distributed to peers', () => {
      const { sections } = decodeConfiguration(configurationText(3, [routeTo('history')], [DAIRY]));
      for (const content of sections.values()) expect(content).to.not.contain('dairy-key');
    });
  });

  describe('keys', () => {
    const organisations = Array.from({ length: 10_000 }, (_, i): Organisation => {
      const keyDigests = [1, 2, 3].map(key => digestOfKey(`${String(i)}-${String(key)}`));
      return { name: `o${String(i)}`, keyDigests, rank: undefined, quota: undefined };
    });

    it('of 10,000 organisations are found by digest within two microseconds', () => {
      const keyring = new Keyring(organisations);
      const digests = organisations.flatMap(({ keyDigests }) => keyDigests);
      expect(keyring.organisationOf(digestOfKey('9999-3'))?.name).to.equal('o9999');
      const start = performance.now();
      const found = digests.filter(digest => keyring.organisationOf(digest) !== undefined);
      expect(performance.now() - start).to.be.below(digests.length * MAX_LOOKUP_MS);
      expect(found).to.have.lengthOf(digests.length);
    });

    it('of one organisation change without retransmission of the others', () => {
      const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
      const plan = { routes: [], services: [], limits };
      const [first, ...others] = organisations;
      const changed = [{ ...first!, keyDigests: [digestOfKey('new')] }, ...others];
      const before = planSections({ ...plan, organisations });
      const after = planSections({ ...plan, organisations: changed });
      expect(differences(before, after)).to.deep.equal([{ section: 'organisation:o0', kind: 'changed' }]);
    });
  });

  describe('priority', () => {
    const route = (name: string, rank: number): HostRoute => ({
      name,
      host: name,
      pathPrefix: '/',
      idempotent: true,
      timeoutMs: 1000,
      targetLatencyMs: 1000,
      rank,
      isPublic: false,
      parts: [{ service: name, weight: 1 }],
      mostAttempts: 1,
    });
    const organisationWithRank = (rank: number | undefined): Organisation => ({
      name: `rank ${String(rank)}`,
      keyDigests: [],
      rank,
      quota: undefined,
    });
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    const routes = [route('confirm', 0), route('read', 2)];
    const createRoutes = (organisations: readonly Organisation[] | undefined) =>
      new HostRoutes({ routes, services: [], limits, organisations }, () => 0.5);

    it('follows the organisation first, and the route among equal organisations', () => {
      const hostRoutes = createRoutes([organisationWithRank(0), organisationWithRank(3)]);
      const rankOf = (name: number, rank: number) =>
        hostRoutes.classOf(routes[name]!, organisationWithRank(rank));
      const inOrder = [rankOf(0, 0), rankOf(1, 0), rankOf(0, 3), rankOf(1, 3)];
      expect(inOrder).to.deep.equal([...inOrder].sort((a, b) => a - b));
      expect(new Set(inOrder).size).to.equal(4);
      expect(hostRoutes.classes).to.be.greaterThan(Math.max(...inOrder));
    });

    it('follows the route alone if organisations have no rank, or there are none', () => {
      for (const hostRoutes of [createRoutes(undefined), createRoutes([organisationWithRank(undefined)])]) {
        expect(hostRoutes.classOf(routes[0]!, organisationWithRank(undefined))).to.equal(0);
        expect(hostRoutes.classOf(routes[1]!, undefined)).to.equal(2);
        expect(hostRoutes.classes).to.equal(3);
      }
    });
  });
});
