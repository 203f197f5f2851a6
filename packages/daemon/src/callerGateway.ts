/** The native caller API: a moleculer-web gateway that passes every request to the ingress. */
import {
  type CallerRequest,
  EMPTY_BODY,
  type Ingress,
  type RequestScheduler,
  headerNames,
} from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { createRefusal } from '@cleatquay/protocol';
import { type Service, type ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import {
  DISCONNECT_REFUSAL,
  parseCallerRequest,
  nativeResponseFormat,
  writeResponseParts,
  writeRefusal,
} from './callerResponse.js';
import { disconnectSignalOf } from './callerDisconnect.js';
import { announceClose } from './closeAnnouncements.js';
import { type CloseLog } from './closeLog.js';
import { type Exchange, OpenResponses } from './openResponses.js';
import { CallerBody, type BodyLimits, hasBody } from './callerBody.js';
import { gatewaySettings } from './gatewaySettings.js';
import { serverOf } from './httpListeners.js';
import { writeJson } from './ownResponses.js';
import { handleParserErrors } from './parserErrors.js';
import { type Metrics } from './metrics.js';
import { ResponseCollector } from './responseCollector.js';
import { whenEarlierEnded } from './pipelineOrder.js';
import { type PipelinedRequests } from './pipelinedRequests.js';
import { type UnreadBodies } from './unreadBodies.js';

/** The native interface bounds no body. */
const BODY_LIMITS: BodyLimits = { bodyBytes: Number.POSITIVE_INFINITY, idleTimeoutMs: 15_000 };

/**
 * A daemon that shuts down first announces it to callers, then refuses their requests, except calls of requests that it runs, and at the end of its
 * drain all of them.
 */
export type ShutdownPhase = 'announced' | 'refusing' | 'ended';

/** Dependencies of the gateway. */
export interface CallerGatewayOptions {
  readonly ip: string;
  readonly port: number;
  readonly clock: Clock;
  readonly ingress: Ingress;
  readonly metrics: Metrics;
  readonly closeLog: CloseLog;
  readonly unreadBodies: UnreadBodies;
  readonly pipelined: PipelinedRequests;
  /** Whether requests have to carry an API key. */
  readonly needsKeys: () => boolean;
  /** How far the shutdown of the daemon has got; undefined while it runs. */
  readonly shutdownPhase: () => ShutdownPhase | undefined;
  readonly scheduler: RequestScheduler;
  /** Counts requests in flight, so that a shutdown can wait for them. */
  readonly trackInFlight: <T>(work: Promise<T>) => Promise<T>;
}

/** The moleculer service of the caller API. */
export function callerGateway(options: CallerGatewayOptions): ServiceSchema {
  const { clock, metrics, closeLog } = options;
  const openResponses = new OpenResponses({
    closeLog,
    onCut: () => metrics.responseCut(),
    onDeliveryEnd: (_request, end) => metrics.deliveryEnded(end),
  });
  const exchanges = new WeakMap<ServerResponse, Exchange>();
  const writer = {
    ...nativeResponseFormat,
    cut: (response: ServerResponse) => openResponses.cut(response),
    collector: new ResponseCollector(),
  };
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    // Node.js passes on the rest of what it has read of a connection that was closed.
    if (request.socket.destroyed) return;
    const disconnect = disconnectSignalOf(request, response);
    if (hasBody(request)) options.unreadBodies.follow(request, response, BODY_LIMITS);
    const recordEnd = options.metrics.requestStarted();
    const shutdownPhase = options.shutdownPhase();
    if (shutdownPhase && !announceClose(request, response)) return recordEnd('', DISCONNECT_REFUSAL);
    await Promise.all([options.pipelined.turnOf(response), whenEarlierEnded(request, response)]);
    await options.scheduler.acquire();
    if (disconnect.aborted) return recordEnd('', DISCONNECT_REFUSAL);
    try {
      const onRequestId = (id: string) => void response.setHeader(headerNames.requestId, id);
      const parsed: CallerRequest = { ...parseCallerRequest(request, options.needsKeys()), onRequestId };
      if (shutdownPhase === 'ended' || (shutdownPhase === 'refusing' && parsed.parent === undefined))
        return refuseDuringShutdown(parsed, response);
      const body = hasBody(request) ? new CallerBody(clock, request, response, BODY_LIMITS) : EMPTY_BODY;
      const exchange = exchanges.get(response);
      if (exchange) exchange.isPassedOn = true;
      const parts = options.ingress.handle(parsed, body, disconnect.signal);
      const refusal = await writeResponseParts(response, parts, writer);
      recordEnd(parsed.service, refusal);
    } catch (error) {
      const failure = asFailure(error);
      const refusal = createRefusal(failure.result, failure.describe());
      recordEnd('', refusal);
      if (response.headersSent) openResponses.cut(response);
      else writeRefusal(response, refusal);
    }
  };
  return {
    name: 'callers',
    mixins: [ApiGateway],
    settings: {
      ...gatewaySettings(options.ip, options.port),
      routes: [
        {
          path: '/',
          mappingPolicy: 'restrict',
          bodyParsers: false,
          aliases: {
            'POST /cleatquay/ids': (request: IncomingMessage, response: ServerResponse) =>
              issueIds(options, request, response),
            '* /:service/:rest*': (request: IncomingMessage, response: ServerResponse) =>
              void options.trackInFlight(Promise.all([serve(request, response), whenClosed(response)])),
          },
        },
      ],
      onError(_request: IncomingMessage, response: ServerResponse) {
        writeRefusal(response, createRefusal('routeUnknown', 'Expected a path of the form /service/path.'));
      },
    },
    created(this: Service) {
      options.pipelined.watch(serverOf(this));
      // moleculer-web serves a request only after the rest of the read has been parsed, which may be invalid.
      serverOf(this).prependListener('request', (request, response) =>
        exchanges.set(response, openResponses.add(request, response)),
      );
      handleParserErrors(serverOf(this), openResponses, clock);
    },
  };
}

/** A response is in flight until the last byte of it is sent. */
function whenClosed(response: ServerResponse): Promise<void> {
  return new Promise(resolve => response.once('close', resolve));
}

/** The outcome of a request that may have been sent before is unknown: an earlier attempt may have run. */
function refuseDuringShutdown({ requestId, idempotencyKey }: CallerRequest, response: ServerResponse): void {
  const isFirst = requestId === undefined && idempotencyKey === undefined;
  writeRefusal(
    response,
    createRefusal('draining', 'This daemon is shutting down.', isFirst ? {} : { outcome: 'unknown' }),
  );
}

const MAX_ISSUED_IDS = 1000;

/** Issues request ids for later use: POST /cleatquay/ids?count=10 */
function issueIds(
  { ingress }: CallerGatewayOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const count = Number(new URL(request.url ?? '/', 'http://daemon').searchParams.get('count') ?? '1');
  if (!Number.isInteger(count) || count < 1 || count > MAX_ISSUED_IDS) {
    writeRefusal(
      response,
      createRefusal('headerInvalid', `count: expected an integer from 1 to ${String(MAX_ISSUED_IDS)}.`),
    );
    return;
  }
  const ids = Array.from({ length: count }, () => ingress.issueId());
  if (ids.includes(undefined))
    return writeRefusal(response, createRefusal('memoryFull', 'No request ids can be issued at the moment.'));
  writeJson(response, 200, { ids }, { [headerNames.outcome]: 'answered' });
}
