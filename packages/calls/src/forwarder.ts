/** Forwards calls to upstreams: selects one, sends the request, verifies the response, seals lost attempts, and retries within the budget. */
import {
  CALLER_DISCONNECTED,
  type CancelSignal,
  Cancellation,
  NO_METER,
  type WorkMeter,
} from '@cleatquay/clock';
import {
  ANY_EPOCH,
  type AnswerPart,
  type CallContext,
  type Refusal,
  type RequestHead,
  type SealAnswer,
  createRefusal,
} from '@cleatquay/protocol';
import { resultByCode } from '@cleatquay/errors';
import { type Quarantine } from '@cleatquay/quarantine';
import { type Candidate, type CallResult } from '@cleatquay/routing';
import { BodyChecksum, replay } from './responses.js';
import {
  type CallResponse,
  type CallHandler,
  type CallRoute,
  type FailedAttempt,
  singlePartResponse,
  isFinalPart,
} from './callHandler.js';
import { PeerNotices } from './peerNotices.js';
import { quarantineRefusal } from './quarantineRefusal.js';
import { ConnectionLoss } from './connectionLoss.js';
import { type Peers } from './peers.js';
import {
  ForwardedCall,
  type ForwardedCallOptions,
  type NextUpstream,
  type UnsentReason,
} from './forwardedCall.js';
import { FingerprintedRequest } from './fingerprintedRequest.js';
import { type RequestBody } from './requestBody.js';
import { bodyFailureRefusal, mayBeSentAgain, uploadRefusalAfterLoss } from './decideUploadReplay.js';
import { UNKNOWN_PROCESS } from './processIdentity.js';
import { NON_IDEMPOTENT_GRACE_MS } from './upstreamDispatcher.js';

const SEAL_TIMEOUT_MS = 1000;
const SEAL_RETRY_DELAY_MS = 100;

/** Dependencies on the daemon. */
export interface ForwarderOptions extends Omit<ForwardedCallOptions, 'onUnsent'> {
  readonly peers: Peers;
  readonly quarantine: Quarantine;
  /** ip:port of this daemon; calls to its local upstream take no network hop. */
  readonly self: string;
  /** Handles calls whose candidate is this daemon. */
  readonly local: CallHandler;
  /**
   * Whether the signals passed to `forward` abort at the deadline of the call. An attempt then needs no timer of its own,
   * which saves a timer, a cancellation and two closures per attempt.
   */
  readonly signalsEnforceDeadline: boolean;
  /** Counts attempts. */
  readonly meter?: WorkMeter | undefined;
}

interface Attempt {
  readonly route: CallRoute;
  readonly head: RequestHead;
  readonly context: CallContext;
  readonly candidate: Candidate;
  readonly body: RequestBody;
  readonly fingerprinted: FingerprintedRequest;
  readonly signal: CancelSignal;
  /** Retry tokens that stay with the forwarder while the attempt runs. */
  readonly retainedTokens: number;
}

/** Forwards calls to upstreams, with their retries. */
export class Forwarder {
  /** The notices of upstreams that were received from other daemons. */
  readonly notices = new PeerNotices();
  /** Calls that were not sent again, by the reason. */
  readonly unsentCalls = new Map<UnsentReason, number>();

  private readonly callOptions: ForwardedCallOptions;
  private readonly meter: WorkMeter;

  constructor(private readonly options: ForwarderOptions) {
    this.meter = options.meter ?? NO_METER;
    const onUnsent = (reason: UnsentReason) =>
      void this.unsentCalls.set(reason, (this.unsentCalls.get(reason) ?? 0) + 1);
    this.callOptions = { ...options, onUnsent };
  }

  /** Calls that have waited for room after a lost attempt, by what came of it. */
  get roomWaitCounts(): ReadonlyMap<string, number> {
    return new Map(Object.entries(this.options.roomWaits?.counts ?? {}));
  }

