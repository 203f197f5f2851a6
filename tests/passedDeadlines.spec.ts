import { expect } from 'chai';
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { sendKept } from './fixtures/keptConnections.js';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';

const CALLERS = 40;
const DURATION_MS = 9000;
const MAX_DEADLINE_MS = 40;
/** The processor does nothing for this long, and then works for a shorter time. */
const STANDSTILL_MS = 20;
const MAX_WORK_MS = 14;
const MIN_REQUESTS = 200;

// Guards against a deadline that passes between two readings of the clock, and ends the process with all requests in flight.
describe('requests whose deadlines pass while their daemon gets no processor time', () => {
  let fleet: ProcessFleet;
  let ingress: ProcessNode;
  let isOver = false;
  let requests = 0;

  before(async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    fleet = await ProcessFleet.start(
      ['orders', 'billing'].map(service => ({ service, failureDomain: 'z' })),
      [routeTo('orders'), routeTo('billing')],
      { asDeployed: true },
    );
    for (const { upstream } of fleet.nodes) Object.assign(upstream.behaviour, { workMs: 1, slots: 100 });
    ingress = fleet.nodes[0]!;
    await fleet.waitForLowLag();
  });

  after(() => fleet[Symbol.asyncDispose]());

  const standStill = async () => {
    while (!isOver) {
      ingress.signal('SIGSTOP');
      await sleep(STANDSTILL_MS);
      ingress.signal('SIGCONT');
      await sleep(2 + Math.random() * (MAX_WORK_MS - 2));
    }
  };

  const call = async (agent: Agent) => {
    while (!isOver) {
      const deadlineMs = 1 + Math.floor(Math.random() * MAX_DEADLINE_MS);
      const id = `q${String(requests++)}`;
      await sendKept(agent, ingress.callerAddress, {
        host: 'billing.example',
        id,
        method: 'GET',
        path: '/x',
        deadlineMs,
      });
      await sleep(1);
    }
  };

  it('do not end it', async () => {
    const { pid } = ingress;
    const agent = new Agent({ keepAlive: true, maxSockets: CALLERS });
    const work = Promise.all([standStill(), ...Array.from({ length: CALLERS }, () => call(agent))]);
    await sleep(DURATION_MS);
    isOver = true;
    await work;
    agent.destroy();
    const exceptions = ingress.logged.filter(({ msg }) => String(msg).includes('exception'));
    expect(exceptions.map(({ error }) => error)).to.deep.equal([]);
    expect(ingress.pid).to.equal(pid);
    expect(await ingress.status()).to.not.equal(undefined);
    expect(requests).to.be.above(MIN_REQUESTS);
  }).timeout(60_000);
});
