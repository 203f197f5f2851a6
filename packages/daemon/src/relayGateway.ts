/** The API for unmodified callers: an HTTP server that passes every request to the ingress. */
import {
  type CallBody,
  type CallResponse,
  EMPTY_BODY,
  MIN_SERVER_ERROR_STATUS,
  type Relay,
  type RelayedRequest,
  type RequestScheduler,
  forwardedRawHeaders,
} from '@cleatquay/calls';
import { type Clock, NO_METER, type WorkMeter, type WorkResult } from '@cleatquay/clock';
import { Failure, asFailure } from '@cleatquay/errors';
import { type Refusal, createRefusal } from '@cleatquay/protocol';
import { type Credentials, parseCredentials } from '@cleatquay/organisations';
import { type RouteLimits } from '@cleatquay/routes';
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import {
  type ResponseFormat,
  type ResponseWriter,
  DISCONNECT_REFUSAL,
  writeResponse,
} from './callerResponse.js';
import { disconnectSignalOf } from './callerDisconnect.js';
import { announceClose } from './closeAnnouncements.js';
import { CallerBody, bodyTooLarge, hasBody } from './callerBody.js';
import { type CloseLog } from './closeLog.js';
import { type CutFacts, type DeliveryEnd, OpenResponses } from './openResponses.js';
import { ResponseCollector } from './responseCollector.js';
import { whenEarlierEnded } from './pipelineOrder.js';
import { handleParserErrors } from './parserErrors.js';
import { type PipelinedRequests } from './pipelinedRequests.js';
import { type UnreadBodies } from './unreadBodies.js';

/** Upper bound of header bytes in node's parser; the limit of the configuration is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Limits until a configuration is active. */
const DEFAULT_LIMITS: RouteLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** The headers by which unmodified callers describe their requests, and the form of responses to them. */
export interface CallerDialect {
  /** The caller's id of this attempt; empty if the request has none. */
  readonly requestId: (request: IncomingMessage) => string;
  /** Id of the parent request as encoded in a request id; undefined if it encodes none. */
  readonly parentId: (requestId: string) => string | undefined;
  /** Time that the caller will wait, ms; throws if the header is not a valid duration. */
  readonly remainingMs: (request: IncomingMessage) => number | undefined;
  /** Lower-case names of headers that are not forwarded; some are sent anew by the upstream's dialect. */
  readonly strippedHeaders: ReadonlySet<string>;
  /** Lower-case name of the header that carries the caller's API key, if requests need one. */
  readonly credentialsHeader: string;
  readonly responseFormat: ResponseFormat;
}

/** Dependencies of the gateway. */
export interface RelayGatewayOptions {
  readonly ingress: Pick<Relay, 'handle'>;
  readonly dialect: CallerDialect;
  readonly limits: () => RouteLimits | undefined;
  /** Whether requests have to carry an API key. */
  readonly needsKeys: () => boolean;
  readonly isShuttingDown: () => boolean;
  readonly scheduler: RequestScheduler;
  readonly clock: Clock;
  /** Measures the handlers of requests, and the writing of refusals. */
  readonly meter?: WorkMeter;
  /** Called at the start of each request; the function that it returns is called when the request has ended. */
  readonly onRequestStart: () => (refusal: Refusal | undefined) => void;
  /** Called when a response is cut: it ends before its body is complete. */
  readonly onResponseCut: (requestId: string, facts: CutFacts) => void;
  /** Called when the delivery of an upstream's response has ended. */
  readonly onDeliveryEnd: (requestId: string, end: DeliveryEnd) => void;
  readonly closeLog: CloseLog;
  readonly unreadBodies: UnreadBodies;
  readonly pipelined: PipelinedRequests;
}

/** An HTTP server for callers; `adoptConfiguration` is to be called after each change of the active configuration. */
export class RelayGateway {
  readonly server: Server;
  private readonly strippedWithKeys: ReadonlySet<string>;
  private readonly openResponses: OpenResponses;
  private readonly responseWriter: ResponseWriter;
  private readonly meter: WorkMeter;
  private hasEverNeededKeys = false;