  /** Forwards one call, with its retries. The final part of the response states how many retry tokens of the call are unused. */
  async forward(
    route: CallRoute,
    head: RequestHead,
    context: CallContext,
    body: RequestBody,
    signal: CancelSignal,
  ): Promise<CallResponse> {
    const { clock, retries, quarantine } = this.options;
    // Its time runs from here on: reading the beginning of the body may take a while.
    using call = new ForwardedCall(route, context, this.callOptions);
    if (quarantine.loaded) await quarantine.loaded;
    const fingerprinted = new FingerprintedRequest(head, body);
    if (!body.completeBody) await body.prefetch(!quarantine.isEmpty);
    retries.countRequest(route.service, context.isRepeat, context.class);
    for (let attemptNumber = context.try; ; attemptNumber++) {
      const quarantined = this.refusalIfQuarantined(context.requestId, fingerprinted);
      if (quarantined) return call.refuseQuarantined(quarantined);
      let next = call.selectUpstream();
      if (next.kind !== 'chosen') next = await call.waitForUpstream(next, signal);
      if (next.kind !== 'chosen') return call.refuseUnsent(next.kind);
      if (!call.takeRetryAfterWait()) return call.refuseUnsent('no-retry');
      const result = await this.send(call, next, attemptNumber, {
        route,
        head,
        context,
        body,
        fingerprinted,
        signal,
      });
      if ('first' in result) return result;
      if (signal.aborted || !mayBeSentAgain(body, result.refusal)) return call.refuse();
      const decision = call.decideRetry(result);
      if (decision === 'resend') await clock.sleep(call.resendPauseMs(), signal);
      if (signal.aborted) return call.refuse();
      if (decision === 'none')
        return result.refusal.elsewhereHelps ? call.refuseUnsent('no-retry') : call.refuse();
    }
  }

  /** Sends a call once, and records a failure. */
  private async send(
    call: ForwardedCall,
    { candidate, crossing }: Extract<NextUpstream, { kind: 'chosen' }>,
    attemptNumber: number,
    { route, head, context, body, fingerprinted, signal }: Omit<Attempt, 'candidate' | 'retainedTokens'>,
  ): Promise<CallResponse | FailedAttempt> {
    const { router, decisionTrace, quarantine } = this.options;
    const { remainingMs, isRepeat, tokensToSend } = call;
    // It may pass between two readings of the clock, and a message can't hold a negative time.
    if (remainingMs <= 0) return call.refuseUnsent('deadline');
    const retainedTokens = call.tokens - tokensToSend;
    const attemptContext: CallContext = {
      ...context,
      try: attemptNumber,
      remainingMs,
      retryTokens: tokensToSend,
      targetEpoch: ANY_EPOCH,
      toHome: false,
      isRepeat,
    };
    decisionTrace.record(context.requestId, 'Sent to an upstream.', {
      try: attemptNumber,
      to: candidate.address,
      failureDomain: candidate.failureDomain,
      remainingMs,
      ...router.statisticsSummary({ candidate, ...(crossing && { crossing }) }, route.name),
    });
    call.recordSend();
    this.meter.recordResult('sent');
    const result = await this.attempt({
      route,
      head: {
        ...head,
        context: attemptContext,
        ...fingerprinted.headFields(quarantine),
        notice: this.notices.noticeFor(route.service, candidate.address),
      },
      context: attemptContext,
      candidate,
      body,
      fingerprinted,
      signal,
      retainedTokens,
    });
    if ('first' in result) return result;
    const failed = { ...result, refusal: bodyFailureRefusal(body) ?? result.refusal };
    call.recordFailure(candidate, failed, retainedTokens);
    decisionTrace.record(context.requestId, 'The attempt was refused or failed.', {
      result: resultByCode(failed.refusal.code),
      outcome: failed.refusal.outcome,
      why: failed.refusal.message,
    });
    fingerprinted.recordCrash(quarantine, failed.refusal.endedStart);
    return failed;
  }

