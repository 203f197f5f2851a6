/** The side of unchanged callers: an HTTP server that hands every request to the relay. */
import {
  type CallBody,
  EMPTY_BODY,
  type Relay,
  type RelayedRequest,
  type WorkTurns,
  passedRawHeaders,
} from '@cleatquay/calls';
import { Failure, asFailure } from '@cleatquay/errors';
import { type Refusal, refusalOf } from '@cleatquay/protocol';
import { type Credentials, credentialsIn } from '@cleatquay/organisations';
import { type RouteLimits } from '@cleatquay/routes';
import { type IncomingMessage, type Server, type ServerResponse, createServer } from 'node:http';
import { type AnswerWriter, CALLER_GONE, writeAnswer, writeHttpParserError } from './callerAnswer.js';
import { departureOf } from './departures.js';

/** Header bytes that node reads at most; the configuration's own limit lies below. */
const MOST_HEADER_BYTES = 65_536;
/** Bounds before there is a configuration. */
const FIRST_LIMITS: RouteLimits = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

/** How unchanged callers mark their requests, and are told when to come back. */
export interface CallerDialect {
  /** The caller's id of this attempt; empty if it gives none. */
  readonly requestId: (request: IncomingMessage) => string;
  /** Id of the request that this one would be a call for, as its own id tells; undefined if it tells of none. */
  readonly parentId: (requestId: string) => string | undefined;
  /** Time that the caller will wait, ms; fails for what is no time. */
  readonly remainingMs: (request: IncomingMessage) => number | undefined;
  /** Names, in lower case, of headers that are not passed on as they came. */
  readonly consumed: ReadonlySet<string>;
  /** Name, in lower case, of the header that bears the caller's key, where requests need one. */
  readonly credentials: string;
  readonly writer: AnswerWriter;
}

/** What the gateway needs of its daemon. */
export interface RelayGatewayOptions {
  readonly relay: Pick<Relay, 'handle'>;
  readonly dialect: CallerDialect;
  readonly limits: () => RouteLimits | undefined;
  /** Whether requests need keys. */
  readonly needsKeys: () => boolean;
  readonly isLeaving: () => boolean;
  readonly turns: WorkTurns;
  /** Told of each request; the result is to be called when it has ended. */
  readonly started: () => (refusal: Refusal | undefined) => void;
}

/** An HTTP server for callers; `applyConfiguration` takes over what a new configuration says. */
export class RelayGateway {
  readonly server: Server;
  private readonly consumedWithKeys: ReadonlySet<string>;
  private hasNeededKeys = false;

  constructor(private readonly options: RelayGatewayOptions) {
    const { consumed, credentials } = options.dialect;
    this.consumedWithKeys = new Set([...consumed, credentials]);
    this.server = createServer(
      { maxHeaderSize: MOST_HEADER_BYTES, requestTimeout: 0 },
      (request, response) => {
        void this.serve(request, response);
      },
    );
    this.server.on('clientError', (error, socket) => writeHttpParserError(error, socket));
    this.applyConfiguration();
  }

  /** Puts a new configuration in force: time limits for connections from now on, and whether headers bear keys. */
  applyConfiguration(): void {
    this.hasNeededKeys ||= this.options.needsKeys();
    const { headerTimeoutMs, idleTimeoutMs } = this.limits;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  private get limits(): RouteLimits {
    return this.options.limits() ?? FIRST_LIMITS;
  }

  /** One request, from its header to the end of its answer. */
  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { relay, dialect, turns, isLeaving, started } = this.options;
    const gone = departureOf(request, response);
    const ended = started();
    let refusal: Refusal | undefined;
    // In flight until the last byte has left: a daemon that ends closes its connections once nothing is.
    response.on('close', () => ended(response.writableFinished ? refusal : CALLER_GONE));
    if (isLeaving()) response.setHeader('connection', 'close');
    try {
      const turn = turns.take();
      const waitedMs = turn ? await turn : 0;
      if (gone.aborted) return;
      const answer = await relay.handle(this.read(request, waitedMs), this.bodyOf(request), gone.signal);
      // Most answers are a single part, whose response may close before the next line resolves.
      refusal = answer.first.refusal;
      refusal = await writeAnswer(response, answer, dialect.writer);
    } catch (error) {
      const failure = asFailure(error);
      refusal = refusalOf(failure.result, failure.describe());
      if (response.headersSent) response.destroy();
      else dialect.writer.refusal(response, refusal);
    }
  }

  /** What it asks, now that it has waited here for so long, ms. */
  private read(request: IncomingMessage, waitedMs: number): RelayedRequest {
    const { dialect } = this.options;
    const remainingMs = dialect.remainingMs(request);
    const requestId = dialect.requestId(request);
    if (requestId === '')
      throw new Failure('Expected an id of the request.', { result: 'headerInvalid', field: 'request id' });
    return {
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: passedRawHeaders(request.rawHeaders, this.consumed()),
      credentials: this.credentialsOf(request),
      requestId,
      remainingMs: remainingMs === undefined ? undefined : remainingMs - waitedMs,
      parentId: dialect.parentId(requestId),
    };
  }

  /**
   * Callers go on sending their keys when a configuration needs none any more: a header that once bore keys isn't passed on for as long as this
   * process lives.
   */
  private consumed(): ReadonlySet<string> {
    return this.hasNeededKeys ? this.consumedWithKeys : this.options.dialect.consumed;
  }

  private credentialsOf({ rawHeaders }: IncomingMessage): Credentials {
    const { dialect, needsKeys } = this.options;
    return needsKeys() ? credentialsIn(rawHeaders, dialect.credentials) : 'none';
  }

  private bodyOf(request: IncomingMessage): CallBody {
    const { 'content-length': length, 'transfer-encoding': encoding } = request.headers;
    if (length === undefined && encoding === undefined) return EMPTY_BODY;
    if (Number(length ?? 0) > this.limits.bodyBytes) throw tooLarge(this.limits);
    return encoding === undefined ? request : bounded(request, this.limits);
  }
}

async function* bounded(request: IncomingMessage, limits: RouteLimits): AsyncIterable<Uint8Array> {
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limits.bodyBytes) throw tooLarge(limits);
    yield chunk;
  }
}

function tooLarge({ bodyBytes }: RouteLimits): Failure {
  return new Failure(`Expected a body of at most ${String(bodyBytes)} bytes.`, { result: 'requestTooLarge' });
}
