/**
 * The ingress for unmodified callers, routed by host and path. Such requests carry an id that is used for one attempt of the
 * caller only, and their status is all that the caller learns of the outcome. No other daemon forwards the request, so that
 * this one alone determines whether it may have run.
 */
import { strictRequestLevel } from '@cleatquay/admission';
import {
  CALLER_DISCONNECTED,
  type CancelSignal,
  Cancellation,
  type Clock,
  type Random,
  type Timer,
} from '@cleatquay/clock';
import {
  type AnswerPart,
  type CallContext,
  type Refusal,
  type RequestHead,
  refusalPart,
  createRefusal,
} from '@cleatquay/protocol';
import { type Credentials, type Organisation } from '@cleatquay/organisations';
import { type HostRoute, type HostRoutes } from '@cleatquay/routes';
import { type CallResponse, type CallBody, type CallRoute, singlePartResponse } from './callHandler.js';
import { type Forwarder } from './forwarder.js';
import { type HeaderBlock } from './headers.js';
import { type DecisionTrace } from './decisionTrace.js';
import { type CallChains } from './callChains.js';
import { type DrainEnd } from './drainEnd.js';
import { type LearnedCalls } from './learnedCalls.js';
import { type QuotaGate } from './quotaGate.js';
import { type RequestBody } from './requestBody.js';
import { stalledBodyRefusal } from './decideUploadReplay.js';
import { type Uploads } from './uploads.js';
import { discardRest } from './responses.js';
import { recordOutcome } from './recordOutcome.js';
import { whenCancelled } from './runCancellation.js';
import { type RunningCall, type RunningCalls } from './runningCalls.js';
import { type Authenticator } from './authenticator.js';

/** A request as received from the caller. */
export interface RelayedRequest {
  readonly host: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers: HeaderBlock;
  /** The caller's own id of this attempt. */
  readonly requestId: string;
  /** The credentials of the caller, where requests need keys. */
  readonly credentials: Credentials;
  /** How long the caller will wait, ms; undefined if it did not state that. */
  readonly remainingMs: number | undefined;
  /** Id of the request for which it is a call, if that request runs on the local upstream. */
  readonly parentId: string | undefined;
}

/** Where a request goes, and the run that makes it as a call. */
interface Target {
  readonly route: HostRoute;
  readonly service: string;
  readonly parent: RunningCall | undefined;
}

/** Dependencies on the daemon. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly routes: () => HostRoutes | undefined;
  /** The version of the active configuration. */
  readonly configuration: { readonly generation: number; readonly digest: string };
  readonly decisionTrace: DecisionTrace;
  readonly forwarder: Pick<Forwarder, 'forward'>;
  /** Service of the local upstream. */
  readonly originService: string;
  readonly authenticator: Authenticator;
  readonly quotaGate: QuotaGate;
  /** Root requests at or above this admission level are refused at once, since the process lacks processor time. */
  readonly pressureLevel: () => number;
  /** Whether this daemon begins no requests any more, other than the calls of requests that its upstream is running. */
  readonly refusesRequests: () => boolean;
  /** Time until this daemon closes its connections, ms; infinite unless it is shutting down. */
  readonly timeLeftMs: () => number;
  readonly drainEnd: DrainEnd;
  readonly random: Random;
  /** Requests that the local upstream is running. */
  readonly running: RunningCalls;
  readonly learnedCalls: LearnedCalls;
  readonly uploads: Uploads;
  readonly chains: CallChains;
}

/** Serves unmodified callers at the ingress daemon. */
export class Relay {
  constructor(private readonly options: RelayOptions) {}