  /** The refusal of a quarantined request. Fingerprints are computed only while there are suspects. */
  private refusalIfQuarantined(requestId: string, fingerprinted: FingerprintedRequest): Refusal | undefined {
    const { quarantine, decisionTrace } = this.options;
    if (quarantine.isEmpty) return undefined;
    const { fingerprint } = fingerprinted;
    if (quarantine.statusOf(fingerprint) !== 'held') return undefined;
    decisionTrace.record(requestId, 'Quarantined: upstreams crashed while they ran it.', { fingerprint });
    return quarantineRefusal(quarantine.retryAfterMs(fingerprint));
  }

  /** Makes one attempt; resolves with its response, or with the reason why there is none. */
  private async attempt(attempt: Attempt): Promise<CallResponse | FailedAttempt> {
    const { router, peers, self, local, retries } = this.options;
    const { candidate, head, body, route } = attempt;
    const recordEnd = router.trackCall(candidate.address, route.name);
    const timeLimit = this.limitTime(attempt);
    const finish = (result: CallResult) => {
      timeLimit[Symbol.dispose]();
      recordEnd(result);
      if (result === 'answered') attempt.fingerprinted.recordResponse(this.options.quarantine);
    };
    try {
      const bytes = body.completeBody ?? (await body.read());
      const response =
        candidate.address === self
          ? await local(head, bytes, timeLimit.signal)
          : await peers.exchange(candidate.address, head, bytes, timeLimit.signal);
      const result = this.verify(attempt, response, finish);
      if ('first' in result) retries.countSuccess();
      if ('refusal' in result) finish('refused');
      else if (!result.rest) finish('answered');
      return result;
    } catch (error) {
      const isConnectionLost = error instanceof ConnectionLoss;
      finish(isConnectionLost && !timeLimit.signal.aborted ? 'unreachable' : 'failed');
      if (!isConnectionLost) throw error;
      this.options.decisionTrace.record(
        attempt.context.requestId,
        'The connection to the daemon of the upstream was lost.',
        {
          why: error.message,
          wasSent: !error.neverSent,
          process: error.process,
        },
      );
      return this.afterConnectionLoss(attempt, error);
    }
  }

  /** A short response is verified before any of it is forwarded, so that the call can be retried if it is corrupt. */
  private verify(
    { candidate, route, retainedTokens }: Attempt,
    { first, rest }: CallResponse,
    finish: (result: CallResult) => void,
  ): CallResponse | FailedAttempt {
    const { router } = this.options;
    const onLoad = ({ load }: AnswerPart) => {
      if (load) router.recordLoad(candidate.address, route.name, load);
    };
    onLoad(first);
    this.notices.record(route.service, candidate.address, first);
    const { refusal, unusedRetryTokens, load } = first;
    if (refusal) return { refusal, unusedRetryTokens, load };
    const check = new BodyChecksum();
    check.add(first.body);
    if (!first.end) {
      if (!rest) return checksumMismatch();
      return { first, rest: verifiedRest(rest, check, retainedTokens, onLoad, finish) };
    }
    if (!check.matches(first.end)) return checksumMismatch();
    return singlePartResponse({ ...first, unusedRetryTokens: retainedTokens + unusedRetryTokens });
  }

  /**
   * After a lost connection, a call that was never sent or is idempotent may be retried elsewhere. Any other attempt is sealed, or its response
   * fetched.
   */
  private async afterConnectionLoss(
    attempt: Attempt,
    error: ConnectionLoss,
  ): Promise<CallResponse | FailedAttempt> {
    const retryElsewhere = { elsewhereHelps: true };
    const unsent = error.neverSent
      ? createRefusal('unreachable', error.message, retryElsewhere)
      : uploadRefusalAfterLoss(attempt.body, error.message);
    if (unsent) return { refusal: unsent, unusedRetryTokens: attempt.context.retryTokens, load: undefined };
    if (attempt.route.idempotent) {
      const refusal = createRefusal('contactLost', error.message, retryElsewhere);
      return { refusal, unusedRetryTokens: 0, load: undefined };
    }
    using timeLimit = this.limitTime(attempt);
    const seal = await this.seal(attempt, error.process, timeLimit.signal);
    if (seal?.state === 'ANSWERED' && seal.head) {
      const part = replay({ head: seal.head, body: seal.body });
      return singlePartResponse({ ...part, unusedRetryTokens: attempt.retainedTokens });
    }
    const refusal =
      seal?.state === 'SEALED' && isSealOf(error.process, seal)
        ? createRefusal(
            'sealed',
            'The connection was lost, and the attempt was sealed before it ran.',
            retryElsewhere,
          )
        : createRefusal(
            'contactLost',
            `${error.message} The outcome of the request could not be determined.`,
          );
    return { refusal, unusedRetryTokens: 0, load: undefined };
  }

