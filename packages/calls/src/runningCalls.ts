/** The requests that run on the local upstream, and what the calls that they make inherit from them. */
import { type CancelSignal } from '@cleatquay/clock';
import { invariant } from '@cleatquay/errors';
import { type CallContext, type RequestHead } from '@cleatquay/protocol';
import { type CallBody, type CallRoute } from './callHandler.js';

/** The content of a running request, and the process start of the upstream that runs it. */
export interface RunningRequest {
  readonly head: RequestHead;
  readonly body: CallBody;
  /** Identifies the process start of the upstream. */
  readonly start: string;
}

/** A request that was dispatched to the local upstream and has not ended. */
export class RunningCall {
  /** Retry tokens that no child call holds at the moment. */
  retryTokens: number;
  private childCalls = 0;
  private counts: Map<string, number> | undefined;
  /** Number of its calls that have failed. */
  failedCalls = 0;

  constructor(
    readonly context: CallContext,
    readonly route: CallRoute,
    /** Deadline, clock time in ms. */
    readonly deadlineAt: number,
    /** Aborts when the request is cancelled. */
    readonly signal: CancelSignal,
    readonly request?: RunningRequest,
  ) {
    this.retryTokens = context.retryTokens;
  }

  /** Takes all free tokens for a child call, which returns those it did not use by `returnTokens`. */
  takeTokens(): number {
    const taken = this.retryTokens;
    this.retryTokens = 0;
    return taken;
  }

  /** Returns unused tokens. Tokens of a child call that was lost stay spent. */
  returnTokens(unused: number): void {
    this.retryTokens += unused;
    invariant(
      this.retryTokens <= this.context.retryTokens,
      'Calls: more retry tokens were returned than taken.',
    );
  }

  /** Whether calls of it have been counted. Calls that its upstream identifies by a call key are not counted. */
  get hasMadeCalls(): boolean {
    return this.childCalls > 0;
  }

  /** Counts a call that it makes; returns how many calls this daemon knows to have been made for the root request before it. */
  countCall(): number {
    return this.context.callsBefore + this.childCalls++;
  }

  /** Records the response to one of its calls. */
  recordCall(route: string, isSuccessful: boolean): void {
    this.counts ??= new Map();
    this.counts.set(route, (this.counts.get(route) ?? 0) + 1);
    if (!isSuccessful) this.failedCalls++;
  }

  /** Number of its calls that have ended, by route. */
  get callCounts(): ReadonlyMap<string, number> {
    return this.counts ?? NO_CALLS;
  }

  /** The id of a child call. The same key gives the same id, so that a retried call is recognised. */
  childId(key: string | undefined): string {
    return `${this.context.requestId}/${key ?? `n${String(++this.childCalls)}`}`;
  }
}

const NO_CALLS: ReadonlyMap<string, number> = new Map();

/** Running calls by request id. */
export class RunningCalls {
  private readonly calls = new Map<string, RunningCall>();

  get size(): number {
    return this.calls.size;
  }

  get(requestId: string): RunningCall | undefined {
    return this.calls.get(requestId);
  }

  /** The requests that run at a process start of an upstream, the latest last. */
  requestsAt(start: string): RunningRequest[] {
    return [...this.calls.values()].flatMap(({ request }) => (request?.start === start ? [request] : []));
  }

  /** Registers the call until the returned object is disposed. */
  register(call: RunningCall): Disposable {
    const { requestId } = call.context;
    this.calls.set(requestId, call);
    return {
      [Symbol.dispose]: () => {
        if (this.calls.get(requestId) === call) this.calls.delete(requestId);
      },
    };
  }
}
