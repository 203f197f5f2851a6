/**
 * Where requests of unchanged callers enter: they name a host and a path, carry an id that they never send again, and
 * learn the outcome from the status. This daemon is the only one that sends the request on, so that it alone knows
 * whether it may have run.
 */
import { strictLevelOf } from '@cleatquay/admission';
import { CALLER_LEFT, type CancelSignal, Cancellation, type Clock, type Random } from '@cleatquay/clock';
import { resultCodes } from '@cleatquay/errors';
import { type CallContext, type Refusal, type RequestHead, endOf, refusalOf } from '@cleatquay/protocol';
import {
  type Credentials,
  type Organisation,
  type OrganisationCounts,
  type Quota,
  type Quotas,
  type RequestEnd,
  type Taken,
} from '@cleatquay/organisations';
import { type HostRoute, type HostRoutes } from '@cleatquay/routes';
import { type CallAnswer, type CallBody, type CallRoute, answerOf } from './callHandler.js';
import { type Forwarder } from './forwarder.js';
import { type HeaderBlock } from './headers.js';
import { type Journal } from './journal.js';
import { type LearnedCalls } from './learnedCalls.js';
import { ReplayBody } from './replayBody.js';
import { type RunningCall, type RunningCalls } from './runningCalls.js';

/** A request as it came in. */
export interface RelayedRequest {
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderBlock;
  /** The caller's own id of this attempt. */
  readonly requestId: string;
  /** What the caller shows of itself, where requests need keys. */
  readonly credentials: Credentials;
  /** Time that the caller will wait, ms; undefined if it didn't say. */
  readonly remainingMs: number | undefined;
  /** Id of the request that it may be a call for, if it is one of the upstream on this VM. */
  readonly parentId: string | undefined;
}

/** What the relay needs of its daemon. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly routes: () => HostRoutes | undefined;
  /** Which configuration is in force. */
  readonly configuration: { readonly generation: number; readonly digest: string };
  readonly journal: Journal;
  readonly forwarder: Pick<Forwarder, 'forward'>;
  /** Service of the upstream on this VM. */
  readonly originService: string;
  readonly quotas: () => Pick<Quotas, 'take' | 'giveBack'>;
  readonly organisationCounts: OrganisationCounts;
  /** How long ago the configuration was known to be the newest, ms. */
  readonly proofAgeMs: () => number;
  /** Whether it is known that no key was taken away that the configuration in force still has. */
  readonly areKeysProven: () => boolean;
  /** Fresh requests at or above this level are refused at once: the process has no time for them. */
  readonly pressureLevel: () => number;
  /** Time until this daemon closes its connections, ms; infinite unless it is ending. */
  readonly timeLeftMs: () => number;
  readonly random: Random;
  /** Requests that the upstream on this VM runs. */
  readonly running: RunningCalls;
  readonly learned: LearnedCalls;
}

/** Serves unchanged callers at their first daemon. */
export class Relay {
  constructor(private readonly options: RelayOptions) {}

  /** One request. An answer or a refusal comes by the route's timeout at the latest. */
  async handle(request: RelayedRequest, source: CallBody, signal: CancelSignal): Promise<CallAnswer> {
    const routes = this.options.routes();
    const route = routes?.find(request.host, request.path);
    const service = route && routes?.serviceFor(route);
    if (!routes || !route || service === undefined) return this.refuseUnroutable(request, routes, route);
    const parent = request.parentId === undefined ? undefined : this.options.running.get(request.parentId);
    if (parent) this.options.learned.saw(parent.route.name, { name: route.name, service });
    const sender = this.senderOf(request, routes, route, parent);
    if ('code' in sender) return this.refuseSender(request, sender);
    const { organisation } = sender;
    const rank = routes.rankOf(route, organisation);
    const context = this.context(request, { ...route, rank }, parent, organisation);
    const isRefused = !parent && strictLevelOf(context.class, context.rootId) >= this.options.pressureLevel();
    if (isRefused) return this.refuseForPressure(context);
    if (context.remainingMs > this.options.timeLeftMs()) return this.refuseForEnd(context);
    const go = (left: CallContext) =>
      this.withinTimeout(request, left, route, service, new ReplayBody(source), signal);
    return organisation ? this.counted(organisation, context, go) : go(context);
  }

  private async counted(
    organisation: Organisation,
    context: CallContext,
    go: (context: CallContext) => Promise<CallAnswer>,
  ): Promise<CallAnswer> {
    const { name, quota } = organisation;
    const answer = await (quota ? this.withinQuota(name, quota, context, go) : go(context));
    this.options.organisationCounts.ended(name, endOfRequest(answer));
    return answer;
  }

