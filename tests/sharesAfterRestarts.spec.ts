/**
 * Guards against an organisation that gets more than its quota since daemons worked out their shares before they knew the others
 * (docs/incidents/first-seconds-after-the-store-returns.md).
 */
import { expect } from 'chai';
import { maxCountInWindow } from './fixtures/maxCountInWindow.js';
import { type OrganisationDefinition, routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessVm } from './fixtures/platformProcesses.js';

const QUOTA = { ratePerS: 20, burst: 10 };
const WINDOW_MS = 5000;
const SLACK = 10;
const OVERSHOOT_RATIO = 0.1;
const MAX_IN_WINDOW = ((QUOTA.ratePerS * WINDOW_MS) / 1000 + QUOTA.burst) * (1 + OVERSHOOT_RATIO) + SLACK;
const HOT: OrganisationDefinition = { name: 'hot', apiKeys: ['hot-key'], ...QUOTA };
const CALLERS = 12;
const CALLER_DELAY_MS = 20;
const CALM_MS = 2000;
/** Datagrams of daemons that start at the same time on busy VMs may be late by so much. */
const ALONE_MS = 3500;
const TIMEOUT_MS = 60_000;

const VMS: ProcessVm[] = Array.from({ length: 4 }, () => ({ service: 'history', failureDomain: 'z1' }));

describe('the quota of an organisation whose callers send five times as much, on daemons as processes', () => {
  let fleet: ProcessFleet;
  let isStopped: boolean;
  let callers: Promise<unknown>;

  before(() => ProcessFleet.build());

  beforeEach(async function () {
    this.timeout(TIMEOUT_MS);
    const options = { organisations: [HOT], bounds: { quotaSlack: SLACK }, hasFaults: true };
    fleet = await ProcessFleet.start(VMS, [routeTo('history')], options);
    isStopped = false;
    callers = Promise.all(Array.from({ length: CALLERS }, (_, caller) => sendUntilStopped(caller)));
    await sleep(CALM_MS);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

  const sendUntilStopped = async (caller: number) => {
    for (let i = 0; !isStopped; i++) {
      const id = `r${String(caller)}-${String(i)}`;
      await fleet.nodes[(caller + i) % VMS.length]!.request({
        host: 'history.example',
        path: '/x',
        id,
        key: 'hot-key',
      });
      await sleep(CALLER_DELAY_MS);
    }
  };

  const mostInWindow = async () => {
    isStopped = true;
    await callers;
    const ran = fleet.nodes
      .flatMap(({ upstream }) => upstream.receivedRequests)
      .filter(request => request.ran);
    return maxCountInWindow(
      ran.map(({ at }) => at),
      WINDOW_MS,
    );
  };

  it('is kept by daemons that start anew together and hear nothing of each other at first', async function () {
    this.timeout(TIMEOUT_MS);
    await Promise.all(fleet.nodes.map(node => node.restart(0, true)));
    await sleep(ALONE_MS);
    for (const node of fleet.nodes) node.signal('SIGWINCH');
    await sleep(CALM_MS);
    const most = await mostInWindow();
    expect(most, `of ${String(MAX_IN_WINDOW)} allowed`).to.be.at.most(MAX_IN_WINDOW);
    expect(most, 'served').to.be.above(QUOTA.ratePerS);
  });
});
