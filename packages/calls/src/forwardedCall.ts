/** The state of one call while it is forwarded: the upstreams that were tried, its retries, and what its caller may be told. */
import { forwardingLevel, requestLevel } from '@cleatquay/admission';
import { type CancelSignal, type Clock, type Random } from '@cleatquay/clock';
import { resultByCode } from '@cleatquay/errors';
import { type CallContext, type Refusal, refusalPart } from '@cleatquay/protocol';
import { type Candidate, type CrossingReason, type Router } from '@cleatquay/routing';
import { type CallResponse, type CallRoute, type FailedAttempt, singlePartResponse } from './callHandler.js';
import { CallResends } from './callResends.js';
import {
  type RetryDecision,
  decideRetry,
  hasReachedUpstream,
  isLostAttempt,
  withOverallOutcome,
} from './decideRetry.js';
import { type DecisionTrace } from './decisionTrace.js';
import { noRoomRefusal, noUpstreamRefusal } from './earlyRefusals.js';
import { callsAtRisk, retryOrder } from './retryValue.js';
import { type RoomWait, type RoomWaits } from './roomWaits.js';
import { type Retry, type RetryBudget, type TakenRetry } from './tokenBucketRetryBudget.js';

/**
 * Why a call is not sent again: all other upstreams would refuse it, there is no other one, its deadline has passed, or neither its own tokens nor
 * the budget allow a retry.
 */
export type UnsentReason = 'no-room' | 'no-other-upstream' | 'deadline' | 'no-retry';

/** What the calls of one daemon share. */
export interface ForwardedCallOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly router: Router;
  readonly retries: RetryBudget;
  readonly decisionTrace: DecisionTrace;
  /** How often a call that no upstream has received is rerouted after a refusal by a daemon, without spending a retry token. */
  readonly freeReroutes: number;
  /** Whether the calls of a run have retry tokens of their own, so that its request needs to be sent with none; false by default. */
  readonly callsHaveOwnTokens?: boolean;
  /** Where calls whose attempt was lost wait for room; they end at once if it is absent. */
  readonly roomWaits?: RoomWaits;
  /** Called when a call is not sent again after a failed attempt. */
  readonly onUnsent: (reason: UnsentReason) => void;
}

/** The upstream for the next send, or why there is none. */
export type NextUpstream =
  | { readonly kind: 'chosen'; readonly candidate: Candidate; readonly crossing?: CrossingReason }
  | { readonly kind: UnsentReason };

/** Ratio of the time of a call in which it does not wait for room: it is for its run, and for a retry by its caller. */
const RESERVED_TIME_RATIO = 0.5;

const NO_OTHER_UPSTREAM = { kind: 'no-other-upstream' } as const;

/** One call that is being forwarded. */
export class ForwardedCall implements Disposable {
  /** Retry tokens that it has left. */
  tokens: number;
  /** Whether the next send repeats work that an upstream may have done. */
  isRepeat: boolean;
  private lastAttempt: FailedAttempt | undefined;
  private readonly startedAt: number;
  private readonly level: number;
  private readonly resends: CallResends;
  private readonly attemptedAddresses = new Set<string>();
  /** Those whose daemons refused the call, so that their upstreams have not received it. */
  private readonly refusedAddresses = new Set<string>();
  private reroutesLeft: number;
  private mayHaveRun = false;
  /** Whether an attempt was lost: sent to an upstream, of which no response came. */
  private isLost = false;
  /** A retry for the next send. */
  private takenRetry: TakenRetry | undefined;
  /** The retry of the latest send. */
  private sentRetry: TakenRetry | undefined;
  private wait: RoomWait | undefined;

  constructor(
    private readonly route: CallRoute,
    private readonly context: CallContext,
    private readonly options: ForwardedCallOptions,
  ) {
    this.tokens = context.retryTokens;
    this.isRepeat = context.isRepeat;
    this.startedAt = options.clock.now();
    this.level = requestLevel(context.class, context.rootId);
    this.resends = new CallResends(context.retryTokens + 1);
    this.reroutesLeft = options.freeReroutes;
  }

  /** Time until its deadline, ms. */
  get remainingMs(): number {
    return Math.floor(this.context.remainingMs - (this.options.clock.now() - this.startedAt));
  }

  /** Retry tokens that are sent along with the call: those of a lost attempt are lost with it. */
  get tokensToSend(): number {
    return this.options.callsHaveOwnTokens ? 0 : Math.ceil(this.tokens / 2);
  }

  /** Selects the upstream for the next send. */
  selectUpstream(): NextUpstream {
    if (this.remainingMs <= 0) return { kind: 'deadline' };
    const { router, retries, random } = this.options;
    const selection = this.resends.isConfined
      ? NO_OTHER_UPSTREAM
      : router.choose(
          this.route.service,
          this.route.name,
          this.level,
          this.attemptedAddresses,
          forwardingLevel(this.level, this.context.depth),
        );
    if (selection.kind === 'chosen') return selection;
    const resent = retries.allowsResends ? this.resends.choose(random) : undefined;
    if (resent) return { kind: 'chosen', candidate: resent };
    return selection.kind === 'refused' ? { kind: 'no-room' } : NO_OTHER_UPSTREAM;
  }

