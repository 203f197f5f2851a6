import { PlatformStoreStandin, PlatformUpstreamStandin } from '@cleatquay/standins';
import { expect } from 'chai';
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { type AddressInfo, type Server, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { configurationText, routeTo } from './fixtures/platformFleet.js';

async function listen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/** A port with the one after it, both free when they are asked for. */
async function freePorts(): Promise<[number, number]> {
  for (;;) {
    const first = await listen(0);
    const port = (first?.address() as AddressInfo).port;
    const second = await listen(port + 1);
    first?.close();
    second?.close();
    if (second) return [port, port + 1];
  }
}

describe('the bundled daemon as a process', () => {
  let store: PlatformStoreStandin;
  let upstream: PlatformUpstreamStandin;
  let daemon: ChildProcess;
  let callers: string;
  let readiness: string;
  let settings: Record<string, unknown>;

  before(() => {
    execFileSync(process.execPath, ['utils/bundle.mjs']);
  });

  beforeEach(async () => {
    store = new PlatformStoreStandin();
    const [a, b] = await freePorts();
    const [c] = await freePorts();
    callers = `127.0.0.1:${String(a)}`;
    readiness = `127.0.0.1:${String(b)}`;
    const announcements = `127.0.0.1:${String(c)}`;
    settings = {
      ip: '127.0.0.1',
      failureDomain: 'z1',
      service: 'history',
      callers,
      readiness,
      announcements,
      innerPorts: await freePorts(),
      heartbeatSeconds: 0.2,
      store: await store.listen(),
      bounds: {
        graceS: 4,
        retryBudgetRatio: 0.2,
        budgetExtraRetries: 10,
        budgetWindowS: 10,
        somethingNew: true,
      },
      somethingNew: true,
    };
    store.put('op', 'config', configurationText(1, [routeTo('history')]));
    upstream = new PlatformUpstreamStandin('i-1', 'history', { announcements, callers }, { workMs: 1 });
    await upstream.listen();
  });

  afterEach(async () => {
    daemon.kill('SIGKILL');
    await upstream[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });

  const start = (given: unknown) => {
    const path = join(mkdtempSync(join(tmpdir(), 'cleatquay-')), 'settings.json');
    writeFileSync(path, JSON.stringify(given));
    const env = { ...process.env, CLEATQUAY_SETTINGS: path };
    daemon = spawn(process.execPath, ['target/cleatquay.cjs'], { env, stdio: ['ignore', 'pipe', 'pipe'] });
  };
  const isReady = async () =>
    fetch(`http://${readiness}/cleatquay/readiness`).then(
      answer => answer.status === 200,
      () => false,
    );
  const untilReady = async () => {
    while (!(await isReady())) await new Promise(resolve => setTimeout(resolve, 20));
    await upstream.announce();
    upstream.keepAnnouncing(200);
  };
  const ask = async (id: string, host = 'history.example') => {
    const [ip, port] = callers.split(':');
    return new Promise<number>(resolve => {
      const headers = { host, 'Request-Id': id, 'Deadline-Ms': '2000' };
      const call = request({ host: ip, port, path: '/x', headers, agent: false }, answer => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode ?? 0));
      });
      call.on('error', () => resolve(0));
      call.end();
    });
  };

  it('gets ready, serves, and when told to end is not ready any more, finishes, and exits 0', async () => {
    start(settings);
    daemon.stdout?.resume();
    await untilReady();
    expect(await ask('first')).to.equal(200);
    const ended = once(daemon, 'exit');
    upstream.behaviour.workMs = 700;
    const last = ask('last');
    while (upstream.arrivals.length < 2) await new Promise(resolve => setTimeout(resolve, 5));
    daemon.kill('SIGTERM');
    expect(await last).to.equal(200);
    expect(await isReady()).to.equal(false);
    expect((await ended)[0]).to.equal(0);
  });

  it('answers on when nobody reads its log', async () => {
    start(settings);
    await untilReady();
    upstream.behaviour.fault = () => 'lose-answer';
    for (let i = 0; i < 600; i++) expect(await ask(`unread-${String(i)}`)).to.equal(502);
  });

  it('says which setting is wrong, and exits', async () => {
    start({ ...settings, bounds: { graceS: 'long' } });
    const chunks: Buffer[] = [];
    daemon.stderr?.on('data', (chunk: Buffer) => chunks.push(chunk));
    expect((await once(daemon, 'exit'))[0]).to.equal(1);
    expect(Buffer.concat(chunks).toString()).to.match(
      /^CQ1001 bounds\.graceS: Expected a number, found "long"\./,
    );
  });
});