  /** Handles one request. Resolves with a response or a refusal within the timeout of the route. */
  async handle(request: RelayedRequest, source: CallBody, signal: CancelSignal): Promise<CallResponse> {
    const routes = this.options.routes();
    const route = routes?.find(request.host, request.path);
    const service = route && routes?.serviceFor(route);
    if (!routes || !route || service === undefined) return this.refuseUnroutable(request, routes, route);
    const parent = request.parentId === undefined ? undefined : this.options.running.get(request.parentId);
    if (parent) this.options.learnedCalls.record(parent.route.name, { name: route.name, service });
    const { credentials } = request;
    const { keyring } = routes;
    const { isPublic } = route;
    const principal = this.options.authenticator.authenticate({
      credentials,
      keyring,
      isPublic,
      isCall: parent !== undefined,
    });
    if ('code' in principal) return this.refuseUnauthenticated(request, principal);
    const { organisation } = principal;
    const rank = routes.classOf(route, organisation);
    const context = this.context(request, { ...route, rank }, parent, organisation);
    const isRefused =
      !parent && strictRequestLevel(context.class, context.rootId) >= this.options.pressureLevel();
    if (isRefused) return this.refuseForPressure(context);
    if (this.isTooLate(context, parent)) return this.refuseForShutdown(context);
    const chainRefusal = parent ? undefined : this.options.chains.refusalOf(context);
    if (chainRefusal) return singlePartResponse(refusalPart(chainRefusal, 0));
    const body = this.options.uploads.open(context, request.method, source);
    if ('code' in body) return this.refuseForMemory(context, body);
    // Its quota may take until the end of the drain.
    const forward = async (forwardedContext: CallContext) =>
      this.isTooLate(forwardedContext, parent)
        ? this.refuseForShutdown(forwardedContext)
        : this.withinTimeout(request, forwardedContext, { route, service, parent }, body, signal);
    return organisation
      ? this.options.quotaGate.forwardWithinQuota(organisation, context, forward)
      : forward(context);
  }

  /** The credentials are not recorded. */
  private refuseUnauthenticated({ requestId, host, path }: RelayedRequest, refusal: Refusal): CallResponse {
    const { decisionTrace } = this.options;
    decisionTrace.record(requestId, 'Taken.', { host, path });
    const response = singlePartResponse(refusalPart(refusal, 0));
    recordOutcome(decisionTrace, requestId, response, 0);
    return response;
  }

  private refuseForPressure({ requestId, class: rank }: CallContext): CallResponse {
    const { decisionTrace, random } = this.options;
    decisionTrace.record(requestId, 'Refused at once: the daemon lacks processor time.', { class: rank });
    const refusal = createRefusal('overloaded', 'The daemon lacks processor time.', {
      retryAfterMs: Math.round(PRESSURE_RETRY_AFTER_MS * (0.5 + random())),
    });
    return singlePartResponse(refusalPart(refusal, 0));
  }

  private refuseForMemory({ requestId }: CallContext, refusal: Refusal): CallResponse {
    const response = singlePartResponse(refusalPart(refusal, 0));
    recordOutcome(this.options.decisionTrace, requestId, response, 0);
    return response;
  }

  private isTooLate({ remainingMs }: CallContext, parent: RunningCall | undefined): boolean {
    return (!parent && this.options.refusesRequests()) || remainingMs > this.options.timeLeftMs();
  }

  /**
   * A daemon that shuts down would interrupt requests that it accepts now and can't finish in time. Some callers arrive until the last
   * moment, since the platform routes them here while most daemons of a failure domain are shutting down.
   */
  private refuseForShutdown({ requestId, remainingMs }: CallContext): CallResponse {
    const timeLeftMs = Math.round(this.options.timeLeftMs());
    this.options.decisionTrace.record(requestId, 'Refused: the daemon is shutting down.', {
      remainingMs,
      timeLeftMs,
    });
    return singlePartResponse(
      refusalPart(createRefusal('draining', 'The daemon is shutting down.', RETRY_AT_ANOTHER_DAEMON), 0),
    );
  }

  /** Recorded with the active configuration version, since the caller can't tell a route that this daemon lacks from one that does not exist. */
  private refuseUnroutable(
    { requestId, host, path }: RelayedRequest,
    routes: HostRoutes | undefined,
    route: HostRoute | undefined,
  ): CallResponse {
    const { decisionTrace, configuration } = this.options;
    const { generation, digest } = configuration;
    decisionTrace.record(requestId, 'Taken.', { host, path, generation, digest });
    const response = singlePartResponse(refusalPart(this.unroutable(routes, route), 0));
    recordOutcome(decisionTrace, requestId, response, 0);
    return response;
  }

  private unroutable(routes: HostRoutes | undefined, route: HostRoute | undefined): Refusal {
    if (!routes) return createRefusal('noConfiguration', 'This daemon has no configuration yet.', RETRY_SOON);
    if (!route) return createRefusal('routeUnknown', 'No route has this host and path.');
    return createRefusal('noUpstream', 'The route has no service.', RETRY_SOON);
  }

