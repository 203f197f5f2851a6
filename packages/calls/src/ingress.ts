/** The ingress for requests of callers and for calls of the local upstream. */
import {
  CALLER_DISCONNECTED,
  type CancelSignal,
  Cancellation,
  type Clock,
  NEVER_CANCELLED,
} from '@cleatquay/clock';
import {
  ANY_EPOCH,
  type AnswerPart,
  type CallContext,
  type Refusal,
  type RequestHead,
  refusalPart,
  createRefusal,
} from '@cleatquay/protocol';
import { type Credentials, type Organisation } from '@cleatquay/organisations';
import { type UpstreamDirectory } from '@cleatquay/routing';
import { type CallGraph, type Route } from '@cleatquay/settings';
import { replay } from './responses.js';
import {
  type CallResponse,
  type CallBody,
  singlePartResponse,
  isFinalPart,
  responseParts,
} from './callHandler.js';
import { type IdempotencyKeys } from './idempotencyKeys.js';
import { type Forwarder } from './forwarder.js';
import { type RequestDeduplicator } from './requestDeduplicator.js';
import { type DecisionTrace } from './decisionTrace.js';
import { ConnectionLoss } from './connectionLoss.js';
import { type Peers } from './peers.js';
import { type ProcessIdentity, UNKNOWN_PROCESS } from './processIdentity.js';
import { type HeaderBlock } from './headers.js';
import { type QuotaGate, type ForwardRequest } from './quotaGate.js';
import { ReplayableBody } from './replayableBody.js';
import { type RequestIdIssuer, parseRequestId } from './requestId.js';
import { type RunningCall, type RunningCalls } from './runningCalls.js';
import { verifiedParts } from './verifiedParts.js';
import { type Principal, type Authenticator } from './authenticator.js';

const MAX_DEPTH = 16;
const MAX_SEARCHED_DAEMONS = 32;
const SEARCH_TIMEOUT_MS = 1000;
const SEARCH_RETRY_DELAY_MS = 100;

/** A request as received over HTTP. */
export interface CallerRequest {
  readonly service: string;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly headers: HeaderBlock;
  readonly requestId: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly parent: string | undefined;
  readonly callKey: string | undefined;
  /** The credentials of the caller, where requests need keys. */
  readonly credentials: Credentials;
  readonly timeoutMs: number | undefined;
  /** Called with the id that the request has or was issued. */
  readonly onRequestId?: (requestId: string) => void;
}

/** Dependencies on the daemon. */
export interface IngressOptions {
  readonly clock: Clock;
  /** ip:port of the peer protocol of this daemon. */
  readonly self: string;
  readonly process: Pick<ProcessIdentity, 'digits'>;
  readonly graph: () => CallGraph | undefined;
  readonly generation: () => number;
  readonly forwarder: Forwarder;
  readonly peers: Peers;
  readonly directory: UpstreamDirectory;
  readonly deduplicator: RequestDeduplicator;
  readonly ids: RequestIdIssuer;
  readonly idempotencyKeys: IdempotencyKeys;
  readonly running: RunningCalls;
  readonly decisionTrace: DecisionTrace;
  readonly authenticator: Authenticator;
  readonly quotaGate: QuotaGate;
}

/** A validated request; its organisation was authenticated at the ingress daemon. */
interface AuthenticatedRequest {
  readonly route: Route;
  readonly head: RequestHead;
  readonly context: CallContext;
  readonly body: ReplayableBody;
  readonly signal: CancelSignal;
}

/** Serves requests at the ingress daemon and at the home daemon of their ids. */
export class Ingress {
  constructor(private readonly options: IngressOptions) {}

  /** A new request id, or undefined while there is no capacity to store its result. */
  issueId(): string | undefined {
    const { deduplicator, ids, graph } = this.options;
    const lifetimeMs = graph()?.file.requestIdLifetimeMs;
    return lifetimeMs !== undefined && deduplicator.hasCapacity ? ids.issue(lifetimeMs) : undefined;
  }

