/** The callers' side: a moleculer-web gateway that hands every request to the entry. */
import {
  type CallBody,
  type CallerRequest,
  EMPTY_BODY,
  type Entry,
  type WorkTurns,
  headerNames,
} from '@cleatquay/calls';
import { asFailure } from '@cleatquay/errors';
import { refusalOf } from '@cleatquay/protocol';
import { type ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { CALLER_GONE, callerRequest, ownWriter, writeParts, writeRefusal } from './callerAnswer.js';
import { departureOf } from './departures.js';
import { gatewaySettings } from './gatewaySettings.js';
import { type Metrics } from './metrics.js';

/** What the gateway needs of its daemon. */
export interface CallerGatewayOptions {
  readonly ip: string;
  readonly port: number;
  readonly entry: Entry;
  readonly metrics: Metrics;
  /** Whether requests need keys. */
  readonly needsKeys: () => boolean;
  /** Undefined, or how far the daemon's own departure is. */
  readonly leaving: () => 'announced' | 'refusing' | undefined;
  readonly turns: WorkTurns;
  /** Counts requests in flight, so that a shutdown can wait for them. */
  readonly track: <T>(work: Promise<T>) => Promise<T>;
}

/** The moleculer service of the callers' side. */
export function callerGateway(options: CallerGatewayOptions): ServiceSchema {
  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const gone = departureOf(request, response);
    const end = options.metrics.requestStarted();
    const leaving = options.leaving();
    if (leaving) response.setHeader('connection', 'close');
    await options.turns.take();
    if (gone.aborted) return end('', CALLER_GONE);
    try {
      const onRequestId = (id: string) => void response.setHeader(headerNames.requestId, id);
      const parsed: CallerRequest = { ...callerRequest(request, options.needsKeys()), onRequestId };
      if (leaving === 'refusing' && parsed.parent === undefined) return refuseLeaving(parsed, response);
      const parts = options.entry.handle(parsed, bodyOf(request), gone.signal);
      const refusal = await writeParts(response, parts, ownWriter);
      end(parsed.service, refusal);
    } catch (error) {
      const failure = asFailure(error);
      const refusal = refusalOf(failure.result, failure.describe());
      end('', refusal);
      if (response.headersSent) response.destroy();
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
              void options.track(serve(request, response)),
          },
        },
      ],
      onError(_request: IncomingMessage, response: ServerResponse) {
        writeRefusal(response, refusalOf('routeUnknown', 'Expected /service/path.'));
      },
    },
  };
}

/** A request that may have been sent before is not said to have run nowhere. */
function refuseLeaving({ requestId, idempotencyKey }: CallerRequest, response: ServerResponse): void {
  const isFirst = requestId === undefined && idempotencyKey === undefined;
  writeRefusal(
    response,
    refusalOf('draining', 'This daemon is leaving.', isFirst ? {} : { outcome: 'unknown' }),
  );
}

function bodyOf(request: IncomingMessage): CallBody {
  const hasBody =
    request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined;
  return hasBody ? request : EMPTY_BODY;
}

const MOST_IDS = 1000;

/** Request ids ahead of use: POST /cleatquay/ids?count=10 */
function issueIds({ entry }: CallerGatewayOptions, request: IncomingMessage, response: ServerResponse): void {
  const count = Number(new URL(request.url ?? '/', 'http://daemon').searchParams.get('count') ?? '1');
  if (!Number.isInteger(count) || count < 1 || count > MOST_IDS) {
    writeRefusal(response, refusalOf('headerInvalid', `count: expected 1 to ${String(MOST_IDS)}.`));
    return;
  }
  const ids = Array.from({ length: count }, () => entry.issueId());
  if (ids.includes(undefined))
    return writeRefusal(response, refusalOf('memoryFull', 'No ids can be given just now.'));
  response.writeHead(200, { 'content-type': 'application/json', [headerNames.outcome]: 'answered' });
  response.end(JSON.stringify({ ids }));
}
