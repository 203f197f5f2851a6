/** Forwards calls to upstreams: selects one, sends the request, verifies the response, seals lost attempts, and retries within the budget. */
import { requestLevel, forwardingLevel } from '@cleatquay/admission';
import {
  CALLER_DISCONNECTED,
  type CancelSignal,
  Cancellation,
  type Clock,
  type Random,
} from '@cleatquay/clock';
import {
  type AnswerPart,
  type CallContext,
  type Refusal,
  type RequestHead,
  type SealAnswer,
  refusalPart,
  createRefusal,
} from '@cleatquay/protocol';
import { resultByCode } from '@cleatquay/errors';
import { type Quarantine } from '@cleatquay/quarantine';
import { type Candidate, type CallResult, type Router, type Selection } from '@cleatquay/routing';
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
import { type DecisionTrace } from './decisionTrace.js';
import { ConnectionLoss } from './connectionLoss.js';
import { noUpstreamRefusal } from './earlyRefusals.js';
import { CallResends } from './callResends.js';
import { decideRetry, hasReachedUpstream, withOverallOutcome } from './decideRetry.js';
import { callsAtRisk, retryOrder } from './retryValue.js';
import { type Peers } from './peers.js';
import { FingerprintedRequest } from './fingerprintedRequest.js';
import { type RequestBody } from './requestBody.js';
import { bodyFailureRefusal, mayBeSentAgain, uploadRefusalAfterLoss } from './decideUploadReplay.js';
import { type RetryBudget } from './tokenBucketRetryBudget.js';
import { NON_IDEMPOTENT_GRACE_MS } from './upstreamDispatcher.js';

const SEAL_TIMEOUT_MS = 1000;
const SEAL_RETRY_DELAY_MS = 100;

/** Dependencies on the daemon. */
export interface ForwarderOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly router: Router;
  readonly peers: Peers;
  readonly retries: RetryBudget;
  readonly decisionTrace: DecisionTrace;
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
  /** How often a call that no upstream has received is rerouted after a refusal by a daemon, without spending a retry token. */
  readonly freeReroutes: number;
}

/**
 * Why a call is not sent again: all other upstreams would refuse it, there is no other one, its deadline has passed, or neither its own tokens nor
 * the budget allow a retry.
 */
