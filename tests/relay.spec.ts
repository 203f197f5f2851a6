import {
  type CallRoute,
  LearnedCalls,
  Journal,
  Relay,
  type RelayedRequest,
  RunningCalls,
  answerOf,
} from '@cleatquay/calls';
import { CALLER_LEFT, type CancelSignal, Cancellation, ManualClock, NEVER_CANCELLED } from '@cleatquay/clock';
import { endOf, refusalOf } from '@cleatquay/protocol';
import { type HostRoute, HostRoutes } from '@cleatquay/routes';
import { expect } from 'chai';

const TIMEOUT_MS = 800;
const ROUTE: HostRoute = {
  name: 'confirm',
  host: 'here.example',
  pathPrefix: '/',
  idempotent: false,
  timeoutMs: TIMEOUT_MS,
  targetLatencyMs: TIMEOUT_MS,
  rank: 0,
  parts: [{ service: 'receiving', weight: 1 }],
  mostAttempts: 2,
};
const REQUEST: RelayedRequest = {
  host: 'here.example',
  method: 'POST',
  path: '/',
  headers: '',
  requestId: 'r1',
  remainingMs: undefined,
  parentId: undefined,
};

describe('a request that may run only once, at its first daemon', () => {
  let clock: ManualClock;
  let given: CancelSignal[];

  /** A relay whose forwarder never answers. */
  function relay(): Relay {
    const limits = { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
    const routes = new HostRoutes({ routes: [ROUTE], services: [], limits }, () => 0.5);
    const forward = (
      _route: CallRoute,
      _head: unknown,
      _context: unknown,
      _body: unknown,
      signal: CancelSignal,
    ) => {
      given.push(signal);
      return new Promise<ReturnType<typeof answerOf>>(resolve => {
        const left = () => resolve(answerOf(endOf(refusalOf('contactLost', 'Given up.'), 0)));
        signal.addEventListener('abort', left);
      });
    };
    return new Relay({
      clock,
      routes: () => routes,
      generation: () => 1,
      journal: new Journal(clock),
      forwarder: { forward },
      originService: 'history',
      pressureLevel: () => Number.POSITIVE_INFINITY,
      random: () => 0.5,
      running: new RunningCalls(),
      learned: new LearnedCalls(clock),
    });
  }

  beforeEach(() => {
    clock = new ManualClock();
    given = [];
  });

  it('is given up further on when its caller has left, so that it is not sent on after that', () => {
    const caller = new Cancellation();
    void relay().handle(REQUEST, Buffer.alloc(0), caller);
    expect(given[0]?.aborted).to.equal(false);
    caller.abort(CALLER_LEFT);
    expect(given[0]?.aborted).to.equal(true);
  });

  it('is given up further on at the timeout, and its caller is told at once', async () => {
    const answer = relay().handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    clock.advance(TIMEOUT_MS);
    expect((await answer).first.refusal?.outcome).to.equal('unknown');
    expect(given[0]?.aborted).to.equal(true);
  });
});