  /** Selects an upstream for a call whose attempt was lost, as soon as one accepts it. */
  async waitForUpstream(next: NextUpstream, signal: CancelSignal): Promise<NextUpstream> {
    const { roomWaits } = this.options;
    if (!this.isLost || !this.mayFindRoom(next)) return next;
    this.wait ??= roomWaits?.enter(this.remainingMs - this.context.remainingMs * RESERVED_TIME_RATIO);
    if (!this.wait || !roomWaits) return next;
    this.giveBackRetry();
    for (const address of this.refusedAddresses) this.attemptedAddresses.delete(address);
    this.refusedAddresses.clear();
    let latest: NextUpstream = { kind: 'no-room' };
    while (latest.kind !== 'chosen' && (await this.wait.pause(signal))) latest = this.selectUpstream();
    if (latest.kind !== 'chosen') roomWaits.counts.gaveUp++;
    return latest;
  }

  /** Takes the retry that a send needs after a wait, in which it held none; whether the budget has one. */
  takeRetryAfterWait(): boolean {
    if (!this.wait || this.takenRetry) return true;
    const previousOutcome = this.mayHaveRun ? 'may-have-run' : 'not-run';
    if (!this.takeRetry(previousOutcome)) return false;
    if (this.options.roomWaits) this.options.roomWaits.counts.sent++;
    return true;
  }

  /** Records the start of a send. Its retry counts as used unless the send turns out to have reached no upstream. */
  recordSend(): void {
    this.sentRetry = this.takenRetry;
    this.takenRetry = undefined;
  }

  /** Records a failed attempt, of which the forwarder kept `retainedTokens`. */
  recordFailure(candidate: Candidate, attempt: FailedAttempt, retainedTokens: number): void {
    const { refusal } = attempt;
    this.lastAttempt = attempt;
    this.tokens = retainedTokens + attempt.unusedRetryTokens;
    this.mayHaveRun ||= refusal.outcome !== 'not-run';
    this.isLost ||= this.route.idempotent && isLostAttempt(refusal);
    this.attemptedAddresses.add(candidate.address);
    this.resends.record(candidate, refusal);
    if (hasReachedUpstream(refusal)) return;
    this.takenRetry = this.sentRetry;
    this.refusedAddresses.add(candidate.address);
  }

  /** Decides what follows the failed attempt, and takes a retry if that needs one. */
  decideRetry({ refusal, load }: FailedAttempt): RetryDecision {
    const { retries } = this.options;
    // While a call waits for room, time bounds its reroutes.
    const isWaiting = this.wait !== undefined;
    const next = decideRetry(
      {
        refusal,
        idempotent: this.route.idempotent,
        tokens: this.tokens,
        reroutes: isWaiting ? 1 : this.reroutesLeft,
        mayResend: retries.allowsResends === true && this.resends.isPossible,
        chain: load?.chain,
      },
      previousOutcome => this.takeRetry(previousOutcome),
    );
    if (next === 'reroute' && !isWaiting) this.reroutesLeft--;
    else if (next === 'retry') this.tokens--;
    if (next !== 'none') this.isRepeat ||= hasReachedUpstream(refusal);
    return next;
  }

  /** The pause before it is sent to an upstream that refused it, ms. */
  resendPauseMs(): number {
    return this.resends.pauseMs(this.remainingMs, this.options.random);
  }

  /** The response to a call that ends with this refusal, or with that of its last attempt. */
  refuse(refusal = this.lastAttempt?.refusal): CallResponse {
    const { random } = this.options;
    const overall = withOverallOutcome(
      refusal ?? noUpstreamRefusal('none', this.remainingMs, random),
      this.mayHaveRun,
    );
    const isUnqueued = overall.outcome === 'not-run' && resultByCode(overall.code) === 'upstreamUnresponsive';
    const final = isUnqueued ? noRoomRefusal(overall.message, random) : overall;
    return singlePartResponse(refusalPart(final, this.tokens, this.lastAttempt?.load));
  }

  /** The response to a call that was quarantined before its next send. */
  refuseQuarantined(refusal: Refusal): CallResponse {
    return this.refuse(this.lastAttempt?.refusal ?? refusal);
  }

  /** The response to a call for which there is no upstream. */
  refuseUnsent(kind: UnsentReason): CallResponse {
    const { random, decisionTrace, onUnsent } = this.options;
    if (!this.lastAttempt)
      return this.refuse(
        noUpstreamRefusal(kind === 'no-room' ? 'refused' : 'none', this.remainingMs, random),
      );
    onUnsent(kind);
    decisionTrace.record(this.context.requestId, 'Not sent again.', { reason: kind });
    return this.refuse();
  }

  /** Gives back what it holds: its place among the calls that wait, and a retry that no upstream received. */
  [Symbol.dispose](): void {
    this.wait?.[Symbol.dispose]();
    this.giveBackRetry();
  }

  /** Whether another upstream may accept the call soon. */
  private mayFindRoom({ kind }: NextUpstream): boolean {
    return kind === 'no-room' || (kind === 'no-other-upstream' && this.refusedAddresses.size > 0);
  }

  private takeRetry(previousOutcome: Retry['previousOutcome']): boolean {
    const { retries, clock } = this.options;
    const { context } = this;
    const retry = { previousOutcome, callsBefore: callsAtRisk(context), order: retryOrder(context) };
    if (!retries.take(this.route.service, retry)) return false;
    this.takenRetry = { retry, at: clock.now() };
    return true;
  }

  private giveBackRetry(): void {
    if (this.takenRetry) this.options.retries.giveBack(this.route.service, this.takenRetry);
    this.takenRetry = undefined;
  }
}