  /** Before it takes a slot or a retry anywhere. Room that was taken for a request that ran nowhere is given back. */
  private async withinQuota(
    organisation: string,
    quota: Quota,
    context: CallContext,
    go: (context: CallContext) => Promise<CallAnswer>,
  ): Promise<CallAnswer> {
    const { clock, quotas } = this.options;
    const startedAt = clock.now();
    const taken = await quotas().take(organisation, quota);
    if (taken.kind !== 'taken') return this.refuseForQuota(context, organisation, quota, taken);
    const remainingMs = Math.max(1, Math.floor(context.remainingMs - (clock.now() - startedAt)));
    const answer = await go({ ...context, remainingMs });
    if (answer.first.refusal?.outcome === 'not-run') quotas().giveBack(organisation, taken.at);
    return answer;
  }

  private refuseForQuota(
    { requestId }: CallContext,
    organisation: string,
    quota: Quota,
    taken: Exclude<Taken, { kind: 'taken' }>,
  ): CallAnswer {
    this.options.journal.note(requestId, 'Refused by its quota.', {
      ...this.factsOf(organisation),
      ...quota,
      ...taken,
    });
    const refusal =
      taken.kind === 'over'
        ? refusalOf('quotaExceeded', `${organisation} has sent what its quota allows.`, {
            retryAfterMs: Math.max(1, Math.round(taken.retryAfterMs)),
          })
        : refusalOf('quotaUnreachable', 'Nobody could be asked whether the quota has room.', ELSEWHERE_SOON);
    const answer = answerOf(endOf(refusal, 0));
    this.noteEnd(requestId, answer, 0);
    return answer;
  }

  /**
   * Finds out whose a request is, or why it can't be taken. A call of an upstream bears no key: it is part of a request that did. A key that is
   * shown has to be good, also where none is needed.
   *
   * That keys are proven is asked once, here: the request was sent before, so that it is within the bound however long it waits from now on. Before it
   * is known, an unknown key may be a new one.
   */
  private senderOf(
    { credentials }: RelayedRequest,
    { keyring }: HostRoutes,
    route: HostRoute,
    parent: RunningCall | undefined,
  ): Sender | Refusal {
    if (!keyring) return NOBODY;
    if (typeof credentials === 'string') {
      if (route.isPublic || (credentials === 'none' && parent)) return NOBODY;
      const found = credentials === 'none' ? 'none' : 'something else';
      return refusalOf('keyMissing', `Expected one key, found ${found}.`);
    }
    if (!this.options.areKeysProven()) return this.unproven();
    const organisation = keyring.holderOf(credentials.keyDigest);
    return organisation ? { organisation } : refusalOf('keyUnknown', 'No organisation holds the key.');
  }

  private unproven(): Refusal {
    const message = 'This daemon has not heard for too long which keys were taken away.';
    const retryAfterMs = Math.round(UNPROVEN_RETRY_MS * (0.5 + this.options.random()));
    return refusalOf('keysUnproven', message, { retryAfterMs });
  }

  /** Nothing of the credentials is noted. */
  private refuseSender({ requestId, host, path }: RelayedRequest, refusal: Refusal): CallAnswer {
    this.options.journal.note(requestId, 'Taken.', { host, path });
    const answer = answerOf(endOf(refusal, 0));
    this.noteEnd(requestId, answer, 0);
    return answer;
  }

  private refuseForPressure({ requestId, class: rank }: CallContext): CallAnswer {
    const { journal, random } = this.options;
    journal.note(requestId, 'Refused at once: the daemon is short of processor time.', { class: rank });
    const refusal = refusalOf('overloaded', 'The daemon is short of processor time.', {
      retryAfterMs: Math.round(PRESSURE_RETRY_MS * (0.5 + random())),
    });
    return answerOf(endOf(refusal, 0));
  }

  /**
   * A daemon that ends would break off what it takes now and can't finish. Some callers come until the last moment: the
   * platform sends them while most daemons of a failure domain are leaving.
   */
  private refuseForEnd({ requestId, remainingMs }: CallContext): CallAnswer {
    const timeLeftMs = Math.round(this.options.timeLeftMs());
    this.options.journal.note(requestId, 'Refused: the daemon ends first.', { remainingMs, timeLeftMs });
    return answerOf(endOf(refusalOf('draining', 'The daemon is ending.', ELSEWHERE_SOON), 0));
  }

  /** Noted with the version in force: to its caller, a daemon that lacks a route looks like one that never had it. */
  private refuseUnroutable(
    { requestId, host, path }: RelayedRequest,
    routes: HostRoutes | undefined,
    route: HostRoute | undefined,
  ): CallAnswer {
    const { journal, configuration } = this.options;
    const { generation, digest } = configuration;
    journal.note(requestId, 'Taken.', { host, path, generation, digest });
    const answer = answerOf(endOf(this.unroutable(routes, route), 0));
    this.noteEnd(requestId, answer, 0);
    return answer;
  }

  private unroutable(routes: HostRoutes | undefined, route: HostRoute | undefined): Refusal {
    if (!routes) return refusalOf('noConfiguration', 'This daemon has no configuration yet.', SOON);
    if (!route) return refusalOf('routeUnknown', 'No route has this host and path.');
    return refusalOf('noUpstream', 'The route leads to no service.', SOON);
  }