  /** Handles a request of a caller, or a call of the local upstream. */
  async *handle(request: CallerRequest, source: CallBody, signal: CancelSignal): AsyncGenerator<AnswerPart> {
    const route = this.options.graph()?.find(request.service, request.method, request.path);
    const parent = request.parent === undefined ? undefined : this.options.running.get(request.parent);
    const refusal = this.refusalFor(request, route, parent);
    if (refusal || !route) {
      yield refusalPart(
        this.withOutcomeOfEarlierAttempts(
          request,
          refusal ?? createRefusal('routeUnknown', 'Unknown route.'),
        ),
        0,
      );
      return;
    }
    const principal = this.authenticate(request, route, parent);
    if ('code' in principal) {
      yield refusalPart(this.withOutcomeOfEarlierAttempts(request, principal), 0);
      return;
    }
    const body = new ReplayableBody(source);
    if (parent) yield* this.handleCall(request, route, parent, body, signal);
    else yield* this.handleRootRequest(request, route, principal.organisation, body, signal);
  }

  /** Handles a request that a peer forwarded to the home daemon of its id: one sent again, or one whose id was issued in advance. */
  async handleAsHome(head: RequestHead, source: CallBody, signal: CancelSignal): Promise<CallResponse> {
    const parts = this.partsAsHome(head, source, signal);
    const first = await parts.next();
    if (first.done === true)
      return singlePartResponse(refusalPart(createRefusal('contactLost', 'No response was received.'), 0));
    return { first: first.value, rest: isFinalPart(first.value) ? undefined : parts };
  }

  private async *partsAsHome(
    head: RequestHead,
    source: CallBody,
    signal: CancelSignal,
  ): AsyncGenerator<AnswerPart> {
    const route = this.options.graph()?.find(head.service, head.method, head.path);
    const id = head.context?.requestId ?? '';
    if (!route || parseRequestId(id)?.home !== this.options.self) {
      yield refusalPart(
        createRefusal('requestIdInvalid', 'The id was issued by another daemon.', { outcome: 'unknown' }),
        0,
      );
      return;
    }
    const organisation = this.options.graph()?.keyring?.get(head.context?.organisation ?? '');
    const context = this.rootContext(route, id, head.context?.remainingMs, organisation);
    yield* this.runAsHome({
      route,
      head: { ...head, context },
      context,
      body: new ReplayableBody(source),
      signal,
    });
  }

  private authenticate(
    { credentials }: CallerRequest,
    route: Route,
    parent: RunningCall | undefined,
  ): Principal | Refusal {
    const { authenticator, graph } = this.options;
    const isCall = parent !== undefined;
    return authenticator.authenticate({
      credentials,
      keyring: graph()?.keyring,
      isPublic: route.public,
      isCall,
    });
  }

  /** Forwards the request within the quota of its organisation, if it has one. */
  private forwardWithinQuota(
    organisation: Organisation | undefined,
    context: CallContext,
    forward: ForwardRequest,
  ): Promise<CallResponse> {
    return organisation
      ? this.options.quotaGate.forwardWithinQuota(organisation, context, forward)
      : forward(context);
  }

  private refusalFor(
    request: CallerRequest,
    route: Route | undefined,
    parent: RunningCall | undefined,
  ): Refusal | undefined {
    if (!this.options.graph())
      return createRefusal('noConfiguration', 'This daemon has no configuration yet.');
    if (!route)
      return createRefusal(
        'routeUnknown',
        `${request.method} /${request.service}${request.path} is not declared.`,
      );
    if (request.parent === undefined) return undefined;
    if (!parent || parent.signal.aborted)
      return createRefusal('parentEnded', 'The request that made this call has ended.');
    if (!parent.route.calls.includes(route.name) || parent.context.depth >= MAX_DEPTH) {
      return createRefusal(
        'callUndeclared',
        `${parent.route.name} does not declare that it calls ${route.name}.`,
      );
    }
    return undefined;
  }

  /** A request that may have been sent before may have run then: a refusal of this attempt does not show that it has not run. */
  private withOutcomeOfEarlierAttempts(request: CallerRequest, refusal: Refusal): Refusal {
    const isFirst = request.requestId === undefined && request.idempotencyKey === undefined;
    return isFirst || refusal.outcome !== 'not-run' ? refusal : { ...refusal, outcome: 'unknown' };
  }

