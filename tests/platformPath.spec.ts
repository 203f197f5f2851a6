import { expect } from 'chai';
import { connect } from 'node:net';
import {
  PlatformFleet,
  type CallerRequest,
  configurationText,
  routeTo,
  until,
} from './fixtures/platformFleet.js';

describe('the path on the platform', () => {
  let fleet: PlatformFleet;

  afterEach(() => fleet[Symbol.asyncDispose]());

  const start = async (routes = [routeTo('history')], services = ['history', 'history', 'alarms']) => {
    fleet = await PlatformFleet.start(
      services.map(service => ({ service })),
      routes,
    );
  };

  describe('a request', () => {
    it('comes back whole from every daemon, as the upstream made it', async () => {
      await start();
      for (const node of fleet.nodes.keys()) {
        const answer = await fleet.ask(node, { id: `whole-${String(node)}` });
        expect(answer.status).to.equal(200);
        expect(answer.headers['server-stamp']).to.match(/^i-/);
        expect(answer.text).to.match(new RegExp(`^whole-${String(node)} x{200}$`));
      }
    });

    it('reaches the upstream with what is left of its time, the instance meant, and where it began', async () => {
      await start();
      const headers = { 'Caller-Service': 'forged', 'Expect-Instance': 'forged', 'X-Kept': 'as it is' };
      await fleet.ask(2, { id: 'marked', deadlineMs: 1500, path: '/a/b?c=d', headers });
      const [arrival] = fleet.arrivals('marked');
      expect(arrival?.path).to.equal('/a/b?c=d');
      expect(arrival?.headers['caller-service']).to.equal('alarms');
      expect(arrival?.headers['expect-instance']).to.match(/^i-[01]$/);
      expect(arrival?.headers['x-kept']).to.equal('as it is');
      expect(arrival?.headers.host).to.equal('history.example');
      expect(Number(arrival?.headers['deadline-ms'])).to.be.within(1, 1500);
    });

    it('takes its calls with it, several services deep', async () => {
      await start([routeTo('history'), routeTo('alarms')]);
      for (const { upstream } of fleet.nodes) {
        if (upstream.service === 'history')
          upstream.behaviour.calls = [{ host: 'alarms.example', path: '/c' }];
      }
      const answer = await fleet.ask(0, { id: 'deep' });
      expect(answer.status).to.equal(200);
      const calls = fleet.nodes[2]!.upstream.arrivals;
      expect(calls.map(call => call.headers['caller-service'])).to.deep.equal(['history']);
    });

    it('gets the answer of its route with the longest prefix, by host', async () => {
      const nested = routeTo('alarms', { name: 'nested', host: 'history.example', pathPrefix: '/x/' });
      await start([routeTo('history'), nested]);
      const stampOf = async (question: CallerRequest) =>
        (await fleet.ask(0, question)).headers['server-stamp'];
      expect(await stampOf({ path: '/x/1' })).to.equal('i-2');
      expect(await stampOf({ path: '/x?y=/x/' })).to.not.equal('i-2');
      expect(await stampOf({ path: '/xx/' })).to.not.equal('i-2');
    });

    it('is shared over the parts of a split by their weights', async () => {
      const trafficSplit = [
        { service: 'history', weight: 90 },
        { service: 'alarms', weight: 10 },
      ];
      const { service, ...split } = routeTo('history', { trafficSplit });
      expect(service).to.equal('history');
      await start([split]);
      for (let i = 0; i < 60; i++) await fleet.ask(i % 3);
      const share = fleet.nodes[2]!.upstream.arrivals.length / 60;
      expect(share).to.be.within(0.03, 0.17);
    });

    it('without a route is told so; before there is a configuration, when to come back', async () => {
      await start();
      expect((await fleet.ask(0, { host: 'nobody.example' })).status).to.equal(404);
      await fleet[Symbol.asyncDispose]();
      fleet = await PlatformFleet.start([{ service: 'history' }], undefined);
      const answer = await fleet.ask(0);
      expect(answer.status).to.equal(503);
      expect(Number(answer.headers['retry-after'])).to.be.within(0.05, 5);
    });

    it('is answered at the timeout of its route, and not held', async () => {
      await start([routeTo('history', { timeoutS: 0.3 })]);
      for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = 5000;
      const answer = await fleet.ask(2, { id: 'slow' });
      expect(answer.status).to.equal(504);
      await until(() => fleet.nodes.every(({ daemon }) => daemon.isReady));
    });
  });

  describe('bad input', () => {
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

    it('is refused by number: no id, no time, no HTTP, a length given twice', async () => {
      expect((await fleet.ask(0, { id: '' })).text).to.contain('"code":1008');
      expect((await fleet.ask(0, { headers: { 'Deadline-Ms': 'soon' } })).text).to.contain('"code":1008');
      expect(await sendRaw('gibberish\r\n\r\n')).to.match(/^HTTP\/1.1 400/);
      const twice = `POST /x HTTP/1.1\r\n${head}Request-Id: t\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc`;
      expect(await sendRaw(twice)).to.match(/^HTTP\/1.1 400/);
      expect(fleet.arrivals('t')).to.have.lengthOf(0);
    });

    it('that is too long is refused, whether its length is told or not', async () => {
      const body = 'x'.repeat(150_000);
      expect((await fleet.ask(0, { method: 'POST', body })).status).to.equal(413);
    });

    it('in chunks passes unchanged, and pipelined requests are answered in order', async () => {
      const chunked = `POST /x HTTP/1.1\r\n${head}Request-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`;
      const last = `GET /x HTTP/1.1\r\n${head}Request-Id: c2\r\nConnection: close\r\n\r\n`;
      const text = await sendRaw(chunked + last);
      expect(text.indexOf('c1 x')).to.be.greaterThan(0);
      expect(text.indexOf('c2 x')).to.be.greaterThan(text.indexOf('c1 x'));
    });
  });

  describe('a configuration', () => {
    const isServedBy = async (service: string) => {
      const { headers } = await fleet.ask(0);
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

    it('is in force on every daemon soon after it is written, and an older one never again', async () => {
      routeHostTo(5, 'alarms');
      await untilActive(5);
      expect(await isServedBy('alarms')).to.equal(true);
      routeHostTo(4, 'history');
      routeHostTo(6, 'alarms');
      await untilActive(6);
      expect(await isServedBy('alarms')).to.equal(true);
    });

    it('that is cut short changes nothing, is logged by number, and the next one is taken', async () => {
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

    it('is found again when the store has forgotten its history, and after an outage', async () => {
      fleet.store.discardHistory();
      fleet.store.faults.down = 503;
      routeHostTo(9, 'alarms');
      expect(await isServedBy('history')).to.equal(true);
      fleet.store.faults.down = 'no';
      await untilActive(9);
    });
  });
});
