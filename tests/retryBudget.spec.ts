import {
  type CallResponse,
  EMPTY_BODY,
  Forwarder,
  DecisionTrace,
  type Peers,
  ReplayableBody,
  TokenBucketRetryBudget,
  RunningCall,
  ConnectionLoss,
  singlePartResponse,
  isFinalPart,
} from '@cleatquay/calls';
import { ManualClock, seededRandom } from '@cleatquay/clock';
import {
  type AnswerPart,
  type CallContext,
  type RequestHead,
  refusalPart,
  createRefusal,
} from '@cleatquay/protocol';
import { UpstreamDirectory, Router } from '@cleatquay/routing';
import { type Route } from '@cleatquay/settings';
import { expect } from 'chai';
import fc from 'fast-check';
import { CALL_CONTEXT, REQUEST_HEAD } from './fixtures/callContext.js';
import { memberAt } from './fixtures/chainLoad.js';
import { isolatedQuarantine } from './fixtures/isolatedQuarantine.js';

const NEVER = new AbortController().signal;
const UPSTREAMS = 4;

/** What happens to an attempt: a response after its calls, a refusal, a failure after its calls, or a lost connection before or after its calls. */
type AttemptOutcome = 'respond' | 'refuse' | 'fail' | 'disconnect' | 'disconnect-after-calls';

/** A chain of forwarders in one process, which counts the attempts of all calls. */
class Chain {
  attempts = 0;
  calls = 0;
  private readonly clock = new ManualClock();
  private readonly router: Router;
  private next = 0;

  constructor(
    private readonly depth: number,
    private readonly fanOut: number,
    private readonly outcomes: readonly AttemptOutcome[],
  ) {
    const directory = new UpstreamDirectory();
    for (let i = 0; i < UPSTREAMS; i++) directory.update(memberAt(`127.0.0.${String(i + 1)}:1`, 10, 's'));
    const random = seededRandom('chain');
    this.router = new Router({ clock: this.clock, random, directory, self: 'none', failureDomain: 'a' });
  }

  async run(budget: number): Promise<AnswerPart | undefined> {
    return this.call({ ...CALL_CONTEXT, retryTokens: budget });
  }

  private async call(context: CallContext): Promise<AnswerPart | undefined> {
    this.calls++;
    const exchange = (_address: string, head: RequestHead) => this.serve(head.context!);
    const forwarder = new Forwarder({
      clock: this.clock,
      random: () => 0.5,
      router: this.router,
      peers: { exchange } as unknown as Peers,
      retries: new TokenBucketRetryBudget(),
      freeReroutes: 0,
      signalsEnforceDeadline: false,
      decisionTrace: new DecisionTrace(this.clock),
      quarantine: isolatedQuarantine(this.clock),
      self: 'none',
      local: exchange as never,
    });
    const body = new ReplayableBody(EMPTY_BODY);
    const { first } = await forwarder.forward(ROUTE, { ...REQUEST_HEAD, context }, context, body, NEVER);
    expect(isFinalPart(first)).to.equal(true);
    return first;
  }

  private async serve(context: CallContext): Promise<CallResponse> {
    this.attempts++;
    const outcome = this.outcomes[this.next++ % this.outcomes.length];
    if (outcome === 'refuse')
      return singlePartResponse(
        refusalPart(createRefusal('overloaded', '', { elsewhereHelps: true }), context.retryTokens),
      );
    if (outcome === 'disconnect') throw new ConnectionLoss('gone', false);
    const running = new RunningCall(context, ROUTE, 1e9, NEVER);
    for (let i = 0; i < this.fanOut && context.depth < this.depth; i++) {
      const child = await this.call({
        ...CALL_CONTEXT,
        depth: context.depth + 1,
        retryTokens: running.takeTokens(),
      });
      running.returnTokens(child?.unusedRetryTokens ?? 0);
    }
    if (outcome === 'disconnect-after-calls') throw new ConnectionLoss('gone', false);
    if (outcome === 'fail') {
      const refusal = createRefusal('upstreamBroke', '', { elsewhereHelps: true });
      return singlePartResponse(refusalPart(refusal, running.retryTokens));
    }
    const head = { status: 200, headers: '', unframed: false };
    const end = { length: 0, crc32: 0 };
    return singlePartResponse({
      head,
      body: Buffer.alloc(0),
      end,
      refusal: undefined,
      load: undefined,
      unusedRetryTokens: running.retryTokens,
      notice: undefined,
    });
  }
}

const ROUTE: Route = {
  name: 's.run',
  service: 's',
  method: 'GET',
  path: '/',
  class: 'a',
  idempotent: true,
  timeoutMs: 1000,
  calls: [],
  public: false,
  rank: 0,
  matches: () => true,
};

describe('the retry budget', () => {
  it('limits the attempts for one client request over the whole chain, for any depth, fan-out and failures', async () => {
    const outcome = fc.constantFrom<AttemptOutcome>(
      'respond',
      'refuse',
      'fail',
      'disconnect',
      'disconnect-after-calls',
    );
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 7 }),
        fc.integer({ min: 1, max: 3 }),
        fc.integer({ min: 0, max: 8 }),
        fc.array(outcome, { minLength: 1, maxLength: 40 }),
        async (depth, fanOut, budget, outcomes) => {
          const chain = new Chain(depth, depth > 4 ? 1 : fanOut, outcomes);
          const last = await chain.run(budget);
          expect(chain.attempts - chain.calls, 'attempts beyond the first of each call').to.be.at.most(
            budget,
          );
          expect(last?.unusedRetryTokens, 'tokens left').to.be.at.most(
            budget - (chain.attempts - chain.calls),
          );
        },
      ),
      { numRuns: 300 },
    );
  });

  it('never states that a call has not run when one of the attempts may have run', async () => {
    const outcome = fc.constantFrom<AttemptOutcome>('refuse', 'fail', 'disconnect');
    await fc.assert(
      fc.asyncProperty(fc.array(outcome, { minLength: 1, maxLength: 6 }), async outcomes => {
        const chain = new Chain(1, 1, outcomes);
        const last = await chain.run(3);
        const attemptOutcomes = Array.from(
          { length: chain.attempts },
          (_, i) => outcomes[i % outcomes.length],
        );
        const ranNowhere = attemptOutcomes.every(o => o === 'refuse');
        expect(last?.refusal?.outcome === 'not-run', attemptOutcomes.join(', ')).to.equal(ranNowhere);
      }),
    );
  });

  it('allows retries: a call that one upstream refuses gets its response from another', async () => {
    const chain = new Chain(3, 1, ['respond', 'refuse', 'respond', 'respond']);
    const last = await chain.run(3);
    expect(last?.end).to.not.equal(undefined);
    expect(chain.attempts).to.equal(4);
  });
});
