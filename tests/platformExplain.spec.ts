import { expect } from 'chai';
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const CLI = 'packages/cli/bin/cleatquay.js';

describe('the explanation of a failed request from logs', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    const routes = [
      routeTo('receiving', {
        name: 'confirm',
        host: 'confirm.example',
        kind: 'non_idempotent',
        timeoutS: 0.4,
      }),
      routeTo('history', { timeoutS: 0.5 }),
    ];
    fleet = await PlatformFleet.start([{ service: 'receiving' }, { service: 'history' }], routes);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const writeLogFile = () => {
    const path = join(mkdtempSync(join(tmpdir(), 'cleatquay-')), 'daemons.log');
    writeFileSync(path, fleet.logged.map(line => JSON.stringify(line)).join('\n'));
    return path;
  };
  const explain = (id: string) =>
    execFileSync(process.execPath, [CLI, 'explain', id, '--logs', writeLogFile()], { encoding: 'utf8' });

  it('names the upstream that refused it under load', async () => {
    fleet.nodes[1]!.upstream.behaviour.fault = () => 'shed';
    expect((await fleet.send(0, { id: 'refused' })).status).to.equal(503);
    const text = explain('refused');
    expect(text).to.match(/Taken\. {2}route=to-history service=history generation=1/);
    expect(text).to.match(/Sent to an upstream\. .*to=127\.0\.0\.1:\d+ .*loadAgeMs=/);
    expect(text).to.match(/The attempt was refused or failed\. {2}result=shedByUpstream outcome=not-run/);
    expect(text).to.match(/Refused or failed\. {2}code=2012 outcome=not-run .*retryAfterMs=\d+/);
  });

  it('names the connection failure and the upstream if the outcome is unknown', async () => {
    fleet.nodes[0]!.upstream.behaviour.fault = () => 'drop-response';
    expect((await fleet.send(1, { id: 'lost', host: 'confirm.example', method: 'POST' })).status).to.equal(
      502,
    );
    const text = explain('lost');
    expect(text).to.match(/Given to the upstream\. {2}instance=i-0/);
    expect(text).to.match(/The upstream sent no complete response\. {2}why=other side closed/);
    expect(text).to.match(/Refused or failed\. {2}code=4001 outcome=failed/);
  });

  it('names the crash of the upstream, and the fingerprint that the request has under other ids', async () => {
    const { upstream } = fleet.nodes[1]!;
    upstream.behaviour.restartDelayMs = 100;
    upstream.behaviour.fault = (_id, path) => (path === '/deadly' ? 'crash' : 'none');
    await fleet.send(0, { id: 'deadly-1', path: '/deadly' });
    while ((await fleet.send(0)).status !== 200) await new Promise(resolve => setTimeout(resolve, 20));
    await fleet.send(1, { id: 'deadly-2', path: '/deadly' });
    const crashLine =
      /The upstream crashed while it ran the request\. {2}start=(\S+) running=1 fingerprint=([\da-f]{16})/;
    const [, firstStart, first] = crashLine.exec(explain('deadly-1'))!;
    const [, secondStart, second] = crashLine.exec(explain('deadly-2'))!;
    expect(second).to.equal(first);
    expect(secondStart).to.not.equal(firstStart);
    const line = fleet.logged.find(
      ({ msg }) => msg === 'Upstreams: An upstream crashed with requests in flight.',
    );
    expect(line).to.deep.include({
      start: firstStart,
      requests: [{ method: 'GET', path: '/deadly', fingerprint: first }],
    });
  });

  it('does not report a crash if only the response was lost', async () => {
    fleet.nodes[0]!.upstream.behaviour.fault = () => 'drop-response';
    await fleet.send(1, { id: 'lost', host: 'confirm.example', method: 'POST' });
    expect(explain('lost')).to.not.match(/ended|crashed/);
  });

  it('names the slow call if the response of a chain was late', async () => {
    fleet.nodes[0]!.upstream.behaviour.workMs = 900;
    fleet.nodes[1]!.upstream.behaviour.calls = [{ host: 'confirm.example', path: '/slow' }];
    expect((await fleet.send(0, { id: 'late' })).status).to.equal(500);
    const text = explain('late');
    expect(text).to.match(/late {2}Answered\. {2}status=500/);
    expect(text).to.match(/late\.1 {2}Taken\. {2}route=confirm/);
    expect(text).to.match(/late\.1 {2}Refused or failed\. {2}code=3007/);
  });

  it('names the active configuration and its source if there is no route', async () => {
    expect((await fleet.send(0, { id: 'unrouted', host: 'nowhere.example' })).status).to.equal(404);
    const [, digest] = /Taken\. {2}host=nowhere\.example path=\/x generation=1 digest=(\w+)/.exec(
      explain('unrouted'),
    )!;
    const adopted = fleet.logged.find(({ msg }) => msg === 'Configuration: A version became active.');
    expect(adopted).to.include({ generation: 1, digest, from: 'platform' });
  });

  it('fails if the logs have no lines of the request', () => {
    const { status, stderr } = spawnSync(
      process.execPath,
      [CLI, 'explain', 'nobody', '--logs', writeLogFile()],
      {
        encoding: 'utf8',
      },
    );
    expect(status).to.not.equal(0);
    expect(stderr).to.match(/^CQ6003 For request nobody the logs have 0 lines/);
  });
});