  /**
   * Gives what the forwarder gives until the time is up or the caller has left. The request is then given up everywhere;
   * one that may run only once and was given to its upstream is left to run there.
   */
  private withinTimeout(
    request: RelayedRequest,
    context: CallContext,
    route: HostRoute,
    service: string,
    body: ReplayBody,
    signal: CancelSignal,
  ): Promise<CallAnswer> {
    const { clock, forwarder, journal } = this.options;
    const startedAt = clock.now();
    journal.note(context.requestId, 'Taken.', {
      route: route.name,
      service,
      generation: context.generation,
      class: context.class,
      remainingMs: context.remainingMs,
      ...(context.organisation !== '' && this.factsOf(context.organisation)),
    });
    const callRoute: CallRoute = { name: route.name, service, idempotent: route.idempotent, calls: [] };
    const { method, path, headers } = request;
    const head: RequestHead = { context, service, method, path, headers, fingerprint: '', endedStarts: [] };
    const given = new Cancellation();
    const giveUp = () => given.abort(CALLER_LEFT);
    if (signal.aborted) giveUp();
    else signal.addEventListener('abort', giveUp, { once: true });
    return new Promise(resolve => {
      const timer = clock.after(context.remainingMs, () => {
        settle(answerOf(endOf(refusalOf('requestTimedOut', 'No answer came within the timeout.'), 0)));
        giveUp();
      });
      let isSettled = false;
      const settle = (answer: CallAnswer) => {
        if (isSettled) return;
        isSettled = true;
        timer[Symbol.dispose]();
        this.noteEnd(context.requestId, answer, clock.now() - startedAt);
        resolve(answer);
      };
      forwarder.forward(callRoute, head, context, body, given.signal).then(settle, (error: unknown) => {
        settle(answerOf(endOf(refusalOf('contactLost', `The request broke off: ${String(error)}.`), 0)));
      });
    });
  }

  private factsOf(organisation: string) {
    return { organisation, proofAgeMs: Math.round(this.options.proofAgeMs()) };
  }

  private noteEnd(requestId: string, { first }: CallAnswer, ms: number): void {
    const { journal } = this.options;
    const { refusal, head } = first;
    const tookMs = Math.round(ms);
    if (refusal) {
      const { code, outcome, message, retryAfterMs } = refusal;
      journal.note(requestId, 'Refused or failed.', { code, outcome, why: message, retryAfterMs, tookMs });
    } else journal.note(requestId, 'Answered.', { status: head?.status ?? 0, tookMs });
    journal.ended(requestId, refusal !== undefined || (head?.status ?? 0) >= FIRST_SERVER_ERROR);
  }

  /** A call has the importance of the request that it is for, so that both are refused or admitted at every hop. */
  private context(
    request: RelayedRequest,
    route: HostRoute,
    parent: RunningCall | undefined,
    organisation: Organisation | undefined,
  ): CallContext {
    return {
      requestId: request.requestId,
      try: 1,
      rootId: parent?.context.rootId ?? request.requestId,
      class: parent?.context.class ?? route.rank,
      remainingMs: Math.floor(Math.min(route.timeoutMs, request.remainingMs ?? route.timeoutMs)),
      retryTokens: Math.max(0, route.mostAttempts - 1),
      depth: (parent?.context.depth ?? -1) + 1,
      targetEpoch: 0,
      toHome: false,
      generation: this.options.configuration.generation,
      route: route.name,
      idempotent: route.idempotent,
      originService: this.options.originService,
      isRepeat: parent?.context.isRepeat ?? false,
      callsBefore: parent?.nextCall() ?? 0,
      organisation: organisation?.name ?? '',
    };
  }
}

/** Whose a request is; no organisation's if it needs no key. */
interface Sender {
  readonly organisation: Organisation | undefined;
}

const NOBODY: Sender = { organisation: undefined };

function endOfRequest({ first: { refusal, head } }: CallAnswer): RequestEnd {
  if (refusal?.code === resultCodes.quotaExceeded.code) return 'over-quota';
  if (refusal) return refusal.outcome === 'not-run' ? 'refused' : 'failed';
  return (head?.status ?? 0) < FIRST_SERVER_ERROR ? 'answered' : 'failed';
}

/** Answers from this status on are failures of the upstream, or of something that it called. */
const FIRST_SERVER_ERROR = 500;

/** The level falls by its range in 0.6 s and rises by it in 2 s: what is refused now has a chance after about a second. */
const PRESSURE_RETRY_MS = 1000;

/** Proofs come several times a second where the platform or a peer that reaches it can be reached; cuts last seconds. */
const UNPROVEN_RETRY_MS = 1000;

/** Callers find another daemon, or the next process of this one, which starts within about half a second. */
const ELSEWHERE_SOON = { retryAfterMs: 500 };

/** A daemon that has just started, or whose upstreams are being replaced, serves within about half a second. */
const SOON = { retryAfterMs: 300 };
