import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';

const CLOCK_AHEAD_MS = 600_000;
const WORK_MS = 4000;
const DEADLINE_MS = 10_000;
const REQUESTS = 20;
/** Requests in flight at the daemon that is killed. */
const MIN_IN_FLIGHT = 5;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const POLL_MS = 20;

describe('a daemon that is restarted twice after its wall clock was set back', () => {
  let fleet: ProcessFleet;
  let restarted: ProcessNode;
  let ingress: ProcessNode;
  let other: ProcessNode;

  before(function () {
    this.timeout(120_000);
    ProcessFleet.build();
  });

  beforeEach(async function () {
    this.timeout(120_000);
    fleet = await ProcessFleet.start(
      ['receiving', 'history', 'receiving'].map((service, i) => ({
        service,
        failureDomain: `z${String(i)}`,
      })),
      [routeTo('receiving', { kind: 'non_idempotent', timeoutS: DEADLINE_MS / 1000 })],
      { hasFaults: true },
    );
    [restarted, ingress, other] = fleet.nodes as [ProcessNode, ProcessNode, ProcessNode];
    for (const { upstream } of [restarted, other])
      Object.assign(upstream.behaviour, { workMs: WORK_MS, slots: 100, runsToTheEnd: true });
  });

  afterEach(async () => {
    for (const node of fleet.nodes) node.signal('SIGCONT');
    await fleet[Symbol.asyncDispose]();
  });

  const runsOf = (id: string) => fleet.nodes.reduce((sum, { upstream }) => sum + upstream.countRuns(id), 0);

  /** The epoch that a node knows of the restarted daemon; undefined unless it is alive and has its upstream. */
  const epochAt = async (node: ProcessNode): Promise<number | undefined> => {
    const address = (await restarted.status())?.address;
    const member = (await node.status())?.members.find(known => known.address === address);
    return member?.state === 'ALIVE' && member.upstreams.length > 0 ? member.epoch : undefined;
  };

  const epochAbove = async (node: ProcessNode, least: number): Promise<number> => {
    for (;;) {
      const epoch = await epochAt(node);
      if (epoch !== undefined && epoch > least) return epoch;
      await sleep(POLL_MS);
    }
  };

  // Guards against a seal by the next process at the address, whose epoch was the same as that of the process that ran the requests.
  it('runs no request twice, and reports none as not run that ran, if a member that returns does not know the process between', async function () {
    this.timeout(120_000);
    const epochBefore = await epochAbove(ingress, 0);
    await restarted.restart(CLOCK_AHEAD_MS);
    const epochAhead = await epochAbove(other, epochBefore);
    other.signal('SIGUSR2');
    await restarted.restart();
    await epochAbove(ingress, epochAhead);

    const ids = Array.from({ length: REQUESTS }, (_, i) => `r${String(i)}`);
    const statuses = ids.map(id =>
      ingress.request({ host: 'receiving.example', path: '/x', id, body: '{}', deadlineMs: DEADLINE_MS }),
    );
    const inFlight = () => ids.filter(id => restarted.upstream.countRuns(id) > 0).length;
    while (inFlight() < MIN_IN_FLIGHT) await sleep(POLL_MS);

    ingress.signal('SIGSTOP');
    await restarted.kill();
    other.signal('SIGWINCH');
    await restarted.restart();
    await epochAbove(other, epochAhead);
    ingress.signal('SIGCONT');

    const results = await Promise.all(
      ids.map(async (id, i) => ({ status: await statuses[i]!, runs: runsOf(id) })),
    );
    const twice = results.filter(result => result.runs > 1);
    const toldNotRun = results.filter(({ status, runs }) => NOT_RUN_STATUSES.includes(status) && runs > 0);
    expect({ twice: twice.length, toldNotRun: toldNotRun.length }).to.deep.equal({ twice: 0, toldNotRun: 0 });
  });
});
