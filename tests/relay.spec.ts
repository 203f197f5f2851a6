import {
  type CallRoute,
  LearnedCalls,
  Journal,
  QuotaGate,
  Relay,
  type RelayedRequest,
  RunningCalls,
  Senders,
  answerOf,
} from '@cleatquay/calls';
import { CALLER_LEFT, type CancelSignal, Cancellation, ManualClock, NEVER_CANCELLED } from '@cleatquay/clock';
import { OrganisationCounts } from '@cleatquay/organisations';
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
  isPublic: false,
  parts: [{ service: 'receiving', weight: 1 }],
  mostAttempts: 2,
};
const REQUEST: RelayedRequest = {
  host: 'here.example',
  method: 'POST',
  path: '/',
  headers: '',
  requestId: 'r1',
  credentials: 'none',
  remainingMs: undefined,
  parentId: undefined,
};

describe('a request that may run only once, at its first daemon', () => {
  let clock: ManualClock;
  let given: CancelSignal[];

  /** A relay whose forwarder never answers, in a daemon that ends after so many ms. */
  function relay(timeLeftMs = Number.POSITIVE_INFINITY): Relay {
    const limits = { headerBytes: 1000, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 };
    const routes = new HostRoutes(
      { routes: [ROUTE], services: [], limits, organisations: undefined },
      () => 0.5,
    );
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
      configuration: { generation: 1, digest: 'd' },
      journal: new Journal(clock),
      forwarder: { forward },
      originService: 'history',
      senders: new Senders({ random: () => 0.5, areKeysProven: () => true }),
      quotaGate: new QuotaGate({
        clock,
        journal: new Journal(clock),
        quotas: () => {
          throw new Error('Nobody has a quota here.');
        },
        counts: new OrganisationCounts(),
        proofAgeMs: () => 0,
      }),
      pressureLevel: () => Number.POSITIVE_INFINITY,
      timeLeftMs: () => timeLeftMs,
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

  it('is refused, as not run, by a daemon that ends before the time of the request is up', async () => {
    const answer = await relay(TIMEOUT_MS - 1).handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    expect(answer.first.refusal?.outcome).to.equal('not-run');
    expect(given).to.deep.equal([]);
  });

  it('is taken by a daemon that ends, as long as there is time for it', () => {
    void relay(TIMEOUT_MS).handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    expect(given.length).to.equal(1);
  });

  it('is given up further on at the timeout, and its caller is told at once', async () => {
    const answer = relay().handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    clock.advance(TIMEOUT_MS);
    expect((await answer).first.refusal?.outcome).to.equal('unknown');
    expect(given[0]?.aborted).to.equal(true);
  });
});
