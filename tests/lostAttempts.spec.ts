/**
 * Guards against idempotent requests that end as unknown, with most of their time left, because the other upstreams were full at the instant at
 * which their attempt was found to be lost.
 */
import {
  type CallResponse,
  ConnectionLoss,
  DecisionTrace,
  EMPTY_BODY,
  FleetRetryBudget,
  Forwarder,
  type Peers,
  ReplayableBody,
  type Retry,
  RoomWaits,
  type TakenRetry,
  singlePartResponse,
} from '@cleatquay/calls';
import { Cancellation, CALLER_DISCONNECTED, ManualClock } from '@cleatquay/clock';
import {
  type AnswerPart,
  type Refusal,
  type RequestHead,
  createRefusal,
  emptyLoad,
  refusalPart,
} from '@cleatquay/protocol';
import { Router, UpstreamDirectory } from '@cleatquay/routing';
import { expect } from 'chai';
import { CALL_CONTEXT, REQUEST_HEAD } from './fixtures/callContext.js';
import { memberAt } from './fixtures/chainLoad.js';
import { isolatedQuarantine } from './fixtures/isolatedQuarantine.js';

const SERVICE = 's';
const ADDRESSES = ['127.0.0.1:1', '127.0.0.2:1'];
const ROUTE = { name: 'read', service: SERVICE, idempotent: true, calls: [] };
const REMAINING_MS = 8000;
const STEP_MS = 5;
/** The longest wait for room, a pause, and the time in which the loss is found. */
const MAX_END_MS = 1200;

/** What comes of an attempt that was sent with these retry tokens. */
type Attempt = (tokens: number) => CallResponse;

const elsewhere = { elsewhereHelps: true };
const refused = (refusal: Refusal, tokens: number): CallResponse =>
  singlePartResponse(refusalPart(refusal, tokens));
const answered = (): CallResponse =>
  singlePartResponse({
    ...refusalPart(createRefusal('overloaded', ''), 0),
    head: { status: 200, headers: '', unframed: false },
    refusal: undefined,
    end: { length: 0, crc32: 0 },
  });
const unqueued: Attempt = tokens =>
  refused(createRefusal('upstreamUnresponsive', 'Missing.', { ...elsewhere, outcome: 'not-run' }), tokens);
const overloaded: Attempt = tokens => refused(createRefusal('overloaded', 'Full.', elsewhere), tokens);
const LOSSES: readonly (readonly [string, Attempt])[] = [
  ['that the upstream could not queue', unqueued],
  [
    'whose connection was lost',
    () => {
      throw new ConnectionLoss('Reset.', false);
    },
  ],
  [
    'whose upstream crashed',
    tokens => refused(createRefusal('upstreamEnded', 'Crashed.', elsewhere), tokens),
  ],
  [
    'whose response was truncated',
    tokens => refused(createRefusal('answerIncomplete', 'Short.', elsewhere), tokens),
  ],
];

/** A budget that counts the retries that were taken and not given back. */
class CountingBudget extends FleetRetryBudget {
  held = 0;

  override take(service: string, retry: Retry): boolean {
    const isTaken = super.take(service, retry);
    if (isTaken) this.held++;
    return isTaken;
  }

  override giveBack(service: string, taken: TakenRetry): void {
    super.giveBack(service, taken);
    this.held--;
  }
}

