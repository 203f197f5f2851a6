import { type Fleet, type FleetNode } from '@cleatquay/bench';
import { expect } from 'chai';
import { confirm, issueId, runsOf } from './fixtures/receipts.js';
import { smallFleet } from './fixtures/smallFleet.js';

const ID = 'cleatquay-request-id';
const SLOW = { serviceMs: 400 };
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('a confirmation', () => {
  let fleet: Fleet;
  let all: FleetNode[];
  let receiving: FleetNode[];
  let ingress: FleetNode;
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
    [, , other, , ingress] = all as [FleetNode, FleetNode, FleetNode, FleetNode, FleetNode];
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const expectOneRun = (token: string) =>
    expect(runsOf(fleet, all, token)).to.deep.equal({ started: 1, done: 1 });

  it('runs twice when it is sent twice without an id', async () => {
    await Promise.all([confirm(ingress, 'bare', {}), confirm(other, 'bare', {})]);
    expect(runsOf(fleet, all, 'bare').done).to.equal(2);
  });

  it('runs once when several daemons receive it under one id, and all get the same response', async () => {
    const headers = { [ID]: await issueId(ingress) };
    const responses = await Promise.all(all.map(node => confirm(node, 'joined', headers)));
    expect(new Set(responses.map(response => `${response.outcome} ${response.text}`)).size).to.equal(1);
    expect(responses[0]?.outcome).to.equal('answered');
    expect(await confirm(other, 'joined', headers)).to.deep.equal(responses[0]);
    expectOneRun('joined');
  });

  it('has its response found after the home daemon of its id was killed', async () => {
    const headers = { [ID]: await issueId(ingress) };
    const firstResponse = await confirm(ingress, 'killed', headers);
    ingress.daemon.signal('SIGKILL');
    expect((await confirm(other, 'killed', headers)).text).to.equal(firstResponse.text);
    expectOneRun('killed');
  });

  it('has its response found while the home daemon of its id is suspended, and does not run again when that resumes', async () => {
    const headers = { [ID]: await issueId(ingress) };
    const firstResponse = confirm(ingress, 'frozen', headers);
    while (runsOf(fleet, all, 'frozen').started === 0) await sleep(5);
    ingress.daemon.signal('SIGSTOP');
    const response = await confirm(other, 'frozen', headers);
    ingress.daemon.signal('SIGCONT');
    expect(response.outcome).to.equal('answered');
    await firstResponse;
    expectOneRun('frozen');
  });

  it('runs at most once when the daemons of its upstreams are suspended, and is not reported as not run if it ran', async () => {
    const headers = { [ID]: await issueId(ingress) };
    receiving.forEach(node => node.daemon.signal('SIGSTOP'));
    const pendingResponse = confirm(ingress, 'stuck', headers);
    await sleep(4000);
    receiving.forEach(node => node.daemon.signal('SIGCONT'));
    const response = await pendingResponse;
    await sleep(1500);
    const { started, done } = runsOf(fleet, all, 'stuck');
    expect(done).to.be.at.most(1);
    if (response.outcome === 'not-run') expect(started).to.equal(0);
    const resent = await confirm(other, 'stuck', headers);
    expect(runsOf(fleet, all, 'stuck').started).to.equal(started);
    if (resent.outcome === 'answered') expect(done).to.equal(1);
  });

  it('never runs once it was reported as not run', async () => {
    receiving.forEach(node => node.upstream.signal('SIGKILL'));
    await sleep(3500);
    const headers = { [ID]: await issueId(ingress) };
    const response = await confirm(ingress, 'closed', headers);
    expect(response.outcome).to.equal('not-run');
    fleet.nodes.push(
      await fleet.startNode({ service: 'receiving', failureDomain: 'moose-b', behaviour: {} }),
    );
    await sleep(1000);
    expect((await confirm(other, 'closed', headers)).outcome).to.equal('not-run');
    expect(runsOf(fleet, fleet.nodes, 'closed').started).to.equal(0);
  });

  it('has an unknown outcome when the daemon that issued its id was killed and no daemon has a record of it', async () => {
    const headers = { [ID]: await issueId(ingress) };
    ingress.daemon.signal('SIGKILL');
    const response = await confirm(other, 'lost', headers);
    expect([response.outcome, response.code]).to.deep.equal(['unknown', 3002]);
  });

  describe('with a plain Idempotency-Key', () => {
    const KEY = { 'idempotency-key': 'receipt-7' };

    it('runs at most once when responses of the platform are lost', async () => {
      await fleet.setPlatformFaults({ loseAnswers: 0.5 });
      const responses = await Promise.all(all.map(node => confirm(node, 'keyed', KEY)));
      const answered = responses.filter(response => response.outcome === 'answered');
      expect(new Set(answered.map(response => response.text)).size).to.be.at.most(1);
      expect(runsOf(fleet, all, 'keyed').started).to.be.at.most(1);
    });

    it('is refused with a result code and an unknown outcome while the platform is down', async () => {
      await fleet.setPlatformFaults({ down: true });
      const response = await confirm(ingress, 'down', KEY);
      expect([response.outcome, response.code]).to.deep.equal(['unknown', 3006]);
      expect(runsOf(fleet, all, 'down').started).to.equal(0);
    });
  });
});
