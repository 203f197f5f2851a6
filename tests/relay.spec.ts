import {
  CallChains,
  type CallRoute,
  LearnedCalls,
  DecisionTrace,
  DrainEnd,
  QuotaGate,
  Relay,
  type RelayedRequest,
  RunningCalls,
  Authenticator,
  UploadBudget,
  Uploads,
  singlePartResponse,
} from '@cleatquay/calls';
import {
  CALLER_DISCONNECTED,
  type CancelSignal,
  Cancellation,
  ManualClock,
  NEVER_CANCELLED,
} from '@cleatquay/clock';
import { OrganisationCounts } from '@cleatquay/organisations';
import { refusalPart, createRefusal } from '@cleatquay/protocol';
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

describe('a non-idempotent request at its ingress daemon', () => {
  let clock: ManualClock;
  let forwardedSignals: CancelSignal[];

  /** A relay whose forwarder responds only when cancelled, in a daemon that shuts down in `timeLeftMs`. */
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
      forwardedSignals.push(signal);
      return new Promise<ReturnType<typeof singlePartResponse>>(resolve => {
        const onAbort = () =>
          resolve(singlePartResponse(refusalPart(createRefusal('contactLost', 'Cancelled.'), 0)));
        signal.addEventListener('abort', onAbort);
      });
    };
    return new Relay({
      clock,
      routes: () => routes,
      configuration: { generation: 1, digest: 'd' },
      decisionTrace: new DecisionTrace(clock),
      forwarder: { forward },
      originService: 'history',
      authenticator: new Authenticator({ random: () => 0.5, areRevocationsCurrent: () => true }),
      quotaGate: new QuotaGate({
        clock,
        decisionTrace: new DecisionTrace(clock),
        quotas: () => {
          throw new Error('No organisation has a quota in this test.');
        },
        counts: new OrganisationCounts(),
        proofAgeMs: () => 0,
      }),
      pressureLevel: () => Number.POSITIVE_INFINITY,
      refusesRequests: () => false,
      timeLeftMs: () => timeLeftMs,
      drainEnd: new DrainEnd(),
      random: () => 0.5,
      running: new RunningCalls(),
      learnedCalls: new LearnedCalls(clock),
      uploads: new Uploads(new UploadBudget(0), () => 0.5),
      chains: new CallChains(clock, () => 0.5, new DecisionTrace(clock)),
    });
  }

  beforeEach(() => {
    clock = new ManualClock();
    forwardedSignals = [];
  });

  it('is cancelled downstream when its caller disconnects, so that it is not forwarded after that', () => {
    const caller = new Cancellation();
    void relay().handle(REQUEST, Buffer.alloc(0), caller);
    expect(forwardedSignals[0]?.aborted).to.equal(false);
    caller.abort(CALLER_DISCONNECTED);
    expect(forwardedSignals[0]?.aborted).to.equal(true);
  });

  it('is refused, as not run, by a daemon that shuts down before the timeout of the request', async () => {
    const response = await relay(TIMEOUT_MS - 1).handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    expect(response.first.refusal?.outcome).to.equal('not-run');
    expect(forwardedSignals).to.deep.equal([]);
  });

  it('is accepted by a daemon that shuts down at the timeout of the request or later', () => {
    void relay(TIMEOUT_MS).handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    expect(forwardedSignals.length).to.equal(1);
  });

  it('is cancelled downstream at the timeout, and its caller gets a response at once', async () => {
    const response = relay().handle(REQUEST, Buffer.alloc(0), NEVER_CANCELLED);
    clock.advance(TIMEOUT_MS);
    expect((await response).first.refusal?.outcome).to.equal('unknown');
    expect(forwardedSignals[0]?.aborted).to.equal(true);
  });
});
