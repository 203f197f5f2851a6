import { expect } from 'chai';
import { connect } from 'node:net';
import {
  PlatformFleet,
  type CallerRequest,
  configurationText,
  routeTo,
  until,
} from './fixtures/platformFleet.js';

describe('the request path on the platform', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet[Symbol.asyncDispose]());

  const start = async (routes = [routeTo('history')], services = ['history', 'history', 'alarms']) => {
    fleet = await PlatformFleet.start(
      services.map(service => ({ service })),
      routes,
    );
  };

  describe('a request', () => {
    it('gets the complete, unchanged response of the upstream through every daemon', async () => {
      await start();
      for (const node of fleet.nodes.keys()) {
        const response = await fleet.send(node, { id: `complete-${String(node)}` });
        expect(response.status).to.equal(200);
        expect(response.headers['server-stamp']).to.match(/^i-/);
        expect(response.text).to.match(new RegExp(`^complete-${String(node)} x{200}$`));
      }
    });

    it('reaches the upstream with its remaining time, expected instance and origin service', async () => {
      await start();
      const headers = { 'Caller-Service': 'forged', 'Expect-Instance': 'forged', 'X-Kept': 'as it is' };
      await fleet.send(2, { id: 'marked', deadlineMs: 1500, path: '/a/b?c=d', headers });
      const [received] = fleet.receivedRequests('marked');
      expect(received?.path).to.equal('/a/b?c=d');
      expect(received?.headers['caller-service']).to.equal('alarms');
      expect(received?.headers['expect-instance']).to.match(/^i-[01]$/);
      expect(received?.headers['x-kept']).to.equal('as it is');
      expect(received?.headers.host).to.equal('history.example');
      expect(Number(received?.headers['deadline-ms'])).to.be.within(1, 1500);
    });

    it('succeeds with calls to downstream services', async () => {
      await start([routeTo('history'), routeTo('alarms')]);
      for (const { upstream } of fleet.nodes) {
        if (upstream.service === 'history')
          upstream.behaviour.calls = [{ host: 'alarms.example', path: '/c' }];
      }
      const response = await fleet.send(0, { id: 'deep' });
      expect(response.status).to.equal(200);
      const calls = fleet.nodes[2]!.upstream.receivedRequests;
      expect(calls.map(call => call.headers['caller-service'])).to.deep.equal(['history']);
    });

    it('takes the route of its host with the longest path prefix', async () => {
      const nested = routeTo('alarms', { name: 'nested', host: 'history.example', pathPrefix: '/x/' });
      await start([routeTo('history'), nested]);
      const stampOf = async (callerRequest: CallerRequest) =>
        (await fleet.send(0, callerRequest)).headers['server-stamp'];
      expect(await stampOf({ path: '/x/1' })).to.equal('i-2');
      expect(await stampOf({ path: '/x?y=/x/' })).to.not.equal('i-2');
      expect(await stampOf({ path: '/xx/' })).to.not.equal('i-2');
    });

    it('is distributed by the weights of a traffic split', async () => {
      const trafficSplit = [
        { service: 'history', weight: 90 },
        { service: 'alarms', weight: 10 },
      ];
      const { service, ...split } = routeTo('history', { trafficSplit });
      expect(service).to.equal('history');
      await start([split]);
      for (let i = 0; i < 60; i++) await fleet.send(i % 3);
      const ratio = fleet.nodes[2]!.upstream.receivedRequests.length / 60;
      expect(ratio).to.be.within(0.03, 0.17);
    });

    it('gets 404 without a route, and Retry-After before there is a configuration', async () => {
      await start();
      expect((await fleet.send(0, { host: 'nobody.example' })).status).to.equal(404);
      await fleet[Symbol.asyncDispose]();
      fleet = await PlatformFleet.start([{ service: 'history' }], undefined);
      const response = await fleet.send(0);
      expect(response.status).to.equal(503);
      expect(Number(response.headers['retry-after'])).to.be.within(0.05, 5);
    });

    it('gets 504 at the timeout of its route', async () => {
      await start([routeTo('history', { timeoutS: 0.3 })]);
      for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = 5000;
      const response = await fleet.send(2, { id: 'slow' });
      expect(response.status).to.equal(504);
      await until(() => fleet.nodes.every(({ daemon }) => daemon.isReady));
    });
  });

  describe('invalid input', () => {
    beforeEach(() => start());

    const sendRaw = async (bytes: string): Promise<string> => {
      const [ip, port] = fleet.nodes[0]!.daemon.addresses.get('callers')!.split(':');
      const socket = connect(Number(port), ip);
      socket.write(bytes);
      const chunks: Buffer[] = [];
      for await (const chunk of socket as AsyncIterable<Buffer>) chunks.push(chunk);
      return Buffer.concat(chunks).toString('latin1');
    };
    const head = 'Host: history.example\r\nDeadline-Ms: 2000\r\n';

    it('is refused: no id, invalid deadline, not HTTP, two lengths', async () => {
      expect((await fleet.send(0, { id: '' })).text).to.contain('"code":1008');
      expect((await fleet.send(0, { headers: { 'Deadline-Ms': 'soon' } })).text).to.contain('"code":1008');
      expect(await sendRaw('gibberish\r\n\r\n')).to.match(/^HTTP\/1.1 400/);
      const twoLengths = `POST /x HTTP/1.1\r\n${head}Request-Id: t\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc`;
      expect(await sendRaw(twoLengths)).to.match(/^HTTP\/1.1 400/);
      expect(fleet.receivedRequests('t')).to.have.lengthOf(0);
    });

    it('is refused if the body is too long', async () => {
      const body = 'x'.repeat(150_000);
      expect((await fleet.send(0, { method: 'POST', body })).status).to.equal(413);
    });

    it('does not include chunked bodies or pipelined requests, which get their responses in order', async () => {
      const chunked = `POST /x HTTP/1.1\r\n${head}Request-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
      const last = `GET /x HTTP/1.1\r\n${head}Request-Id: c2\r\nConnection: close\r\n\r\n`;
      const text = await sendRaw(chunked + last);
      expect(text.indexOf('c1 x')).to.be.greaterThan(0);
      expect(text.indexOf('c2 x')).to.be.greaterThan(text.indexOf('c1 x'));
    });
  });

  describe('a configuration', () => {
    const isServedBy = async (service: string) => {
      const { headers } = await fleet.send(0);
      const stamp = headers['server-stamp'];
      return fleet.nodes.some(
        ({ upstream }) => upstream.service === service && upstream.instanceId === stamp,
      );
    };
    const routeHostTo = (version: number, service: string) =>
      fleet.store.put(
        'op',
        'config',
        configurationText(version, [routeTo(service, { host: 'history.example' })]),
      );
    const untilActive = (generation: number) =>
      until(() => fleet.nodes.every(({ daemon }) => daemon.configuration.generation === generation));

    beforeEach(() => start());

    it('becomes active on all daemons after it is written, and an older one never again', async () => {
      routeHostTo(5, 'alarms');
      await untilActive(5);
      expect(await isServedBy('alarms')).to.equal(true);
      routeHostTo(4, 'history');
      routeHostTo(6, 'alarms');
      await untilActive(6);
      expect(await isServedBy('alarms')).to.equal(true);
    });

    it('that is truncated is logged with a result code and ignored, and the next one becomes active', async () => {
      fleet.store.put('op', 'config', configurationText(7, [routeTo('alarms')]).slice(0, 80));
      await until(() =>
        fleet.logged.some(
          ({ msg, reason }) => msg.includes('A version was refused') && reason?.startsWith('CQ1003') === true,
        ),
      );
      expect(await isServedBy('history')).to.equal(true);
      routeHostTo(8, 'alarms');
      await untilActive(8);
    });

    it('is found after an outage in which the store discarded its history', async () => {
      fleet.store.discardHistory();
      fleet.store.faults.down = 503;
      routeHostTo(9, 'alarms');
      expect(await isServedBy('history')).to.equal(true);
      fleet.store.faults.down = 'no';
      await untilActive(9);
    });
  });
});