  private async *handleCall(
    request: CallerRequest,
    route: Route,
    parent: RunningCall,
    body: ReplayableBody,
    signal: CancelSignal,
  ): AsyncGenerator<AnswerPart> {
    const { clock, forwarder, deduplicator } = this.options;
    const remainingMs = Math.floor(parent.deadlineAt - clock.now());
    const context: CallContext = {
      ...parent.context,
      organisation: '',
      requestId: parent.childId(request.callKey),
      try: 1,
      remainingMs: Math.max(0, Math.min(remainingMs, route.timeoutMs, request.timeoutMs ?? route.timeoutMs)),
      retryTokens: 0,
      depth: parent.context.depth + 1,
      route: route.name,
      idempotent: route.idempotent,
    };
    const start = (callSignal: CancelSignal) =>
      this.withTokensOf(parent, context, c =>
        forwarder.forward(route, headOf(request, c), c, body, callSignal),
      );
    if (route.idempotent) {
      yield* responseParts(start(Cancellation.any([signal, parent.signal], CALLER_DISCONNECTED)));
      return;
    }
    await body.prefetch();
    const lifetimeMs = this.options.graph()?.file.requestIdLifetimeMs ?? 0;
    yield* deduplicator.runOnce(context.requestId, lifetimeMs, context.remainingMs, signal, () =>
      start(NON_IDEMPOTENT_SIGNAL),
    );
  }

  /** Makes a call with all free retry tokens of its parent, and returns the unused ones to the parent. */
  private async withTokensOf(
    parent: RunningCall,
    context: CallContext,
    call: (context: CallContext) => Promise<CallResponse>,
  ): Promise<CallResponse> {
    const reclaim = (part: AnswerPart) => {
      if (isFinalPart(part)) parent.returnTokens(part.unusedRetryTokens);
    };
    const { first, rest } = await call({ ...context, retryTokens: parent.takeTokens() });
    reclaim(first);
    return { first, rest: rest && observeParts(rest, reclaim) };
  }

  private async *handleRootRequest(
    request: CallerRequest,
    route: Route,
    organisation: Organisation | undefined,
    body: ReplayableBody,
    signal: CancelSignal,
  ): AsyncGenerator<AnswerPart> {
    const { ids, deduplicator, forwarder } = this.options;
    const lifetimeMs = this.options.graph()?.file.requestIdLifetimeMs ?? 0;
    if (route.idempotent) {
      const id = request.requestId ?? ids.issue(lifetimeMs);
      const context = this.rootContext(route, id, request.timeoutMs, organisation);
      request.onRequestId?.(context.requestId);
      const response = this.forwardWithinQuota(organisation, context, c =>
        forwarder.forward(route, headOf(request, c), c, body, signal),
      );
      for await (const part of responseParts(response)) {
        yield part.refusal
          ? { ...part, refusal: this.withOutcomeOfEarlierAttempts(request, part.refusal) }
          : part;
      }
      return;
    }
    await body.prefetch();
    if (!deduplicator.hasCapacity && request.requestId === undefined) {
      yield refusalPart(
        this.withOutcomeOfEarlierAttempts(
          request,
          createRefusal('memoryFull', 'Too many request results are stored.'),
        ),
        0,
      );
      return;
    }
    const id = request.requestId ?? (await this.requestIdFor(request, ids.issue(lifetimeMs)));
    if (id === undefined) {
      yield refusalPart(
        createRefusal(
          'claimsUnavailable',
          "The key could not be bound to a request id in the platform's table.",
        ),
        0,
      );
      return;
    }
    const context = this.rootContext(route, id, request.timeoutMs, organisation);
    request.onRequestId?.(id);
    yield* this.handleWithId({ route, head: headOf(request, context), context, body, signal });
  }

  private async requestIdFor(request: CallerRequest, newId: string): Promise<string | undefined> {
    if (request.idempotencyKey === undefined) return newId;
    return this.options.idempotencyKeys.bind(request.service, request.idempotencyKey, newId);
  }

  private async *handleWithId(call: AuthenticatedRequest): AsyncGenerator<AnswerPart> {
    const id = parseRequestId(call.context.requestId);
    if (!id) yield refusalPart(createRefusal('requestIdInvalid', 'Expected an id that a daemon issued.'), 0);
    else if (id.home === this.options.self) yield* this.runAsHome(call);
    else yield* this.forwardToHome(call, id.home);
  }

