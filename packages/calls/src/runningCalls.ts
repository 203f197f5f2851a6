/** The requests that run on the upstream beside this daemon: what their calls further down inherit. */
import { type CancelSignal } from '@cleatquay/clock';
import { invariant } from '@cleatquay/errors';
import { type CallContext, type RequestHead } from '@cleatquay/protocol';
import { type CallBody, type CallRoute } from './callHandler.js';

/** What a running request asks, and at which start of an upstream it runs. */
export interface RunningRequest {
  readonly head: RequestHead;
  readonly body: CallBody;
  /** Names the start of the upstream. */
  readonly start: string;
}

/** A request that was dispatched here and has not ended. */
export class RunningCall {
  /** Retry tokens not handed to any call below just now. */
  retryTokens: number;
  private childCalls = 0;

  constructor(
    readonly context: CallContext,
    readonly route: CallRoute,
    /** Clock time of its deadline, ms. */
    readonly deadlineAt: number,
    /** Aborts when the request is given up. */
    readonly signal: CancelSignal,
    readonly request?: RunningRequest,
  ) {
    this.retryTokens = context.retryTokens;
  }

  /** Takes all free tokens for a call below; they come back by `returnTokens`. */
  takeTokens(): number {
    const taken = this.retryTokens;
    this.retryTokens = 0;
    return taken;
  }

  /** Gives unused tokens back; ones that got lost stay spent. */
  returnTokens(unused: number): void {
    this.retryTokens += unused;
    invariant(this.retryTokens <= this.context.retryTokens, 'Calls: retry tokens came from nowhere.');
  }

  /** Whether it has made calls, as far as is known here. */
  get hasCalled(): boolean {
    return this.childCalls > 0;
  }

  /** Counts a call that it makes; gives how many were made for the root before, as far as is known here. */
  nextCall(): number {
    return this.context.callsBefore + this.childCalls++;
  }

  /** Id of a call below: the same for the same key, so that a repeat is known for one. */
  childId(key: string | undefined): string {
    return `${this.context.requestId}/${key ?? `n${String(++this.childCalls)}`}`;
  }
}

/** Running calls by request id. */
export class RunningCalls {
  private readonly calls = new Map<string, RunningCall>();

  get size(): number {
    return this.calls.size;
  }

  get(requestId: string): RunningCall | undefined {
    return this.calls.get(requestId);
  }

  /** What runs at a start of an upstream, the latest last. */
  at(start: string): RunningRequest[] {
    return [...this.calls.values()].flatMap(({ request }) => (request?.start === start ? [request] : []));
  }

  /** Registers the call until the result is disposed of. */
  enter(call: RunningCall): Disposable {
    const { requestId } = call.context;
    this.calls.set(requestId, call);
    return {
      [Symbol.dispose]: () => {
        if (this.calls.get(requestId) === call) this.calls.delete(requestId);
      },
    };
  }
}