describe('an idempotent request with a lost attempt', () => {
  let clock: ManualClock;
  let router: Router;
  let budget: CountingBudget;
  let forwarder: Forwarder;
  let roomWaits: RoomWaits;
  let sentTo: string[];
  let attempts: Attempt[];
  /** Time until the outcome of an attempt is known. */
  let foundAfterMs: number;

  beforeEach(() => {
    clock = new ManualClock();
    sentTo = [];
    foundAfterMs = 0;
    const directory = new UpstreamDirectory();
    for (const address of ADDRESSES) directory.update(memberAt(address, 10, SERVICE));
    router = new Router({ clock, random: () => 0.5, directory, self: 'me', failureDomain: 'a' });
    budget = new CountingBudget(clock, { ratio: 0.2, extra: 1000, windowMs: 10_000 }, () => 1);
    roomWaits = new RoomWaits(clock, () => 0.5);
    const exchange = (address: string, { context }: RequestHead) => {
      sentTo.push(address);
      return clock.sleep(foundAfterMs).then(() => (attempts.shift() ?? answered)(context!.retryTokens));
    };
    forwarder = new Forwarder({
      clock,
      random: () => 0.5,
      router,
      peers: { exchange } as unknown as Peers,
      retries: budget,
      freeReroutes: 3,
      callsHaveOwnTokens: true,
      roomWaits,
      signalsEnforceDeadline: true,
      decisionTrace: new DecisionTrace(clock),
      quarantine: isolatedQuarantine(clock),
      self: 'me',
      local: () => expect.fail('served locally'),
    });
  });

  /** Whether the upstreams other than that of the first attempt accept requests, by what their daemons report. */
  const report = (hasRoom: boolean) => {
    const load = { ...emptyLoad(), limit: 10, admissionLevel: hasRoom ? 3 : 0 };
    for (const address of ADDRESSES) if (address !== sentTo[0]) router.recordLoad(address, ROUTE.name, load);
  };

  const forward = (signal = new Cancellation().signal) => {
    const context = { ...CALL_CONTEXT, remainingMs: REMAINING_MS, retryTokens: 1, route: ROUTE.name };
    const head = { ...REQUEST_HEAD, context };
    return forwarder.forward(ROUTE, head, context, new ReplayableBody(EMPTY_BODY), signal);
  };

  /** Advances the clock until the request has ended; `onStep` gets the time. */
  const playToEnd = async (response: Promise<CallResponse>, onStep: (ms: number) => void) => {
    let first: AnswerPart | undefined;
    void response.then(ended => (first = ended.first));
    for (; !first && clock.now() < REMAINING_MS; clock.advance(STEP_MS)) {
      onStep(clock.now());
      for (let turn = 0; turn < 20; turn++) await Promise.resolve();
    }
    return { first: first!, endedAt: clock.now() };
  };

  for (const [name, loss] of LOSSES)
    describe(name, () => {
      it('is sent again once another upstream has room, and holds no retry until then', async () => {
        attempts = [loss];
        const { first } = await playToEnd(forward(), ms => {
          report(ms >= 400);
          if (ms >= 100 && ms < 400) expect([budget.held, roomWaits.counts.waiting]).to.deep.equal([0, 1]);
        });
        expect(first.head?.status).to.equal(200);
        expect(new Set(sentTo).size).to.equal(2);
        expect([sentTo.length, budget.held, roomWaits.counts.waiting]).to.deep.equal([2, 1, 0]);
      });

      it('is offered again to an upstream whose daemon refused it, with a single retry', async () => {
        attempts = [loss, overloaded, overloaded];
        const { first } = await playToEnd(forward(), () => report(true));
        expect(first.head?.status).to.equal(200);
        expect(sentTo.slice(1)).to.deep.equal([sentTo[1], sentTo[1], sentTo[1]]);
        expect(budget.held).to.equal(1);
      });

      it('ends in time where no upstream gets room, and costs no retry', async () => {
        attempts = [loss];
        const { first, endedAt } = await playToEnd(forward(), () => report(false));
        expect(endedAt).to.be.below(MAX_END_MS);
        expect([sentTo.length, budget.held, roomWaits.counts.waiting]).to.deep.equal([1, 0, 0]);
        const isUnqueued = loss === unqueued;
        expect(first.refusal!.outcome === 'not-run').to.equal(isUnqueued);
        if (isUnqueued) expect(first.refusal).to.deep.include({ code: 2002, retryAfterMs: 1000 });
      });
    });

  it('stops waiting when its caller disconnects', async () => {
    attempts = [unqueued];
    const caller = new Cancellation();
    const { endedAt } = await playToEnd(forward(caller.signal), ms => {
      report(false);
      if (ms === 200) caller.abort(CALLER_DISCONNECTED);
    });
    expect([endedAt <= 210, budget.held, roomWaits.counts.waiting]).to.deep.equal([true, 0, 0]);
  });

  // Guards against a loss that is found late, to which a wait is added.
  it('does not wait in the second half of its time', async () => {
    attempts = [unqueued];
    foundAfterMs = 4500;
    const { endedAt } = await playToEnd(forward(), () => report(false));
    expect(endedAt).to.be.within(4500, 4520);
  });

  it('does not wait where a hundred others do', async () => {
    const places = Array.from({ length: 100 }, () => roomWaits.enter(REMAINING_MS));
    expect(places.every(place => place !== undefined)).to.equal(true);
    attempts = [unqueued];
    const { endedAt } = await playToEnd(forward(), () => report(false));
    expect(endedAt).to.be.below(20);
    expect(roomWaits.counts.turnedAway).to.equal(1);
  });
});
