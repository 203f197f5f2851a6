/**
 * After a VM had been suspended for some seconds, all calls that its daemon sent to others over the connections that it had were refused as
 * held up on their way, until one of the daemons was started again; and requests that it had begun to read before were given their upstream
 * with more time than their callers would still wait.
 *
 * Cause: the steady clock, by which a daemon tells when it sent what, and how much time a request has left, stands still while its VM is
 * suspended. A peer saw each frame leave seconds earlier than it did.
 *
 * Evidence: on that code all 5 of 5 calls after five seconds were refused (504), and a request of five seconds that was suspended for three of
 * them was given to its upstream with all five.
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
const SOON_MS = 800;
/** What may go by in a test beside the time that it lets go by, ms. */
const SLACK_MS = 500;

const ROUTES = [
  routeTo('history', { timeoutS: 10 }),
  routeTo('history', { name: 'short', host: 'short.example', timeoutS: TIMEOUT_S }),
];

describe('a VM that was suspended', () => {
  let fleet: PlatformFleet;
  let sleeper: SuspendableTime;
  let other: SuspendableTime;

  const start = async (hasUptime: boolean) => {
    sleeper = new SuspendableTime(hasUptime);
    other = new SuspendableTime();
    fleet = await PlatformFleet.start(
      [
        { service: 'alarms', clock: new SystemClock(sleeper) },
        { service: 'history', clock: new SystemClock(other) },
      ],
      ROUTES,
    );
  };
  const suspend = (ms: number) => {
    sleeper.suspend(ms);
    other.pass(ms);
  };
  const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

  afterEach(() => fleet[Symbol.asyncDispose]());

  for (const hasUptime of [true, false]) {
    describe(hasUptime ? 'and tells its uptime' : 'and tells no uptime', () => {
      beforeEach(() => start(hasUptime));

      it('has its calls served over the connections that it had', async () => {
        expect((await fleet.ask(0)).status).to.equal(200);
        suspend(SUSPENDED_MS);
        const statuses: number[] = [];
        for (let i = 0; i < CALLS; i++) statuses.push((await fleet.ask(0)).status);
        expect(statuses).to.deep.equal(statuses.map(() => 200));
      });

      it('has its calls served after the time of day was set forward and back', async () => {
        expect((await fleet.ask(0)).status).to.equal(200);
        sleeper.step(SUSPENDED_MS);
        const statuses = [(await fleet.ask(0)).status];
        sleeper.step(-SUSPENDED_MS);
        for (let i = 0; i < CALLS; i++) statuses.push((await fleet.ask(0)).status);
        expect(statuses).to.deep.equal(statuses.map(() => 200));
      });
    });
  }

  describe('in the middle of a request', () => {
    beforeEach(() => start(true));

    const post = ({ daemon }: PlatformNode) => {
      const [ip, port] = daemon.addresses.get('callers')!.split(':');
      const headers = {
        host: 'history.example',
        'Request-Id': 'halved',
        'Deadline-Ms': String(DEADLINE_MS),
        'Content-Length': '8',
      };
      return request({ host: ip, port, method: 'POST', path: '/x', headers, agent: false });
    };

    it('gives the upstream what is left of the caller’s time', async () => {
      const call = post(fleet.nodes[0]!);
      const answered = new Promise(resolve => call.on('response', resolve));
      call.write('half');
      await pause(200);
      suspend(3000);
      call.end('half');
      await answered;
      const [arrival] = fleet.arrivals('halved');
      expect(Number(arrival!.headers['deadline-ms'])).to.be.below(DEADLINE_MS - 3000 + SLACK_MS);
    });

    it('answers at the timeout of the route, though it has slept through most of it', async () => {
      fleet.nodes[1]!.upstream.behaviour.workMs = 60_000;
      const startedAt = performance.now();
      const answer = fleet.ask(0, { host: 'short.example' });
      await pause(200);
      suspend(TIMEOUT_S * 1000);
      expect((await answer).status).to.equal(504);
      expect(performance.now() - startedAt).to.be.below(SOON_MS);
    });
  });

  describe('while an upstream beside it works', () => {
    beforeEach(() => start(true));

    it('keeps that upstream, which was suspended, too', async () => {
      fleet.nodes[1]!.upstream.behaviour.workMs = WORK_MS;
      const answer = fleet.ask(1, { deadlineMs: 2 * SUSPENDED_MS });
      await pause(200);
      other.suspend(SUSPENDED_MS);
      expect((await answer).status).to.equal(200);
      expect(fleet.logged.filter(({ msg }) => msg.includes('It missed its heartbeats'))).to.deep.equal([]);
    });
  });
});
