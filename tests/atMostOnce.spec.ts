import { type Fleet, type FleetNode } from '@cleatquay/bench';
import { expect } from 'chai';
import { confirm, issueId, runsOf } from './fixtures/receipts.js';
import { smallFleet } from './fixtures/smallFleet.js';

const ID = 'cleatquay-request-id';
const SLOW = { serviceMs: 400 };
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a confirmation', () => {
  let fleet: Fleet;
  let all: FleetNode[];
  let receiving: FleetNode[];
  let entry: FleetNode;
  let other: FleetNode;

  beforeEach(async () => {
    fleet = await smallFleet([
      ['receiving', 'regina-a', SLOW],
      ['receiving', 'moose-b', SLOW],
      ['history', 'swift-c'],
      ['alarms', 'swift-c'],
      ['exports', 'swift-c'],
    ]);
    all = [...fleet.nodes];
    receiving = all.filter(node => node.service === 'receiving');
    [, , other, , entry] = all as [FleetNode, FleetNode, FleetNode, FleetNode, FleetNode];
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const once = (token: string) => expect(runsOf(fleet, all, token)).to.deep.equal({ started: 1, done: 1 });

  it('runs twice when it is sent twice without an id: what the ids are for', async () => {
    await Promise.all([confirm(entry, 'bare', {}), confirm(other, 'bare', {})]);
    expect(runsOf(fleet, all, 'bare').done).to.equal(2);
  });

  it('sent by several daemons under one id runs once, and all get the same answer', async () => {
    const headers = { [ID]: await issueId(entry) };
    const told = await Promise.all(all.map(node => confirm(node, 'joined', headers)));
    expect(new Set(told.map(t => `${t.outcome} ${t.text}`)).size).to.equal(1);
    expect(told[0]?.outcome).to.equal('answered');
    expect(await confirm(other, 'joined', headers)).to.deep.equal(told[0]);
    once('joined');
  });

  it('is found again when the home of its id was killed', async () => {
    const headers = { [ID]: await issueId(entry) };
    const first = await confirm(entry, 'killed', headers);
    entry.daemon.signal('SIGKILL');
    expect((await confirm(other, 'killed', headers)).text).to.equal(first.text);
    once('killed');
  });

  it('is found again while the home of its id is frozen, and not run when the home wakes up', async () => {
    const headers = { [ID]: await issueId(entry) };
    const first = confirm(entry, 'frozen', headers);
    while (runsOf(fleet, all, 'frozen').started === 0) await pause(5);
    entry.daemon.signal('SIGSTOP');
    const told = await confirm(other, 'frozen', headers);
    entry.daemon.signal('SIGCONT');
    expect(told.outcome).to.equal('answered');
    await first;
    once('frozen');
  });

  it('runs once when the daemon beside its upstream is frozen on the way, and nobody is told that it did not run', async () => {
    const headers = { [ID]: await issueId(entry) };
    receiving.forEach(node => node.daemon.signal('SIGSTOP'));
    const sent = confirm(entry, 'stuck', headers);
    await pause(4000);
    receiving.forEach(node => node.daemon.signal('SIGCONT'));
    const told = await sent;
    await pause(1500);
    const { started, done } = runsOf(fleet, all, 'stuck');
    expect(done).to.be.at.most(1);
    if (told.outcome === 'not-run') expect(started).to.equal(0);
    const again = await confirm(other, 'stuck', headers);
    expect(runsOf(fleet, all, 'stuck').started).to.equal(started);
    if (again.outcome === 'answered') expect(done).to.equal(1);
  });

  it('stays not run for good once that was told', async () => {
    receiving.forEach(node => node.upstream.signal('SIGKILL'));
    await pause(3500);
    const headers = { [ID]: await issueId(entry) };
    const told = await confirm(entry, 'closed', headers);
    expect(told.outcome).to.equal('not-run');
    fleet.nodes.push(
      await fleet.startNode({ service: 'receiving', failureDomain: 'moose-b', behaviour: {} }),
    );
    await pause(1000);
    expect((await confirm(other, 'closed', headers)).outcome).to.equal('not-run');
    expect(runsOf(fleet, fleet.nodes, 'closed').started).to.equal(0);
  });

  it('is unknown under an id of a daemon that was replaced and of which nothing is remembered', async () => {
    const headers = { [ID]: await issueId(entry) };
    entry.daemon.signal('SIGKILL');
    const told = await confirm(other, 'lost', headers);
    expect([told.outcome, told.code]).to.deep.equal(['unknown', 3002]);
  });

  describe('with a plain Idempotency-Key', () => {
    const KEY = { 'idempotency-key': 'receipt-7' };

    it('runs once, also when the platform loses its answers', async () => {
      await fleet.disturbPlatform({ loseAnswers: 0.5 });
      const told = await Promise.all(all.map(node => confirm(node, 'keyed', KEY)));
      const answered = told.filter(t => t.outcome === 'answered');
      expect(new Set(answered.map(t => t.text)).size).to.be.at.most(1);
      expect(runsOf(fleet, all, 'keyed').started).to.be.at.most(1);
    });

    it('is refused by number, and not as "not run", while the platform is down', async () => {
      await fleet.disturbPlatform({ down: true });
      const told = await confirm(entry, 'down', KEY);
      expect([told.outcome, told.code]).to.deep.equal(['unknown', 3006]);
      expect(runsOf(fleet, all, 'down').started).to.equal(0);
    });
  });
});
