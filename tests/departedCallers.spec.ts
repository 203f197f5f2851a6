/**
 * What users saw: while a surge kept daemons busy, 403 calls reached upstreams up to 0.5 s after their callers had closed
 * their connections; the upstreams, short of room, worked for nobody.
 *
 * Order of events: an entry has more requests than time. Its event loop reads hundreds of them in one turn, which takes half a
 * second; the callers of some close their connections meanwhile. Every request is sent on as it is read, and only the next turn
 * reads that its caller has left.
 *
 * Cause: what the guard against this looked at was older than what it guarded. (1) It waited for the next turn to read what had
 * come, but took the caller's leaving from the end of the answer, which node tells a turn after the end of the connection. (2) It
 * was off unless the last 50 ms timer had come late, and no timer runs while a long turn begins.
 *
 * Evidence: printed by turn, node tells of a closed connection as "second wait over, answer closed" when the connection ends in
 * order, and as "answer closed, second wait over" when it is reset. Here, on the code before: 20 of 20 requests were sent on whose
 * callers had left 200 ms before anything was read (1), and 337 to 348 of 500 later than 250 ms after their callers (2).
 * When the rule broke in a replay, no daemon's timers came 200 ms late: there, (1) in shorter turns is the likelier cause.
 */
import { ProcessorPressure } from '@cleatquay/admission';
import { WorkTurns, answerOf } from '@cleatquay/calls';
import { SystemClock } from '@cleatquay/clock';
import { RelayGateway } from '@cleatquay/daemon';
import { callerDialect } from '@cleatquay/platform';
import { endOf, refusalOf } from '@cleatquay/protocol';
import { expect } from 'chai';
import { once } from 'node:events';
import { type AddressInfo } from 'node:net';
import { DepartingCallers } from './fixtures/departingCallers.js';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

/** Callers leave so soon after they asked, ms. */
const STAY_MS = 100;
/** What is sent on later than this after its caller has left can't reach an upstream in time, ms. */
const LATE_MS = 250;
/** What a call costs, ms: seen on VMs with half a core. */
const CALL_COST_MS = 2;

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function keepBusy(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

const idsOf = (count: number) => Array.from({ length: count }, (_, index) => `left-${String(index)}`);

describe('requests whose callers have left', () => {
  describe('at a daemon that gets no processor time until they have', () => {
    let fleet: PlatformFleet;

    beforeEach(async () => {
      fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history', { priority: 0 })]);
    });

    afterEach(() => fleet[Symbol.asyncDispose]());

    it('are not sent on', async () => {
      const [node] = fleet.nodes;
      const plan = { host: 'history.example', ids: idsOf(20), stayMs: STAY_MS };
      await using callers = await DepartingCallers.open(node!.daemon.addresses.get('callers')!, plan);
      await pause(STAY_MS);
      const left = callers.askAndLeave();
      keepBusy(3 * STAY_MS);
      await left;
      await pause(LATE_MS);
      expect(node!.upstream.arrivals.map(({ requestId }) => requestId)).to.deep.equal([]);
    });
  });

  describe('at a daemon that reads more at once than it has time for', () => {
    const clock = new SystemClock();
    let pressure: ProcessorPressure;
    let gateway: RelayGateway;
    let sentOnAt: number[];

    beforeEach(async () => {
      sentOnAt = [];
      pressure = new ProcessorPressure(clock, () => 1);
      gateway = new RelayGateway({
        relay: {
          handle: () => {
            sentOnAt.push(Date.now());
            keepBusy(CALL_COST_MS);
            return Promise.resolve(answerOf(endOf(refusalOf('overloaded', ''), 0)));
          },
        },
        dialect: callerDialect,
        limits: () => undefined,
        needsKeys: () => false,
        isLeaving: () => false,
        turns: new WorkTurns(clock, () => pressure.isLagging),
        started: () => () => undefined,
      });
      gateway.server.listen(0, '127.0.0.1');
      await once(gateway.server, 'listening');
    });

    afterEach(() => {
      pressure[Symbol.dispose]();
      gateway.server.closeAllConnections();
      gateway.server.close();
    });

    it('are not sent on long after', async () => {
      const address = `127.0.0.1:${String((gateway.server.address() as AddressInfo).port)}`;
      const plan = { host: 'history.example', ids: idsOf(500), stayMs: STAY_MS };
      await using callers = await DepartingCallers.open(address, plan);
      await pause(STAY_MS);
      const leftAt = await callers.askAndLeave();
      await pause(4 * LATE_MS);
      expect(sentOnAt.filter(at => at - leftAt > LATE_MS)).to.have.length(0);
      expect(sentOnAt).to.not.have.length(0);
    });
  });
});
