/**
 * Guards against calls that reach an upstream long after their callers have disconnected.
 *
 * While a surge kept daemons busy, 403 calls reached upstreams up to 0.5 s after their callers had closed the connections,
 * and used up capacity that the upstreams were short of. One event loop iteration of the ingress read hundreds of requests and
 * took half a second. Each request was forwarded as it was read, and only the next iteration read that some callers had
 * disconnected meanwhile. The check for disconnects had two faults (figures of this test before the fix):
 *
 * 1. It waited for the next iteration, but relied on the response's 'close' event, which node emits one iteration after the
 *    end of a connection that is closed in order (after a reset it comes in time). 20 of 20 requests were forwarded whose
 *    callers had disconnected 200 ms before anything was read.
 * 2. It was active only if the latest 50 ms timer had fired late, and no timer fires while a long iteration starts. 337 to
 *    348 of 500 requests were forwarded later than 250 ms after their callers had disconnected.
 *
 * When the fault occurred in a replay, no daemon's timers were 200 ms late; there, the first fault in shorter iterations is
 * the likelier cause.
 */
import { ProcessorPressure } from '@cleatquay/admission';
import { RequestScheduler, singlePartResponse } from '@cleatquay/calls';
import { SystemClock } from '@cleatquay/clock';
import { type RelayGateway } from '@cleatquay/daemon';
import { refusalPart, createRefusal } from '@cleatquay/protocol';
import { expect } from 'chai';
import { type AddressInfo } from 'node:net';
import { DisconnectingCallers } from './fixtures/disconnectingCallers.js';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';
import { startGateway } from './fixtures/callerGateway.js';

/** Time between a caller's request and its disconnect, ms. */
const DISCONNECT_AFTER_MS = 100;
/** Upper bound of the time from a caller's disconnect until its request is forwarded, ms. */
const MAX_FORWARD_DELAY_MS = 250;
/** Processor time of a call on a VM with half a core, ms. */
const CALL_COST_MS = 2;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

const idsOf = (count: number) => Array.from({ length: count }, (_, index) => `disconnected-${String(index)}`);

describe('requests whose callers have disconnected', () => {
  describe('at a daemon that gets no processor time until they have disconnected', () => {
    let fleet: PlatformFleet;

    beforeEach(async () => {
      fleet = await PlatformFleet.start([{ service: 'history' }], [routeTo('history', { priority: 0 })]);
    });

    afterEach(() => fleet[Symbol.asyncDispose]());

    it('are not forwarded', async () => {
      const [node] = fleet.nodes;
      const plan = { host: 'history.example', ids: idsOf(20), disconnectAfterMs: DISCONNECT_AFTER_MS };
      await using callers = await DisconnectingCallers.open(node!.daemon.addresses.get('callers')!, plan);
      await sleep(DISCONNECT_AFTER_MS);
      const disconnected = callers.sendAndDisconnect();
      blockEventLoop(3 * DISCONNECT_AFTER_MS);
      await disconnected;
      await sleep(MAX_FORWARD_DELAY_MS);
      expect(node!.upstream.receivedRequests.map(({ requestId }) => requestId)).to.deep.equal([]);
    });
  });

  describe('at a daemon that reads more requests at once than it has time for', () => {
    const clock = new SystemClock();
    let pressure: ProcessorPressure;
    let gateway: RelayGateway;
    let forwardedAt: number[];

    beforeEach(async () => {
      forwardedAt = [];
      pressure = new ProcessorPressure(clock, () => 1);
      gateway = await startGateway({
        ingress: {
          handle: () => {
            forwardedAt.push(Date.now());
            blockEventLoop(CALL_COST_MS);
            return Promise.resolve(singlePartResponse(refusalPart(createRefusal('overloaded', ''), 0)));
          },
        },
        scheduler: new RequestScheduler(clock, () => pressure.isLagging),
        clock,
      });
    });

    afterEach(() => {
      pressure[Symbol.dispose]();
      gateway.server.closeAllConnections();
      gateway.server.close();
    });

    it('are not forwarded long afterwards', async () => {
      const address = `127.0.0.1:${String((gateway.server.address() as AddressInfo).port)}`;
      const plan = { host: 'history.example', ids: idsOf(500), disconnectAfterMs: DISCONNECT_AFTER_MS };
      await using callers = await DisconnectingCallers.open(address, plan);
      await sleep(DISCONNECT_AFTER_MS);
      const disconnectedAt = await callers.sendAndDisconnect();
      await sleep(4 * MAX_FORWARD_DELAY_MS);
      expect(forwardedAt.filter(at => at - disconnectedAt > MAX_FORWARD_DELAY_MS)).to.have.length(0);
      expect(forwardedAt).to.not.have.length(0);
    });
  });
});
