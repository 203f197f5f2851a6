import { deployments, operatorFileOf } from '@cleatquay/bench';
import { SystemClock, seededRandom } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { Daemon } from '@cleatquay/daemon';
import { loadProcessSettings } from '@cleatquay/settings';
import { StoreStandin } from '@cleatquay/standins';
import { HttpStore } from '@cleatquay/store';
import { expect } from 'chai';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { pino } from 'pino';
import { wholeResponse } from './fixtures/httpMessages.js';
import { until } from './fixtures/platformFleet.js';
import { RawUpstream, openConnection } from './fixtures/rawConnections.js';

const PART = Buffer.alloc(100_000, 'x');
/** So little more than the part that an error would complete it. */
const LENGTH = 100_100;

describe('the interface for native callers', () => {
  let store: StoreStandin;
  let platform: HttpStore;
  let upstream: RawUpstream;
  let daemon: Daemon;

  beforeEach(async () => {
    const clock = new SystemClock();
    store = new StoreStandin();
    const url = await store.listen();
    platform = new HttpStore(url);
    await new ConfigurationStore(platform, clock).apply(operatorFileOf(deployments.frostline!));
    upstream = await RawUpstream.start();
    const settings = loadProcessSettings(undefined, {
      ip: '127.0.0.1',
      failureDomain: 'z1',
      platform: url,
    });
    daemon = await Daemon.start({
      settings,
      clock,
      random: seededRandom('native'),
      log: pino({ level: 'silent' }),
    });
    await daemon.upstreams.announce({
      service: 'history',
      address: upstream.address,
      slots: 4,
      connections: 4,
    });
    await until(() => daemon.configuration.generation > 0);
  });

  afterEach(async () => {
    await daemon[Symbol.asyncDispose]();
    await upstream[Symbol.asyncDispose]();
    await platform[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });

  const request = (head: string) => {
    const caller = openConnection(daemon.addresses.caller);
    caller.socket.write(`${head}\r\nHost: x\r\ncleatquay-timeout-ms: 4000\r\n\r\n`);
    return caller;
  };

  // Guards against an error of the parser that is taken for the rest of a response in progress.
  describe('writes no error into a response that is being sent', () => {
    const framings = {
      'without a length': 'Connection: close',
      'with a length': `Content-Length: ${String(LENGTH)}`,
    };
    for (const [name, header] of Object.entries(framings)) {
      it(name, async () => {
        upstream.respond = socket => {
          socket.write(`HTTP/1.1 200 OK\r\n${header}\r\n\r\n`);
          socket.write(PART);
        };
        const caller = request('GET /history/trucks/7 HTTP/1.1');
        await once(caller.socket, 'data');
        await sleep(100);
        caller.socket.write('no HTTP\r\n\r\n');
        await caller.closed;
        const text = caller.bytes.toString('latin1');
        expect(text).to.match(/^HTTP\/1.1 200 /);
        expect(wholeResponse(caller.bytes, caller.end)).to.equal(undefined);
        expect(text).to.not.include('400 Bad Request');
      });
    }
  });

  // Guards against figures of a daemon that was killed while it sent them, and that look complete.
  describe('and the one for operators send their own responses with a length, also for HTTP/1.0', () => {
    const requests = ['GET /metrics', 'GET /ready', 'GET /status', 'GET /dump', 'GET /nothing'];
    for (const line of requests)
      it(`to operators: ${line}`, async () => {
        expect(await headersOf(daemon.addresses.operator, line)).to.match(/content-length: \d+\r\n/i);
      });

    for (const line of ['POST /cleatquay/ids', 'GET /nothing', 'GET /history/nothing'])
      it(`to callers: ${line}`, async () => {
        expect(await headersOf(daemon.addresses.caller, line)).to.match(/content-length: \d+\r\n/i);
      });

    const headersOf = async (address: string, line: string): Promise<string> => {
      const reader = openConnection(address);
      reader.socket.write(`${line} HTTP/1.0\r\nHost: x\r\n\r\n`);
      await reader.closed;
      return reader.bytes.toString('latin1').split('\r\n\r\n')[0] + '\r\n';
    };
  });

  // Guards against requests that are accepted before the first of them is served, and are more than the daemon keeps.
  it('serves the pipelined requests that it accepts, and refuses the first of the others', async () => {
    upstream.respond = socket => void socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    const caller = openConnection(daemon.addresses.caller);
    const head = 'GET /history/trucks/7 HTTP/1.1\r\nHost: x\r\ncleatquay-timeout-ms: 4000\r\n\r\n';
    caller.socket.write(head.repeat(12_000));
    await caller.closed;
    expect(caller.end).to.equal('ordinary');
    const [last, ...earlier] = caller.bytes
      .toString('latin1')
      .split(/(?=HTTP\/1\.1 )/)
      .reverse();
    expect(last).to.match(/^HTTP\/1.1 503 [^]*connection: close/);
    expect(earlier.length).to.be.within(16, 1000);
    expect(upstream.requests.length).to.be.at.most(earlier.length);
  });

  // Guards against a part of an announcement that registers another upstream.
  it('takes no announcement whose connection ends before its last byte', async () => {
    const body = JSON.stringify({
      service: 'ghost',
      address: upstream.address,
      slots: 1280,
      connections: 12,
    });
    const head = 'POST /upstreams HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n';
    const framings = {
      length: `${head}Content-Length: ${String(body.length)}\r\n\r\n${body}`,
      chunks: `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    };
    let cases = 0;
    for (const message of Object.values(framings))
      for (const end of ['ordinary', 'reset'])
        for (let bytes = 0; bytes < message.length; bytes++, cases++) {
          const { socket, closed } = openConnection(daemon.addresses.operator);
          socket.write(message.slice(0, bytes), () =>
            end === 'ordinary' ? socket.end() : socket.resetAndDestroy(),
          );
          await closed;
        }
    process.stdout.write(`      ${String(cases)} announcements\n`);
    const services = () => daemon.upstreams.list().map(({ service }) => service);
    expect(services()).to.deep.equal(['history']);
    openConnection(daemon.addresses.operator).socket.write(framings.length);
    await until(() => services().includes('ghost'));
  });
});