export type UnsentReason = 'no-room' | 'no-other-upstream' | 'deadline' | 'no-retry';

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

  constructor(private readonly options: ForwarderOptions) {}

  /** Forwards one call, with its retries. The final part of the response states how many retry tokens of the call are unused. */
  async forward(
    route: CallRoute,
    head: RequestHead,
    context: CallContext,
    body: RequestBody,
    signal: CancelSignal,
  ): Promise<CallResponse> {
    const { clock, random, router, retries, freeReroutes, decisionTrace, quarantine } = this.options;
    const startedAt = clock.now();
    if (quarantine.loaded) await quarantine.loaded;
    const fingerprinted = new FingerprintedRequest(head, body);
    if (!body.completeBody) await body.prefetch(!quarantine.isEmpty);
    retries.countRequest(route.service, context.isRepeat, context.class);
    const level = requestLevel(context.class, context.rootId);
    const levelToSend = forwardingLevel(level, context.depth);
    const attemptedAddresses = new Set<string>();
    let tokens = context.retryTokens;
    let lastAttempt: FailedAttempt | undefined;
    let mayHaveRun = false;
    let reroutesLeft = freeReroutes;
    let isRepeat = context.isRepeat;
    const resends = new CallResends(context.retryTokens + 1);
    const refuse = (refusal: Refusal) =>
      singlePartResponse(refusalPart(withOverallOutcome(refusal, mayHaveRun), tokens, lastAttempt?.load));
    for (let attemptNumber = context.try; ; attemptNumber++) {
      const quarantined = this.refusalIfQuarantined(context.requestId, fingerprinted);
      if (quarantined) return refuse(lastAttempt?.refusal ?? quarantined);
      const remainingMs = Math.floor(context.remainingMs - (clock.now() - startedAt));
      const selection = resends.isConfined
        ? NONE_LEFT
        : router.choose(route.service, route.name, level, attemptedAddresses, levelToSend);
      const candidate =
        selection.kind === 'chosen' ? selection.candidate : retries.allowsResends && resends.choose(random);
      if (!candidate || remainingMs <= 0) {
        if (lastAttempt) this.recordUnsent(context.requestId, unsentReason(selection, remainingMs));
        return refuse(lastAttempt?.refusal ?? noUpstreamRefusal(selection.kind, remainingMs, random));
      }
      const sentTokens = Math.ceil(tokens / 2);
      const retainedTokens = tokens - sentTokens;
      const attemptContext: CallContext = {
        ...context,
        try: attemptNumber,
        remainingMs,
        retryTokens: sentTokens,
        targetEpoch: candidate.epoch,
        toHome: false,
        isRepeat,
      };
      decisionTrace.record(context.requestId, 'Sent to an upstream.', {
        try: attemptNumber,
        to: candidate.address,
        failureDomain: candidate.failureDomain,
        remainingMs,
        ...router.statisticsSummary({ ...selection, candidate }, route.name),
      });
      const result = await this.attempt({
        route,
        head: {
          ...head,
          context: attemptContext,
          ...fingerprinted.headFields(quarantine),
          notice: this.notices.noticeFor(route.service, candidate),
        },
        context: attemptContext,
        candidate,
        body,
        fingerprinted,
        signal,
        retainedTokens,
      });
      if ('first' in result) return result;
      lastAttempt = { ...result, refusal: bodyFailureRefusal(body) ?? result.refusal };
      tokens = retainedTokens + lastAttempt.unusedRetryTokens;
      mayHaveRun ||= lastAttempt.refusal.outcome !== 'not-run';
      decisionTrace.record(context.requestId, 'The attempt was refused or failed.', {
        result: resultByCode(lastAttempt.refusal.code),
        outcome: lastAttempt.refusal.outcome,
        why: lastAttempt.refusal.message,
      });
      fingerprinted.recordCrash(quarantine, lastAttempt.refusal.endedStart);
      attemptedAddresses.add(candidate.address);
      if (signal.aborted || !mayBeSentAgain(body, lastAttempt.refusal)) return refuse(lastAttempt.refusal);
      const { refusal } = lastAttempt;
      resends.record(candidate, refusal);
      const mayResend = retries.allowsResends === true && resends.isPossible;
      const { chain } = lastAttempt.load ?? {};
      const { idempotent } = route;
      const retryContext = { refusal, idempotent, tokens, reroutes: reroutesLeft, mayResend, chain };
      const next = decideRetry(retryContext, previousOutcome =>
        retries.take(route.service, {
          previousOutcome,
          callsBefore: callsAtRisk(context),
          order: retryOrder(context),
        }),
      );
      if (next === 'resend') await clock.sleep(resends.pauseMs(remainingMs, random), signal);
      if (signal.aborted) return refuse(refusal);
      if (next === 'none') {
        if (refusal.elsewhereHelps) this.recordUnsent(context.requestId, 'no-retry');
        return refuse(refusal);
      }
      if (next === 'reroute') reroutesLeft--;
      else if (next === 'retry') tokens--;
      isRepeat ||= hasReachedUpstream(refusal);
    }
  }

  /** Records that a call whose last attempt was refused or lost is not sent again, although another upstream might answer it. */
  private recordUnsent(requestId: string, reason: UnsentReason): void {
    this.unsentCalls.set(reason, (this.unsentCalls.get(reason) ?? 0) + 1);
    this.options.decisionTrace.record(requestId, 'Not sent again.', { reason });
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
    this.notices.record(route.service, candidate, first);
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
    const seal = await this.seal(attempt, timeLimit.signal);
    if (seal?.state === 'ANSWERED' && seal.head) {
      const part = replay({ head: seal.head, body: seal.body });
      return singlePartResponse({ ...part, unusedRetryTokens: attempt.retainedTokens });
    }
    const refusal =
      seal?.state === 'SEALED'
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
  private async seal(attempt: Attempt, signal: CancelSignal): Promise<SealAnswer | undefined> {
    const { peers, clock, decisionTrace } = this.options;
    const { requestId, try: attemptNumber, targetEpoch } = attempt.context;
    while (!signal.aborted) {
      const request = { requestId, try: attemptNumber, targetEpoch, waitMs: SEAL_TIMEOUT_MS / 2 };
      const response = await peers
        .seal(attempt.candidate.address, request, SEAL_TIMEOUT_MS)
        .catch(() => undefined);
      if (response)
        decisionTrace.record(requestId, 'Queried the state of the lost attempt.', { state: response.state });
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

function unsentReason({ kind }: Selection, remainingMs: number): UnsentReason {
  if (remainingMs <= 0) return 'deadline';
  return kind === 'refused' ? 'no-room' : 'no-other-upstream';
}

const NOTHING_TO_DISPOSE = () => undefined;
const NONE_LEFT = { kind: 'none' } as const;

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
