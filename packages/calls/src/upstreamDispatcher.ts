/** Admits calls, dispatches them to the local upstream, and records which ones were dispatched. */
import { type Permit, progressLevel, requestLevel } from '@cleatquay/admission';
import { type CancelSignal, type Clock, NO_METER, type WorkMeter } from '@cleatquay/clock';
import { resultByCode } from '@cleatquay/errors';
import {
  ANY_EPOCH,
  type AnswerPart,
  type CallContext,
  type Load,
  type Refusal,
  type RequestHead,
  type SealAnswer,
  type SealRequest,
  type UpstreamNotice,
  refusalPart,
  createRefusal,
} from '@cleatquay/protocol';
import { SuspectSemaphore, type Quarantine } from '@cleatquay/quarantine';
import {
  type CallResponse,
  type CallBody,
  type CallRoute,
  mayHaveBody,
  singlePartResponse,
} from './callHandler.js';
import { parseHeaderBlock } from './headers.js';
import { quarantineRefusal } from './quarantineRefusal.js';
import { type CallChains } from './callChains.js';
import { type DecisionTrace } from './decisionTrace.js';
import { cancellationOf } from './runCancellation.js';
import { type LocalUpstream } from './localUpstream.js';
import { RunningCall, type RunningCalls } from './runningCalls.js';
import { type AttemptRegistry, type SealOutcome } from './attemptRegistry.js';
import { type UpstreamResponse } from './upstreamExchange.js';
import { type AdmittedCall, UpstreamFailures, quarantineStatusOf } from './upstreamFailures.js';
import { type CrashDetector, receivedFingerprint } from './crashDetector.js';
import { type ProcessIdentity, UNKNOWN_PROCESS } from './processIdentity.js';
import { type UpstreamDialect } from './upstreamDialect.js';
import { type DelimiterHistory } from './delimiterHistory.js';
import { UpstreamResponses } from './upstreamResponses.js';

/** How long a non-idempotent request may continue after its deadline, so that its outcome can be determined. */
export const NON_IDEMPOTENT_GRACE_MS = 10_000;

/** A call as received. */
interface IncomingCall {
  readonly head: RequestHead;
  readonly context: CallContext;
  readonly route: CallRoute;
  readonly upstream: LocalUpstream;
  readonly body: CallBody;
  /** Clock time, ms. */
  readonly arrivedAt: number;
}

/** Dependencies on the daemon. */
export interface UpstreamDispatcherOptions {
  readonly clock: Clock;
  readonly process: ProcessIdentity;
  readonly epoch: () => number;
  /** The route of a call; undefined if it is not declared. */
  readonly routeOf: (head: RequestHead) => CallRoute | undefined;
  readonly dialect: UpstreamDialect;
  /** The local upstream of a service. */
  readonly upstream: (service: string) => LocalUpstream | undefined;
  /** Applies a notice that a sender has stored: the local upstream of the service sent it to an earlier process of this daemon. */
  readonly onNotice: (service: string, notice: UpstreamNotice) => void;
  /** The admission level at and above which calls of a route are refused by downstream services. */
  readonly downstreamLevel: (route: CallRoute) => number;
  readonly attempts: AttemptRegistry;
  /** How the responses of the local upstreams were delimited. */
  readonly delimiters: DelimiterHistory;
  readonly running: RunningCalls;
  readonly crashDetector: CrashDetector;
  readonly quarantine: Quarantine;
  readonly decisionTrace: DecisionTrace;
  readonly chains: CallChains;
  /** Time until this daemon stops waiting for requests in flight, ms; infinite unless it is shutting down. */
  readonly timeLeftMs: () => number;
  /** Counts runs and refusals. */
  readonly meter?: WorkMeter | undefined;
}

/** Serves calls for the local upstreams. */
export class UpstreamDispatcher {
  private readonly suspectSemaphore = new SuspectSemaphore();
  private readonly failures: UpstreamFailures;
  private readonly responses: UpstreamResponses;
  private readonly meter: WorkMeter;

  constructor(private readonly options: UpstreamDispatcherOptions) {
    this.meter = options.meter ?? NO_METER;
    this.failures = new UpstreamFailures(options);
    this.responses = new UpstreamResponses({
      ...options,
      loadOf: ({ upstream, route, context }) => this.load(upstream, route, context),
    });
  }

