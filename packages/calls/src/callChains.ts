/** Connects the calls and runs of a daemon with what it knows of call chains: outlooks, the admission of root requests, and the causes of waste. */
import { CALLER_DISCONNECTED, type CancelSignal, type Clock, type Random } from '@cleatquay/clock';
import { resultByCode } from '@cleatquay/errors';
import { type AnswerPart, type CallContext, type ChainOutlook, type Refusal } from '@cleatquay/protocol';
import { type CallResponse } from './callHandler.js';
import { ChainAdmission } from './chainAdmission.js';
import { ChainOutlooks, type WasteCause } from './chainOutlooks.js';
import { LossAdmission, type RequestEnd } from './lossAdmission.js';
import { type DecisionTrace } from './decisionTrace.js';
import { MIN_SERVER_ERROR_STATUS } from './recordOutcome.js';
import { type RunningCall } from './runningCalls.js';

/** Calls that fail without a refusal count as failed by shedding if the outlook with their response is below this. */
const MAX_FAILING_COMPLETION = 0.7;
/** A root request that fails while the outlook with its response is below this may have failed by shedding. */
const MIN_UNSHED_COMPLETION = 0.95;
/** A run that is cancelled this shortly before its deadline timed out where it entered, ms: that deadline is up to some hops earlier. */
const DEADLINE_TOLERANCE_MS = 20;

/** The call chains of one daemon. */
export class CallChains {
  readonly outlooks: ChainOutlooks;
  readonly admission: ChainAdmission;
  readonly lossAdmission: LossAdmission;

  constructor(
    private readonly clock: Clock,
    random: Random,
    private readonly decisionTrace: DecisionTrace,
    /** Whether this process lacks processor time. */
    isStrained: () => boolean = () => false,
  ) {
    this.outlooks = new ChainOutlooks(clock);
    this.admission = new ChainAdmission(clock, random);
    this.lossAdmission = new LossAdmission(clock, random, isStrained);
  }

  /** The refusal of a root request because of its chain; undefined if it is admitted. */
  refusalOf(context: CallContext): Refusal | undefined {
    const refusal = this.admission.refusalOf(context) ?? this.lossAdmission.refusalOf(context);
    if (!refusal) return undefined;
    const { requestId, route, class: rank } = context;
    const facts = { route, class: rank, why: refusal.message, retryAfterMs: refusal.retryAfterMs };
    this.decisionTrace.record(requestId, 'Refused at once: such requests fail.', facts);
    return refusal;
  }

  /** Records the response to a request that this daemon forwarded: a call by the run `parent`, or a root request. */
  responseReceived(context: CallContext, parent: RunningCall | undefined, { first }: CallResponse): void {
    const outlook = first.load?.chain;
    if (!parent) {
      if (outlook) this.lossAdmission.follow(context);
      this.lossAdmission.recordEnd(context, endOf(first));
      return this.admission.record(context, outlook);
    }
    const isSuccessful = !first.refusal && (first.head?.status ?? 0) < MIN_SERVER_ERROR_STATUS;
    parent.recordCall(context.route, isSuccessful);
    if (isSuccessful || isForShedding(first, outlook))
      this.outlooks.recordCall(kindOf(parent), context.route, isSuccessful, outlook);
  }

  /** The outlook that is reported with the response to a call. */
  outlookOf(route: string, context: CallContext): ChainOutlook | undefined {
    return this.outlooks.outlookOf({ route, class: context.class });
  }

  /** Records a run of the local upstream that has ended with a response. */
  runResponded(call: RunningCall, tookMs: number, { first }: CallResponse): void {
    if (first.refusal) return;
    const isFailed = (first.head?.status ?? 0) >= MIN_SERVER_ERROR_STATUS;
    this.recordRun(call, tookMs, isFailed ? causeOf(call) : undefined);
  }

  /** Records a run of the local upstream that has ended without a response. */
  runFailed(call: RunningCall, tookMs: number, signal: CancelSignal): void {
    if (!signal.aborted) return this.recordRun(call, tookMs, causeOf(call));
    const isEarly = this.clock.now() < call.deadlineAt - DEADLINE_TOLERANCE_MS;
    const isDisconnected = isEarly && signal.reason === CALLER_DISCONNECTED;
    this.recordRun(call, tookMs, isDisconnected ? 'disconnected' : 'timed-out');
  }

  private recordRun(call: RunningCall, tookMs: number, waste: WasteCause | undefined): void {
    this.outlooks.recordRun(kindOf(call), { calls: call.callCounts, tookMs, ...(waste && { waste }) });
    if (!waste || !call.hasMadeCalls) return;
    this.decisionTrace.record(call.context.requestId, 'The run is wasted.', { waste, ...chainFacts(call) });
  }
}

/**
 * Whether a call failed because an upstream shed it, or a call below it. Calls that fail for lack of capacity are left to the admission
 * levels, which refuse as many root requests as the services cannot serve.
 */
function isForShedding({ refusal }: AnswerPart, outlook: ChainOutlook | undefined): boolean {
  if (refusal) return resultByCode(refusal.code) === 'shedByUpstream';
  return outlook !== undefined && outlook.completion < MAX_FAILING_COMPLETION;
}

/** How a root request ended. A response that broke off, or that upstreams shed, would not be mended by fewer requests. */
function endOf({ refusal, head, load }: AnswerPart): RequestEnd {
  if (refusal) return resultByCode(refusal.code) === 'requestTimedOut' ? 'lost' : 'other';
  if ((head?.status ?? 0) < MIN_SERVER_ERROR_STATUS) return 'served';
  const isShed = load?.chain !== undefined && load.chain.completion < MIN_UNSHED_COMPLETION;
  return isShed ? 'other' : 'lost';
}

function causeOf({ failedCalls }: RunningCall): WasteCause {
  return failedCalls > 0 ? 'call-failed' : 'failed';
}

function kindOf({ route, context }: RunningCall) {
  return { route: route.name, class: context.class };
}

function chainFacts({ callCounts, failedCalls, context }: RunningCall) {
  const calls = [...callCounts.values()].reduce((sum, count) => sum + count, 0);
  return { calls, failedCalls, callsBefore: context.callsBefore, depth: context.depth };
}
