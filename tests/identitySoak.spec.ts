/**
 * At-most-once execution while daemons are killed, restarted with other wall clocks, suspended and cut off from gossip, and upstreams refuse requests,
 * send late copies and lose responses, all at once. CLEATQUAY_SEED and CLEATQUAY_ROUNDS set the seed and the number of faults.
 */
import { seededRandom } from '@cleatquay/clock';
import { type UpstreamFault } from '@cleatquay/standins';
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';
import { IDENTITY_FAULTS } from './fixtures/processFaults.js';

const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 20);
const ROUND_MS = 300;
const MAX_FAULT_MS = 2500;
const WORK_MS = 400;
const DEADLINE_MS = 4000;
const REQUEST_INTERVAL_MS = 12;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** Faults of upstreams; each request has one at random. */
const UPSTREAM_FAULTS: readonly UpstreamFault[] = [
  ...Array.from({ length: 14 }, () => 'none' as const),
  'shed',
  'shed-twice',
  'shed-twice-without-id',
  'respond-twice',
  'drop-response',
  'reset-before-request',
];

describe('requests that run once, during faults that confuse the processes of a daemon', () => {
  let fleet: ProcessFleet;

  before(async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    fleet = await ProcessFleet.start(
      ['receiving', 'receiving', 'receiving', 'history'].map((service, i) => ({
        service,
        failureDomain: `z${String(i % 2)}`,
      })),
      [routeTo('receiving', { kind: 'non_idempotent', timeoutS: DEADLINE_MS / 1000, maxAttempts: 3 })],
      { hasFaults: true },
    );
  });

  after(async () => {
    for (const node of fleet.nodes) node.signal('SIGCONT');
    await fleet[Symbol.asyncDispose]();
  });

  it(`run at most once, and are not reported as not run if they ran (seed ${SEED})`, async function () {
    this.timeout(ROUNDS * ROUND_MS + 180_000);
    const random = seededRandom(SEED);
    const pick = <T>(list: readonly T[]): T => list[Math.floor(random() * list.length)]!;
    const isFaulted = new Set<ProcessNode>();
    for (const { upstream } of fleet.nodes) {
      const faults = new Map<string, UpstreamFault>();
      const fault = (id: string) => {
        const first = faults.get(id) ?? pick(UPSTREAM_FAULTS);
        faults.set(id, 'none');
        return first;
      };
      Object.assign(upstream.behaviour, { workMs: WORK_MS, slots: 200, runsToTheEnd: true, fault });
    }
    let isOver = false;
    let requests = 0;
    const load = async () => {
      const responses: Promise<{ id: string; status: number }>[] = [];
      while (!isOver) {
        const id = `r${String(++requests)}`;
        const call = { host: 'receiving.example', path: '/x', id, body: '{}', deadlineMs: DEADLINE_MS };
        responses.push(
          pick(fleet.nodes)
            .request(call)
            .then(status => ({ id, status })),
        );
        await sleep(REQUEST_INTERVAL_MS);
      }
      return Promise.all(responses);
    };
    const inject = async () => {
      const node = pick(fleet.nodes);
      if (isFaulted.has(node)) return;
      isFaulted.add(node);
      const end = IDENTITY_FAULTS[pick(Object.keys(IDENTITY_FAULTS))]!(node);
      await sleep(random() * MAX_FAULT_MS);
      await end();
      isFaulted.delete(node);
    };
    const responses = load();
    const faults: Promise<void>[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      faults.push(inject());
      await sleep(ROUND_MS);
    }
    await Promise.all(faults);
    isOver = true;
    const results = await responses;
    await sleep(DEADLINE_MS);
    const runsOf = (id: string) => fleet.nodes.reduce((sum, { upstream }) => sum + upstream.countRuns(id), 0);
    const twice = results.filter(({ id }) => runsOf(id) > 1);
    const toldNotRun = results.filter(
      ({ id, status }) => NOT_RUN_STATUSES.includes(status) && runsOf(id) > 0,
    );
    const served = results.filter(({ status }) => status === 200);
    process.stdout.write(`Seed ${SEED}: ${String(served.length)} of ${String(requests)} requests served.\n`);
    expect({ twice, toldNotRun }).to.deep.equal({ twice: [], toldNotRun: [] });
    expect(served).to.not.have.lengthOf(0);
  });
});
