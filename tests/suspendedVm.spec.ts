/**
 * After a VM had been suspended for some seconds, all calls that its daemon sent to others over the connections that it had were refused as
 * held up on their way, until one of the daemons was started again.
 *
 * Cause: the steady clock, by which a daemon tells when it sent a frame, stands still while its VM is suspended. A peer took each later frame for
 * one that had been under way for as long.
 *
 * Evidence: on that code 5 of 5 calls after five seconds were refused (504).
 */
import { SystemClock } from '@cleatquay/clock';
import { expect } from 'chai';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';
import { SuspendableTime } from './fixtures/suspendableTime.js';

const SUSPENDED_MS = 5000;
const CALLS = 5;

const ROUTES = [routeTo('history', { timeoutS: 10 })];

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
});