  constructor(private readonly options: RelayGatewayOptions) {
    const { onResponseCut, onDeliveryEnd, closeLog, meter = NO_METER } = options;
    this.meter = meter;
    const { strippedHeaders, credentialsHeader, responseFormat, requestId } = options.dialect;
    this.openResponses = new OpenResponses({
      closeLog,
      onCut: (request, facts) => onResponseCut(requestId(request), facts),
      onDeliveryEnd: (request, end) => onDeliveryEnd(requestId(request), end),
    });
    this.responseWriter = {
      ...responseFormat,
      refusal: (response, refusal) => {
        const isMeasured = meter.enter('refusals');
        try {
          responseFormat.refusal(response, refusal);
        } finally {
          if (isMeasured) meter.leave();
        }
      },
      cut: response => this.openResponses.cut(response),
      collector: new ResponseCollector(),
    };
    this.strippedWithKeys = new Set([...strippedHeaders, credentialsHeader]);
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0 },
      (request, response) => {
        const isMeasured = meter.enter('requests');
        try {
          void this.serve(request, response);
        } finally {
          if (isMeasured) meter.leave();
        }
      },
    );
    options.pipelined.watch(this.server);
    handleParserErrors(this.server, this.openResponses, options.clock);
    this.adoptConfiguration();
  }

  /** Updates what depends on the active configuration: timeouts of new connections, and whether headers carry API keys. */
  adoptConfiguration(): void {
    this.hasEverNeededKeys ||= this.options.needsKeys();
    const { headerTimeoutMs, idleTimeoutMs } = this.limits;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  private get limits(): RouteLimits {
    return this.options.limits() ?? DEFAULT_LIMITS;
  }

  /** Serves a request from its headers to the end of its response. */
  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { ingress, scheduler, isShuttingDown, onRequestStart, clock } = this.options;
    // Node.js passes on the rest of what it has read of a connection that was closed.
    if (request.socket.destroyed) return;
    const disconnect = disconnectSignalOf(request, response);
    const onRequestEnd = onRequestStart();
    const exchange = this.openResponses.add(request, response);
    if (hasBody(request)) this.options.unreadBodies.follow(request, response, this.limits);
    let refusal: Refusal | undefined;
    // In flight until the last byte is sent: a daemon that shuts down closes its connections once no request is in flight.
    response.on('close', () => onRequestEnd(response.writableFinished ? refusal : DISCONNECT_REFUSAL));
    if (isShuttingDown() && !announceClose(request, response)) return;
    const turn = this.options.pipelined.turnOf(response);
    const earlier = whenEarlierEnded(request, response);
    try {
      const turnMs = turn || earlier ? await timed(clock, Promise.all([turn, earlier])) : 0;
      const wait = scheduler.acquire();
      const waitedMs = turnMs + (wait ? await wait : 0);
      if (disconnect.aborted) return;
      exchange.isPassedOn = true;
      const callResponse = await ingress.handle(
        this.parseRequest(request, waitedMs),
        this.bodyOf(request, response),
        disconnect.signal,
      );
      this.meter.recordResult(resultOf(callResponse));
      // Most responses have a single part, and may close before the next line resolves.
      refusal = callResponse.first.refusal;
      refusal = await writeResponse(response, callResponse, this.responseWriter);
    } catch (error) {
      const failure = asFailure(error);
      refusal = createRefusal(failure.result, failure.describe());
      if (response.headersSent) this.openResponses.cut(response);
      else this.responseWriter.refusal(response, refusal);
    }
  }

  /** Parses a request that has been queued here for `waitedMs`. */
  private parseRequest(request: IncomingMessage, waitedMs: number): RelayedRequest {
    const { dialect } = this.options;
    const remainingMs = dialect.remainingMs(request);
    const requestId = dialect.requestId(request);
    if (requestId === '')
      throw new Failure('Expected a request id.', { result: 'headerInvalid', field: 'request id' });
    return {
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: forwardedRawHeaders(request.rawHeaders, this.strippedHeaders()),
      credentials: this.credentialsOf(request),
      requestId,
      remainingMs: remainingMs === undefined ? undefined : remainingMs - waitedMs,
      parentId: dialect.parentId(requestId),
    };
  }

  /**
   * Callers keep sending their keys after a configuration that no longer needs them. A header that has carried keys is
   * therefore never forwarded again for the lifetime of this process.
   */
  private strippedHeaders(): ReadonlySet<string> {
    return this.hasEverNeededKeys ? this.strippedWithKeys : this.options.dialect.strippedHeaders;
  }

  private credentialsOf({ rawHeaders }: IncomingMessage): Credentials {
    const { dialect, needsKeys } = this.options;
    return needsKeys() ? parseCredentials(rawHeaders, dialect.credentialsHeader) : 'none';
  }

  private bodyOf(request: IncomingMessage, response: ServerResponse): CallBody {
    if (!hasBody(request)) return EMPTY_BODY;
    const { limits } = this;
    if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) throw bodyTooLarge(limits);
    return new CallerBody(this.options.clock, request, response, limits);
  }
}

/** What became of a request. A failure of the upstream is mostly that of a call that it made. */
function resultOf({ first: { refusal, head } }: CallResponse): WorkResult {
  if (refusal) return refusal.outcome === 'not-run' ? 'refused' : 'lost';
  return (head?.status ?? 0) >= MIN_SERVER_ERROR_STATUS ? 'lost' : 'served';
}

/** Waits; returns how long that took, ms. */
async function timed(clock: Clock, wait: Promise<unknown>): Promise<number> {
  const startedAt = clock.now();
  await wait;
  return clock.now() - startedAt;
}