  /** Handles a request whose id this daemon issued: no other may start it. */
  private async *runAsHome(call: AuthenticatedRequest): AsyncGenerator<AnswerPart> {
    const { clock, deduplicator, process, forwarder } = this.options;
    const { requestId, remainingMs } = call.context;
    const id = parseRequestId(requestId);
    if (id?.process !== process.digits) {
      yield* this.searchResponse(
        call,
        createRefusal('homeRestarted', 'The daemon that issued the id was restarted.'),
      );
      return;
    }
    const lifetimeMs = id.expiresAt - clock.now();
    if (lifetimeMs <= 0 && !deduplicator.hasRecord(requestId)) {
      yield refusalPart(createRefusal('requestIdExpired', 'The id has expired.'), 0);
      return;
    }
    await call.body.prefetch();
    const { route, head, context, body } = call;
    // The quota is charged once per id, so that a resend is not charged again.
    const organisation = this.options.graph()?.keyring?.get(context.organisation);
    const start = () =>
      this.forwardWithinQuota(organisation, context, c =>
        forwarder.forward(route, { ...head, context: c }, c, body, NON_IDEMPOTENT_SIGNAL),
      );
    yield* deduplicator.runOnce(requestId, Math.max(1, lifetimeMs), remainingMs, call.signal, start);
  }

  private async *forwardToHome(call: AuthenticatedRequest, home: string): AsyncGenerator<AnswerPart> {
    const context = { ...call.context, toHome: true };
    try {
      const head = { ...call.head, context };
      const response = this.options.peers.exchange(home, head, await call.body.read(), call.signal);
      yield* verifiedParts(responseParts(response));
    } catch (error) {
      if (!(error instanceof ConnectionLoss)) throw error;
      this.options.decisionTrace.record(context.requestId, `The home daemon ${home} is unreachable.`);
      yield* this.searchResponse(
        call,
        createRefusal('homeUnreachable', 'The daemon that issued the id is unreachable.'),
      );
    }
  }

  /** Queries the daemons of the service, one of which may have stored the response: the home daemon can't report the result. */
  private async *searchResponse(call: AuthenticatedRequest, fallback: Refusal): AsyncGenerator<AnswerPart> {
    const { clock, directory, peers } = this.options;
    const deadlineAt = clock.now() + call.context.remainingMs;
    const request = {
      requestId: call.context.requestId,
      try: 0,
      targetEpoch: ANY_EPOCH,
      targetProcess: UNKNOWN_PROCESS,
      waitMs: SEARCH_TIMEOUT_MS / 2,
    };
    do {
      const daemons = directory.of(call.route.service).slice(0, MAX_SEARCHED_DAEMONS);
      const responses = await Promise.all(
        daemons.map(({ address }) => peers.seal(address, request, SEARCH_TIMEOUT_MS).catch(() => undefined)),
      );
      const found = responses.find(response => response?.head);
      if (found?.head) {
        yield replay({ head: found.head, body: found.body });
        return;
      }
      if (!responses.some(response => response?.state === 'RUNNING')) break;
      await clock.sleep(SEARCH_RETRY_DELAY_MS, call.signal);
    } while (clock.now() < deadlineAt && !call.signal.aborted);
    yield refusalPart(fallback, 0);
  }

  private rootContext(
    route: Route,
    requestId: string,
    timeoutMs: number | undefined,
    organisation: Organisation | undefined,
  ): CallContext {
    return {
      requestId,
      try: 1,
      rootId: requestId,
      class: this.options.graph()?.classOf(route, organisation) ?? route.rank,
      remainingMs: Math.min(route.timeoutMs, timeoutMs ?? route.timeoutMs),
      retryTokens: this.options.graph()?.file.retryBudget ?? 0,
      depth: 0,
      targetEpoch: 0,
      toHome: false,
      generation: this.options.generation(),
      route: route.name,
      idempotent: route.idempotent,
      originService: '',
      isRepeat: false,
      callsBefore: 0,
      upload: false,
      organisation: organisation?.name ?? '',
    };
  }
}

/** Never aborts: a non-idempotent request that was started runs to its end, even if the caller disconnects. */
const NON_IDEMPOTENT_SIGNAL = NEVER_CANCELLED;

async function* observeParts(
  parts: AsyncIterable<AnswerPart>,
  onPart: (part: AnswerPart) => void,
): AsyncGenerator<AnswerPart> {
  for await (const part of parts) {
    onPart(part);
    yield part;
  }
}

function headOf({ service, method, path, headers }: CallerRequest, context: CallContext): RequestHead {
  return { context, service, method, path, headers, fingerprint: '', endedStarts: [], notice: undefined };
}