  /**
   * Forwards the request, and cancels it at its timeout or when the caller disconnects. A non-idempotent request that was
   * already dispatched to its upstream continues there.
   */
  private withinTimeout(
    request: RelayedRequest,
    context: CallContext,
    { route, service, parent }: Target,
    body: RequestBody,
    signal: CancelSignal,
  ): Promise<CallResponse> {
    const { clock, forwarder, decisionTrace, quotaGate, chains, drainEnd } = this.options;
    const startedAt = clock.now();
    decisionTrace.record(context.requestId, 'Taken.', {
      route: route.name,
      service,
      generation: context.generation,
      class: context.class,
      remainingMs: context.remainingMs,
      ...(context.organisation !== '' && quotaGate.factsOf(context.organisation)),
    });
    const callRoute: CallRoute = { name: route.name, service, idempotent: route.idempotent, calls: [] };
    const { method, path, headers } = request;
    const head: RequestHead = {
      context,
      service,
      method,
      path,
      headers,
      fingerprint: '',
      endedStarts: [],
      notice: undefined,
    };
    const cancellation = new Cancellation();
    const cancel = () => cancellation.abort(CALLER_DISCONNECTED);
    if (signal.aborted) cancel();
    else signal.addEventListener('abort', cancel, { once: true });
    const stopFollowingRun = whenCancelled(parent, cancel);
    return new Promise(resolve => {
      const timer = clock.after(context.remainingMs, () => {
        settle(
          singlePartResponse(
            refusalPart(stalledBodyRefusal(body) ?? createRefusal('requestTimedOut', NO_RESPONSE), 0),
          ),
        );
        cancel();
      });
      // A request that was not sent yet then resolves as not run. The outcome of any other is unknown.
      const stopFollowingDrain = drainEnd.whenReached(() => {
        cancel();
        clock.after(CANCELLATION_MS, () =>
          settle(singlePartResponse(refusalPart(createRefusal('contactLost', NO_RESPONSE_IN_DRAIN), 0))),
        );
      });
      let isSettled = false;
      const settle = (response: CallResponse) => {
        if (isSettled) return void discardRest(response);
        isSettled = true;
        if (!response.rest) timer[Symbol.dispose]();
        stopFollowingRun();
        stopFollowingDrain();
        const { first, rest } = response;
        // First: nothing else ends the request from here on, so that its response must not depend on what records it.
        resolve({ first, rest: rest && untilCancelled(rest, cancellation.signal, timer) });
        if (!cancellation.signal.aborted) chains.responseReceived(context, parent, response);
        recordOutcome(decisionTrace, context.requestId, response, clock.now() - startedAt);
      };
      forwarder
        .forward(callRoute, head, context, body, cancellation.signal)
        .then(settle, (error: unknown) => {
          settle(
            singlePartResponse(
              refusalPart(createRefusal('contactLost', `The request failed: ${String(error)}.`), 0),
            ),
          );
        });
    });
  }

  /** A call has the priority of the request that it is for, so that both are admitted or refused at every hop. */
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
      callsBefore: parent?.countCall() ?? 0,
      organisation: organisation?.name ?? '',
      upload: route.isUpload ?? false,
    };
  }
}

/** The parts of a response until `signal` aborts; throws then. */
async function* untilCancelled(
  parts: AsyncIterable<AnswerPart>,
  signal: CancelSignal,
  timer: Timer,
): AsyncGenerator<AnswerPart> {
  const iterator = parts[Symbol.asyncIterator]();
  try {
    for (;;) {
      const next = await unlessAborted(iterator.next(), signal);
      if (next.done === true) return;
      yield next.value;
    }
  } finally {
    timer[Symbol.dispose]();
    // Waits for the part that is being read, which the caller need not do.
    void iterator.return?.().catch(() => undefined);
  }
}

/** Rejects when `signal` aborts, if that is earlier. */
function unlessAborted<T>(result: Promise<T>, signal: CancelSignal): Promise<T> {
  return new Promise((resolve, reject) => {
    const stop = () => reject(new Error('The timeout of the route has passed, or the caller has left.'));
    if (signal.aborted) stop();
    signal.addEventListener('abort', stop, { once: true });
    void result.then(resolve, reject).finally(() => signal.removeEventListener('abort', stop));
  });
}

const NO_RESPONSE = 'No response was received within the timeout.';
const NO_RESPONSE_IN_DRAIN = 'The daemon shut down before a response was received.';

/** Time in which a cancelled request reports whether it was sent, ms; less than the connections of callers stay open after the drain. */
const CANCELLATION_MS = 40;

/** The pressure level falls by its range in 0.6 s and rises by it in 2 s, so that a refused request may be admitted after about a second. */
const PRESSURE_RETRY_AFTER_MS = 1000;

/** Callers reach another daemon, or the next process of this one, which starts within about half a second. */
const RETRY_AT_ANOTHER_DAEMON = { retryAfterMs: 500 };

/** A daemon that has just started, or whose upstreams are being replaced, is ready within about half a second. */
const RETRY_SOON = { retryAfterMs: 300 };