  /** Sends seal requests until one has a definite response or the signal aborts. */
  private async seal(
    attempt: Attempt,
    targetProcess: string,
    signal: CancelSignal,
  ): Promise<SealAnswer | undefined> {
    const { peers, clock, decisionTrace } = this.options;
    const { requestId, try: attemptNumber } = attempt.context;
    const waitMs = SEAL_TIMEOUT_MS / 2;
    const request = { requestId, try: attemptNumber, targetEpoch: ANY_EPOCH, targetProcess, waitMs };
    while (!signal.aborted) {
      const response = await peers
        .seal(attempt.candidate.address, request, SEAL_TIMEOUT_MS)
        .catch(() => undefined);
      if (response)
        decisionTrace.record(requestId, 'Queried the state of the lost attempt.', {
          state: response.state,
          process: response.process,
          processAgeMs: Math.round(response.processAgeMs),
        });
      if (response && response.state !== 'RUNNING') return response;
      await clock.sleep(SEAL_RETRY_DELAY_MS, signal);
    }
    return undefined;
  }

  /**
   * Cancels the attempt at its deadline, unless the signal enforces that already; a non-idempotent one later by the grace period, so that its
   * outcome can be determined.
   */
  private limitTime({ route, context, signal }: Attempt) {
    if (this.options.signalsEnforceDeadline) return { signal, [Symbol.dispose]: NOTHING_TO_DISPOSE };
    const controller = new Cancellation();
    const abort = () => controller.abort(CALLER_DISCONNECTED);
    if (signal.aborted) abort();
    signal.addEventListener('abort', abort, { once: true });
    const timer = this.options.clock.after(
      context.remainingMs + (route.idempotent ? 0 : NON_IDEMPOTENT_GRACE_MS),
      abort,
    );
    return {
      signal: controller.signal,
      [Symbol.dispose]: () => {
        timer[Symbol.dispose]();
        signal.removeEventListener('abort', abort);
      },
    };
  }
}

const NOTHING_TO_DISPOSE = () => undefined;

/** Whether a seal is by the process that the attempt was sent to. One of an earlier build doesn't tell, so that nothing is proved. */
function isSealOf(process: string, seal: SealAnswer): boolean {
  return process !== UNKNOWN_PROCESS && seal.process === process;
}

/** A long response, whose checksum can only be verified at its end; it fails there on a mismatch. */
async function* verifiedRest(
  rest: AsyncIterable<AnswerPart>,
  check: BodyChecksum,
  retainedTokens: number,
  onLoad: (part: AnswerPart) => void,
  finish: (result: CallResult) => void,
): AsyncGenerator<AnswerPart> {
  let result: CallResult = 'failed';
  try {
    for await (const part of rest) {
      onLoad(part);
      check.add(part.body);
      if (part.end && !check.matches(part.end)) throw new Error('The response does not match its checksum.');
      if (part.end) result = 'answered';
      yield isFinalPart(part)
        ? { ...part, unusedRetryTokens: retainedTokens + part.unusedRetryTokens }
        : part;
    }
  } finally {
    finish(result);
  }
}

function checksumMismatch(): FailedAttempt {
  const text = 'The response does not match its checksum.';
  const refusal = createRefusal('answerIncomplete', text, { elsewhereHelps: true });
  return { refusal, unusedRetryTokens: 0, load: undefined };
}
