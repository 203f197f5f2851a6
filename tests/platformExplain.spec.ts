import { expect } from 'chai';
import { execFileSync, spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const CLI = 'packages/cli/bin/cleatquay.js';

describe('a failed request on the platform', () => {
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

  it('that was refused under load leads to the upstream that was full', async () => {
    fleet.nodes[1]!.upstream.behaviour.fault = () => 'shed';
    expect((await fleet.ask(0, { id: 'refused' })).status).to.equal(503);
    const text = explain('refused');
    expect(text).to.match(/Taken\. {2}route=to-history service=history generation=1/);
    expect(text).to.match(/Sent to an upstream\. .*to=127\.0\.0\.1:\d+ .*loadAgeMs=/);
    expect(text).to.match(/The try was refused or failed\. {2}result=shedByUpstream outcome=not-run/);
    expect(text).to.match(/Refused or failed\. {2}code=2012 outcome=not-run .*retryAfterMs=\d+/);
  });

  it('of which the outcome is unknown leads to the broken connection, and to the upstream that had it', async () => {
    fleet.nodes[0]!.upstream.behaviour.fault = () => 'lose-answer';
    expect((await fleet.ask(1, { id: 'lost', host: 'confirm.example', method: 'POST' })).status).to.equal(
      502,
    );
    const text = explain('lost');
    expect(text).to.match(/Given to the upstream\. {2}instance=i-0/);
    expect(text).to.match(/The upstream gave no whole answer\. {2}why=other side closed/);
    expect(text).to.match(/Refused or failed\. {2}code=4001 outcome=failed/);
  });

  it('under which an upstream ended leads to its end, and to the same request under other ids', async () => {
    const { upstream } = fleet.nodes[1]!;
    upstream.behaviour.awayMs = 100;
    upstream.behaviour.fault = (_id, path) => (path === '/deadly' ? 'end' : 'none');
    await fleet.ask(0, { id: 'deadly-1', path: '/deadly' });
    while ((await fleet.ask(0)).status !== 200) await new Promise(resolve => setTimeout(resolve, 20));
    await fleet.ask(1, { id: 'deadly-2', path: '/deadly' });
    const ended = /The upstream ended while it ran\. {2}start=(\S+) running=1 fingerprint=([\da-f]{16})/;
    const [, firstStart, first] = ended.exec(explain('deadly-1'))!;
    const [, secondStart, second] = ended.exec(explain('deadly-2'))!;
    expect(second).to.equal(first);
    expect(secondStart).to.not.equal(firstStart);
    const line = fleet.logged.find(
      ({ msg }) => msg === 'Upstreams: An upstream ended with requests running.',
    );
    expect(line).to.deep.include({
      start: firstStart,
      requests: [{ method: 'GET', path: '/deadly', fingerprint: first }],
    });
  });

  it('whose answer was lost is not taken for one under which an upstream ended', async () => {
    fleet.nodes[0]!.upstream.behaviour.fault = () => 'lose-answer';
    await fleet.ask(1, { id: 'lost', host: 'confirm.example', method: 'POST' });
    expect(explain('lost')).to.not.include('ended');
  });

  it('whose answer came too late through a chain leads to the call that was slow', async () => {
    fleet.nodes[0]!.upstream.behaviour.workMs = 900;
    fleet.nodes[1]!.upstream.behaviour.calls = [{ host: 'confirm.example', path: '/slow' }];
    expect((await fleet.ask(0, { id: 'late' })).status).to.equal(500);
    const text = explain('late');
    expect(text).to.match(/late {2}Answered\. {2}status=500/);
    expect(text).to.match(/late\.1 {2}Taken\. {2}route=confirm/);
    expect(text).to.match(/late\.1 {2}Refused or failed\. {2}code=3007/);
  });

  it('on a route that the daemon lacks leads to the version in force there, and where that came from', async () => {
    expect((await fleet.ask(0, { id: 'unrouted', host: 'nowhere.example' })).status).to.equal(404);
    const [, digest] = /Taken\. {2}host=nowhere\.example path=\/x generation=1 digest=(\w+)/.exec(
      explain('unrouted'),
    )!;
    const adopted = fleet.logged.find(({ msg }) => msg === 'Configuration: A version is in force.');
    expect(adopted).to.include({ generation: 1, digest, from: 'platform' });
  });

  it('of which the logs have nothing is not explained by a guess', () => {
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
