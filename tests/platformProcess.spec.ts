import { PlatformStoreStandin, PlatformUpstreamStandin } from '@cleatquay/standins';
import { expect } from 'chai';
import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, copyFileSync, mkdtempSync, openSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ReservedPorts } from './fixtures/reservedPorts.js';
import { configurationText, routeTo } from './fixtures/platformFleet.js';

const GRACE_MS = 4000;
/** Their log lines fill the buffers of standard output. */
const UNREAD_LOG_REQUESTS = 1200;
/** Longer than log lines are buffered. */
const LOG_FLUSH_MS = 1200;

describe('the bundled daemon as a process', () => {
  let store: PlatformStoreStandin;
  let upstream: PlatformUpstreamStandin;
  let daemon: ChildProcess;
  let callers: string;
  let readiness: string;
  let settings: Record<string, unknown>;
  let stderr: string;

  before(() => {
    execFileSync(process.execPath, ['utils/bundle.mjs']);
  });

  beforeEach(async () => {
    store = new PlatformStoreStandin();
    const ports = new ReservedPorts();
    const address = async () => `127.0.0.1:${String(await ports.reserve())}`;
    callers = await address();
    readiness = await address();
    const announcements = await address();
    settings = {
      ip: '127.0.0.1',
      failureDomain: 'z1',
      service: 'history',
      callers,
      readiness,
      announcements,
      innerPorts: await ports.reserveTwo(),
      heartbeatSeconds: 0.2,
      store: await store.listen(),
      bounds: {
        graceS: GRACE_MS / 1000,
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
    await ports.release();
  });

  afterEach(async () => {
    daemon.kill('SIGKILL');
    await upstream[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });

  const start = (settingsFile: unknown, target = 'target', output: 'pipe' | number = 'pipe') => {
    const path = join(mkdtempSync(join(tmpdir(), 'cleatquay-')), 'settings.json');
    writeFileSync(path, JSON.stringify(settingsFile));
    const env = { ...process.env, CLEATQUAY_SETTINGS: path };
    daemon = spawn(process.execPath, [join(target, 'cleatquay.cjs')], {
      env,
      stdio: ['ignore', output, 'pipe'],
    });
    stderr = '';
    daemon.stderr?.on('data', (chunk: Buffer) => (stderr += chunk.toString()));
  };
  /**
   * Connects from another loopback address: a client that connects to a port of its own address on which nobody listens
   * yet is connected to itself once in 18,000 attempts, and the daemon then finds its port in use.
   */
  const isReady = () =>
    new Promise<boolean>(resolve => {
      const options = { localAddress: '127.0.0.2', agent: false };
      const call = request(`http://${readiness}/cleatquay/readiness`, options, response => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on('error', () => resolve(false));
      call.end();
    });
  const untilReady = async () => {
    while (!(await isReady())) {
      expect(daemon.exitCode, `the daemon exited before it was ready: ${stderr}`).to.equal(null);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
    await upstream.announce();
    upstream.keepAnnouncing(200);
  };
  const exchange = async (id: string, host = 'history.example') => {
    const [ip, port] = callers.split(':');
    return new Promise<{ status: number; text: string }>(resolve => {
      let text = '';
      const headers = { host, 'Request-Id': id, 'Deadline-Ms': '2000' };
      const call = request({ host: ip, port, path: '/x', headers, agent: false }, response => {
        response.on('data', (chunk: Buffer) => (text += chunk.toString()));
        response.on('end', () => resolve({ status: response.statusCode ?? 0, text }));
        response.on('close', () => resolve({ status: 0, text }));
      });
      call.on('error', () => resolve({ status: 0, text }));
      call.end();
    });
  };
  const sendRequest = async (id: string, host?: string) => (await exchange(id, host)).status;

  it('becomes ready and serves; after SIGTERM it is not ready, completes requests in flight, and exits with 0', async () => {
    start(settings);
    daemon.stdout?.resume();
    await untilReady();
    expect(await sendRequest('first')).to.equal(200);
    const exited = once(daemon, 'exit');
    upstream.behaviour.workMs = 700;
    const last = sendRequest('last');
    while (upstream.receivedRequests.length < 2) await new Promise(resolve => setTimeout(resolve, 5));
    daemon.kill('SIGTERM');
    expect(await last).to.equal(200);
    expect(await isReady()).to.equal(false);
    expect((await exited)[0]).to.equal(0);
  });

  it('serves without deferred.cjs, the rarely used library code', async () => {
    const target = mkdtempSync(join(tmpdir(), 'cleatquay-'));
    for (const file of ['cleatquay.cjs', 'daemon.cjs', 'daemon.cache'])
      copyFileSync(join('target', file), join(target, file));
    start(settings, target);
    daemon.stdout?.resume();
    await untilReady();
    expect(await sendRequest('lean')).to.equal(200);
  });

  it('keeps responding while nobody reads its log', async () => {
    start(settings);
    await untilReady();
    upstream.behaviour.fault = () => 'drop-response';
    for (let i = 0; i < 600; i++) {
      const { status, text } = await exchange(`unread-${String(i)}`);
      expect(status, text).to.equal(502);
    }
  });

  // Guards against a daemon that is killed at the end of its grace, since its last log lines can't be written.
  it('exits within its grace while nobody reads its log', async () => {
    start(settings);
    await untilReady();
    upstream.behaviour.fault = () => 'drop-response';
    for (let i = 0; i < UNREAD_LOG_REQUESTS; i++) await exchange(`unread-${String(i)}`);
    const exited = once(daemon, 'exit');
    daemon.kill('SIGTERM');
    await Promise.race([exited, new Promise(resolve => setTimeout(resolve, GRACE_MS))]);
    expect(daemon.exitCode).to.equal(0);
  });

  // Guards against a daemon that ends with its requests in flight since nobody takes its log.
  describe('keeps responding, and exits with 0 after SIGTERM,', () => {
    const expectService = async () => {
      upstream.behaviour.fault = () => 'drop-response';
      for (let i = 0; i < 300; i++) {
        const { status, text } = await exchange(`unlogged-${String(i)}`);
        expect(status, text).to.equal(502);
      }
      await new Promise(resolve => setTimeout(resolve, LOG_FLUSH_MS));
      expect((await exchange('last')).status).to.equal(502);
      const exited = once(daemon, 'exit');
      daemon.kill('SIGTERM');
      expect((await exited)[0]).to.equal(0);
    };

    it('when the reader of its log has ended', async () => {
      start(settings);
      await untilReady();
      daemon.stdout?.destroy();
      await expectService();
    });

    it('when its log can not be written', async () => {
      const full = openSync('/dev/full', 'w');
      start(settings, 'target', full);
      closeSync(full);
      await untilReady();
      await expectService();
    });
  });

  for (const setting of ['callers', 'readiness', 'announcements'] as const) {
    it(`reports that its address for ${setting} is in use, and exits`, async () => {
      const address = String(settings[setting]);
      const [ip, port] = address.split(':');
      const other = createServer().listen(Number(port), ip);
      await once(other, 'listening');
      start(settings);
      expect((await once(daemon, 'close'))[0]).to.equal(1);
      expect(stderr)
        .to.match(/^CQ6004 /)
        .and.to.contain(address);
      other.close();
    });
  }

  it('reports an invalid setting, and exits', async () => {
    start({ ...settings, bounds: { graceS: 'long' } });
    expect((await once(daemon, 'close'))[0]).to.equal(1);
    expect(stderr).to.match(/^CQ1001 bounds\.graceS: Expected a number, found "long"\./);
  });
});
