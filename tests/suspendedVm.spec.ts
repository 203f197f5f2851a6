/**
 * Guards against two failures after a VM was suspended for some seconds. Peers refused all calls that its daemon sent over
 * existing connections as delayed (504), until one of the daemons was restarted. And a request that was being read when the
 * VM was suspended reached its upstream with the whole deadline: all of 5 s after a suspension of 3 s.
 *
 * Both come about because the monotonic clock, from which a daemon takes send times and remaining times, does not
 * advance while the VM is suspended. So each frame seemed to a peer to have been sent seconds earlier than it was.
 */
import { SystemClock } from '@cleatquay/clock';
import { expect } from 'chai';
import { request } from 'node:http';
import { PlatformFleet, type PlatformNode, routeTo } from './fixtures/platformFleet.js';
import { SuspendableTime } from './fixtures/suspendableTime.js';

const SUSPENDED_MS = 5000;
const CALLS = 5;
const DEADLINE_MS = 5000;
const WORK_MS = 1000;
const TIMEOUT_S = 2;
const MAX_ELAPSED_MS = 800;
/** Tolerance for the real time that a test takes in addition to the simulated time, ms. */
const TOLERANCE_MS = 500;

const ROUTES = [
  routeTo('history', { timeoutS: 10 }),
  routeTo('history', { name: 'short', host: 'short.example', timeoutS: TIMEOUT_S }),
];

describe('a VM that was suspended', () => {
  let fleet: PlatformFleet;
  let suspendedTime: SuspendableTime;
  let otherTime: SuspendableTime;

  const start = async (hasUptime: boolean) => {
    suspendedTime = new SuspendableTime(hasUptime);
    otherTime = new SuspendableTime();
    fleet = await PlatformFleet.start(
      [
        { service: 'alarms', clock: new SystemClock(suspendedTime) },
        { service: 'history', clock: new SystemClock(otherTime) },
      ],
      ROUTES,
    );
  };
  const suspend = (ms: number) => {
    suspendedTime.suspend(ms);
    otherTime.advance(ms);
  };
  const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

  afterEach(() => fleet[Symbol.asyncDispose]());

  for (const hasUptime of [true, false]) {
    describe(hasUptime ? 'with an uptime clock' : 'without an uptime clock', () => {
      beforeEach(() => start(hasUptime));

      it('sends calls over its existing connections', async () => {
        expect((await fleet.send(0)).status).to.equal(200);
        suspend(SUSPENDED_MS);
        const statuses: number[] = [];
        for (let i = 0; i < CALLS; i++) statuses.push((await fleet.send(0)).status);
        expect(statuses).to.deep.equal(statuses.map(() => 200));
      });

      it('sends calls after the wall clock was set forward and back', async () => {
        expect((await fleet.send(0)).status).to.equal(200);
        suspendedTime.step(SUSPENDED_MS);
        const statuses = [(await fleet.send(0)).status];
        suspendedTime.step(-SUSPENDED_MS);
        for (let i = 0; i < CALLS; i++) statuses.push((await fleet.send(0)).status);
        expect(statuses).to.deep.equal(statuses.map(() => 200));
      });
    });
  }

  describe('during a request', () => {
    beforeEach(() => start(true));

    const post = ({ daemon }: PlatformNode) => {
      const [ip, port] = daemon.addresses.get('callers')!.split(':');
      const headers = {
        host: 'history.example',
        'Request-Id': 'split',
        'Deadline-Ms': String(DEADLINE_MS),
        'Content-Length': '8',
      };
      return request({ host: ip, port, method: 'POST', path: '/x', headers, agent: false });
    };

    it('forwards only the remaining time of the caller to the upstream', async () => {
      const call = post(fleet.nodes[0]!);
      const responded = new Promise(resolve => call.on('response', resolve));
      call.write('half');
      await sleep(200);
      suspend(3000);
      call.end('half');
      await responded;
      const [received] = fleet.receivedRequests('split');
      expect(Number(received!.headers['deadline-ms'])).to.be.below(DEADLINE_MS - 3000 + TOLERANCE_MS);
    });

    it('responds at the timeout of the route, though it was suspended for most of it', async () => {
      fleet.nodes[1]!.upstream.behaviour.workMs = 60_000;
      const startedAt = performance.now();
      const response = fleet.send(0, { host: 'short.example' });
      await sleep(200);
      suspend(TIMEOUT_S * 1000);
      expect((await response).status).to.equal(504);
      expect(performance.now() - startedAt).to.be.below(MAX_ELAPSED_MS);
    });
  });

  describe('while its local upstream runs a request', () => {
    beforeEach(() => start(true));

    it('does not remove the upstream, which was suspended as well', async () => {
      fleet.nodes[1]!.upstream.behaviour.workMs = WORK_MS;
      const response = fleet.send(1, { deadlineMs: 2 * SUSPENDED_MS });
      await sleep(200);
      otherTime.suspend(SUSPENDED_MS);
      expect((await response).status).to.equal(200);
      expect(fleet.logged.filter(({ msg }) => msg.includes('It missed its heartbeats'))).to.deep.equal([]);
    });
  });
});