  /** Handles one call, as a CallHandler. */
  async handle(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallResponse> {
    const context = head.context;
    const route = this.options.routeOf(head);
    if (head.notice) this.options.onNotice(head.service, head.notice);
    const upstream = this.options.upstream(head.service);
    const earlyRefusal = this.refusalBeforeAdmission(context, route, upstream);
    if (earlyRefusal && context) this.recordRefusal(context.requestId, earlyRefusal);
    if (earlyRefusal || !context || !route || !upstream) {
      const refusal = earlyRefusal ?? createRefusal('innerMessageInvalid', 'The call has no context.');
      return withNotice(singlePartResponse(refusalPart(refusal, context?.retryTokens ?? 0)), upstream);
    }
    const { quarantine, clock } = this.options;
    for (const start of head.endedStarts) quarantine.recordRemoteCrash(head, start);
    const call = { head, context, route, upstream, body, arrivedAt: clock.now() };
    const isFree = quarantineStatusOf(quarantine, call) === 'free';
    const response = await (isFree ? this.serve(call, signal) : this.serveSuspect(call, signal));
    return withNotice(response, upstream);
  }

  /**
   * Waits until a suspect may run with few other suspects, or none, at its upstream, and then serves it. Refuses it if it has been quarantined by
   * then: its sender may not have received the verdict yet.
   */
  private async serveSuspect(call: IncomingCall, signal: CancelSignal): Promise<CallResponse> {
    const { quarantine } = this.options;
    const { head, context, route, upstream } = call;
    const wanted = quarantineStatusOf(quarantine, call) === 'strong-suspect' ? 'all' : 'one';
    using permits = await this.suspectSemaphore.acquire(upstream.start, wanted, signal);
    void permits;
    if (quarantineStatusOf(quarantine, call) === 'held') return this.refuseQuarantined(call);
    const refusalAfterWait = this.refusalBeforeAdmission(context, route, this.options.upstream(head.service));
    return refusalAfterWait
      ? singlePartResponse(refusalPart(refusalAfterWait, context.retryTokens))
      : await this.serve(call, signal);
  }

  private refuseQuarantined({ head, body, context: { requestId, retryTokens } }: IncomingCall): CallResponse {
    const { decisionTrace, quarantine } = this.options;
    decisionTrace.record(
      requestId,
      'Quarantined at the daemon of the upstream: other upstreams crashed while they ran it.',
    );
    decisionTrace.requestEnded(requestId, true);
    const retryAfterMs = quarantine.retryAfterMs(receivedFingerprint(head, body) ?? '');
    return singlePartResponse(refusalPart(quarantineRefusal(retryAfterMs), retryTokens));
  }

  private async serve(call: IncomingCall, signal: CancelSignal): Promise<CallResponse> {
    const { head, context, route, upstream, body, arrivedAt } = call;
    const { clock } = this.options;
    const permit = await this.admit(context, route, upstream, signal);
    if (!('release' in permit))
      return singlePartResponse(
        refusalPart(permit, context.retryTokens, this.load(upstream, route, context)),
      );
    const remainingMs = Math.max(1, Math.floor(context.remainingMs - (clock.now() - arrivedAt)));
    const currentContext = { ...context, remainingMs };
    return this.run({ head, context: currentContext, route, upstream, permit, body }, signal);
  }

  /** Handles the seal request of a sender that lost the connection during an attempt. */
  async seal(request: SealRequest): Promise<SealAnswer> {
    const { process, attempts } = this.options;
    const outcome = this.isMeantForOther(request) ? OTHER_PROCESS : await attempts.seal(request);
    return { ...outcome, process: process.id, processAgeMs: process.ageMs };
  }

  private isMeantForOther({ targetProcess, targetEpoch }: SealRequest): boolean {
    const { process, epoch } = this.options;
    if (targetProcess !== UNKNOWN_PROCESS) return targetProcess !== process.id;
    return targetEpoch !== ANY_EPOCH && targetEpoch !== epoch();
  }

  /** Records a refusal of this daemon that did not reach the upstream. */
  private recordRefusal(requestId: string, { code, outcome, message }: Refusal): void {
    const { decisionTrace, process } = this.options;
    const facts = { result: resultByCode(code), outcome, why: message, process: process.id };
    decisionTrace.record(requestId, 'Refused without asking the upstream.', facts);
    decisionTrace.requestEnded(requestId, true);
  }

  private refusalBeforeAdmission(
    context: CallContext | undefined,
    route: CallRoute | undefined,
    upstream: LocalUpstream | undefined,
  ): Refusal | undefined {
    const elsewhere = { elsewhereHelps: true };
    if (context && context.targetEpoch !== ANY_EPOCH && context.targetEpoch !== this.options.epoch()) {
      return createRefusal('otherEpoch', 'The daemon was restarted.', elsewhere);
    }
    if (!route) return createRefusal('routeUnknown', 'The route is not in the configuration.', elsewhere);
    if (!upstream) return createRefusal('noUpstream', 'This daemon no longer has the upstream.', elsewhere);
    if (upstream.isDraining) return createRefusal('draining', 'The upstream is shutting down.', elsewhere);
    if (context && context.remainingMs > this.options.timeLeftMs())
      return createRefusal('draining', 'The daemon shuts down before the call could time out.', elsewhere);
    return undefined;
  }

  private async admit(
    context: CallContext,
    route: CallRoute,
    upstream: LocalUpstream,
    signal: CancelSignal,
  ): Promise<Permit | Refusal> {
    const { attempts, decisionTrace } = this.options;
    const { requestId } = context;
    const barredRefusal = route.idempotent ? undefined : attempts.register(requestId, context.try);
    if (barredRefusal) {
      this.recordRefusal(requestId, barredRefusal);
      return barredRefusal;
    }
    const ownLevel = requestLevel(context.class, context.rootId);
    const callLevel = upstream.admission.limit.isShedding
      ? progressLevel(ownLevel, context.callsBefore)
      : ownLevel;
    const level = context.depth > 0 ? callLevel : upstream.costs.queueLevel(route.name, ownLevel);
    const permit = await upstream.admission.request(level, context.remainingMs, signal);
    if ('release' in permit) {
      if (route.idempotent || attempts.markDispatched(requestId)) return permit;
      permit.release('failed');
      return createRefusal('sealed', 'The sender sealed this attempt.');
    }
    this.meter.recordResult('rejected');
    if (!route.idempotent) attempts.markRefused(requestId);
    const { inFlight, queued, limit, admissionLevel } = upstream.admission.load();
    const { perSecond } = upstream.admission.rate;
    const facts = {
      level,
      inFlight,
      queued,
      limit,
      admissionLevel,
      ...(perSecond !== undefined && { requestsPerSecond: perSecond }),
    };
    decisionTrace.record(requestId, 'Not admitted.', { result: resultByCode(permit.code), ...facts });
    decisionTrace.requestEnded(requestId, true);
    return permit;
  }

  private async run(admitted: AdmittedCall, signal: CancelSignal): Promise<CallResponse> {
    const { clock, running, decisionTrace } = this.options;
    const { context, route, upstream, permit } = admitted;
    const startedAt = clock.now();
    this.meter.recordResult('run');
    decisionTrace.record(context.requestId, 'Given to the upstream.', {
      instance: upstream.instanceId,
      process: this.options.process.id,
      remainingMs: context.remainingMs,
      inFlight: upstream.admission.load().inFlight,
    });
    const timeLimitMs = context.remainingMs + (route.idempotent ? 0 : NON_IDEMPOTENT_GRACE_MS);
    const cancellation = cancellationOf(clock, timeLimitMs);
    // A non-idempotent request that was started continues even if the caller disconnects, until its response is known.
    if (route.idempotent) cancellation.follow(signal);
    const { head, body } = admitted;
    const deadlineAt = clock.now() + context.remainingMs;
    const request = { head, body, start: upstream.start };
    const call = new RunningCall(context, route, deadlineAt, cancellation.signal, request);
    const registration = running.register(call);
    const finish = () => {
      permit.release('failed');
      registration[Symbol.dispose]();
      cancellation[Symbol.dispose]();
    };
    try {
      const upstreamResponse = await this.sendToUpstream(admitted, cancellation.signal);
      if (!upstreamResponse.rest) await this.responses.checkEnd(upstreamResponse, upstream);
      const response = this.responses.toCallResponse(admitted, call, upstreamResponse);
      const tookMs = clock.now() - startedAt;
      upstream.costs.recordRun(route.name, tookMs);
      this.options.chains.runResponded(call, tookMs, response);
      if (!call.hasMadeCalls) upstream.admission.limit.recordRun(route.name, permit.share, tookMs);
      const waitedMs = Math.round(tookMs);
      decisionTrace.record(context.requestId, 'The upstream responded.', {
        status: upstreamResponse.status,
        isRejection: response.first.refusal !== undefined,
        waitedMs,
        ...upstreamResponse.connection,
        delimiter: upstreamResponse.delimiter,
        bodyBytes: upstreamResponse.start.length,
        hasEnded: !upstreamResponse.rest,
      });
      decisionTrace.requestEnded(context.requestId, false);
      if (!response.rest) finish();
      // It has run, and what is streamed is not stored for anyone.
      else if (!route.idempotent) cancellation.follow(signal);
      return response.rest
        ? { ...response, rest: this.finishingParts(admitted, call, upstreamResponse, response.rest, finish) }
        : response;
    } catch (error) {
      const refusal = await this.failures.refusalFor(error, cancellation.signal, admitted);
      this.options.chains.runFailed(call, clock.now() - startedAt, cancellation.signal);
      finish();
      if (!route.idempotent) this.options.attempts.markEnded(context.requestId, undefined);
      return singlePartResponse(refusalPart(refusal, call.retryTokens, this.load(upstream, route, context)));
    }
  }

  private sendToUpstream(
    { head, context, route, upstream, body }: AdmittedCall,
    signal: CancelSignal,
  ): Promise<UpstreamResponse> {
    const { dialect, clock } = this.options;
    const sentAt = clock.awake();
    const progress = upstream.loadMonitor.track(route.name);
    const isEmpty = Buffer.isBuffer(body) && body.length === 0;
    return upstream.connections.send(
      {
        id: context.requestId,
        method: head.method,
        path: head.path,
        headers: [...parseHeaderBlock(head.headers), ...dialect.requestHeaders(context, upstream.instanceId)],
        body: mayHaveBody(head.method) && !isEmpty ? body : undefined,
        idempotent: route.idempotent,
        progress,
        isOwnResponse: (status, headers, isFirst) => dialect.isOwnResponse(status, headers, context, isFirst),
        onOwnResponse: (status, headers) => {
          const meaning = dialect.meaningOf(status, headers);
          progress?.onResponse(meaning === 'answer');
          if (meaning === 'other-instance') return;
          upstream.onNotice(dialect.noticeOf(headers), sentAt);
          upstream.load.recordHeaders(dialect, headers);
        },
      },
      signal,
    );
  }

  /** The remaining parts of a long response. */
  private async *finishingParts(
    admitted: AdmittedCall,
    call: RunningCall,
    upstreamResponse: UpstreamResponse,
    rest: AsyncIterable<AnswerPart>,
    finish: () => void,
  ): AsyncGenerator<AnswerPart> {
    const { route, context, upstream } = admitted;
    const { delimiter } = upstreamResponse;
    let isWhole = false;
    let bodyBytes = upstreamResponse.start.length;
    try {
      for await (const part of rest) {
        bodyBytes += part.body.length;
        if (part.end) await this.responses.checkEnd(upstreamResponse, upstream);
        isWhole = part.end !== undefined;
        yield part;
      }
    } catch (error) {
      const refusal = await this.failures.refusalFor(error, call.signal, admitted);
      yield refusalPart(refusal, call.retryTokens, this.load(upstream, route, context));
    } finally {
      finish();
      // A seal request then reports that the attempt ended and its response is lost, since it was too long to be stored.
      if (!route.idempotent) this.options.attempts.markEnded(context.requestId, undefined);
      const facts = { isWhole, delimiter, bodyBytes };
      this.options.decisionTrace.record(context.requestId, 'A long response ended.', facts);
    }
  }

  /** The load that is reported to the sender. For root requests of expensive routes, the admission level is lower than that of the queue. */
  private load(upstream: LocalUpstream, route: CallRoute, context: CallContext): Load {
    const { depth } = context;
    const load = upstream.admission.load();
    const { admissionLevel } = load;
    const upstreamLevel =
      depth > 0 ? admissionLevel : upstream.costs.rootAdmissionLevel(route.name, admissionLevel);
    return {
      ...load,
      admissionLevel: Math.min(upstreamLevel, this.options.downstreamLevel(route)),
      reported: upstream.load.message(),
      chain: this.options.chains.outlookOf(route.name, context),
    };
  }
}

const OTHER_PROCESS: SealOutcome = { state: 'OTHER_PROCESS', head: undefined, body: Buffer.alloc(0) };

function withNotice(response: CallResponse, upstream: LocalUpstream | undefined): CallResponse {
  const notice = upstream?.notice;
  return notice ? { ...response, first: { ...response.first, notice } } : response;
}
