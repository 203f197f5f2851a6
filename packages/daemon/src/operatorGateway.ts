/** The operator API: announcements, health, metrics, status, dump, drain, decision traces, quarantine, fault hooks. */
import { type DecisionTrace } from '@cleatquay/calls';
import { Failure, asFailure } from '@cleatquay/errors';
import { type Quarantine } from '@cleatquay/quarantine';
import { type Errors, type ServiceSchema } from 'moleculer';
import ApiGateway from 'moleculer-web';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type FaultHooks } from './faultHooks.js';
import { gatewaySettings } from './gatewaySettings.js';
import { checkPartition, decodePathPart } from './operatorInput.js';
import { type Metrics } from './metrics.js';
import { encodeWithLength, writeJson, writeText } from './ownResponses.js';
import { type Upstreams } from './upstreams.js';

/** Longest part of a parser's message in an error. */
const MAX_SHOWN_CHARS = 200;

type BodyReader = (request: IncomingMessage, response: ServerResponse, next: () => void) => void;
/** The body-parser module that moleculer-web exports without declaring it in its types. */
const { bodyParser } = ApiGateway as unknown as {
  bodyParser: { json(options: { limit: string }): BodyReader };
};

/** Dependencies of the gateway. */
export interface OperatorGatewayOptions {
  readonly ip: string;
  readonly port: number;
  readonly upstreams: Upstreams;
  readonly metrics: Metrics;
  readonly decisionTrace: DecisionTrace;
  readonly quarantine: Quarantine;
  /** Undefined unless the settings allow fault hooks. */
  readonly faultHooks: FaultHooks | undefined;
  readonly isReady: () => boolean;
  readonly status: () => object;
  /** Counts of the requests of each organisation to this daemon, by outcome. */
  readonly organisations: () => object;
  readonly dump: () => object;
  readonly setDraining: (draining: boolean) => void;
}

/** The moleculer service of the operator API. */
export function operatorGateway(options: OperatorGatewayOptions): ServiceSchema {
  const { upstreams, metrics, decisionTrace } = options;
  return {
    name: 'operators',
    mixins: [ApiGateway],
    settings: {
      ...gatewaySettings(options.ip, options.port),
      routes: [
        {
          path: '/',
          mappingPolicy: 'restrict',
          bodyParsers: false,
          use: [jsonBodies()],
          aliases: {
            'GET /health': 'operators.health',
            'GET /ready': (_request: IncomingMessage, response: ServerResponse) =>
              writeReadiness(options, response),
            'GET /metrics': (_request: IncomingMessage, response: ServerResponse) =>
              void writeMetrics(metrics, response),
            'GET /status': 'operators.status',
            'GET /organisations': 'operators.organisations',
            'GET /dump': 'operators.dump',
            'GET /explain/:id': 'operators.explain',
            'POST /upstreams': 'operators.announce',
            'POST /drain': 'operators.drain',
            'POST /undrain': 'operators.undrain',
            'POST /release/:fingerprint': 'operators.release',
            'POST /faults': 'operators.faults',
          },
          onError: writeError,
        },
      ],
    },
    methods: { encodeResponse: encodeWithLength },
    actions: {
      health: () => ({ healthy: true }),
      status: () => options.status(),
      organisations: () => options.organisations(),
      dump: () => options.dump(),
      explain: (context: { params: { id: string } }) =>
        decisionTrace.find(decodePathPart(context.params.id, 'id')),
      async announce(context: { params: unknown }) {
        await upstreams.announce(context.params);
        return {};
      },
      drain: () => setDraining(options, true),
      undrain: () => setDraining(options, false),
      release: (context: { params: { fingerprint: string } }) =>
        release(options.quarantine, context.params.fingerprint),
      faults: (context: { params: unknown }) => {
        if (!options.faultHooks)
          throw new Failure('Fault hooks are disabled.', { result: 'settingsInvalid', field: 'faultHooks' });
        options.faultHooks.setPartition(checkPartition(context.params));
        return {};
      },
    },
  };
}

/** Parses JSON bodies. The parser is loaded for the first body: in most deployments a daemon never receives one. */
function jsonBodies(): BodyReader {
  let read: BodyReader | undefined;
  return (request, response, next) => {
    read ??= bodyParser.json({ limit: '64kb' });
    read(request, response, next);
  };
}

function setDraining({ setDraining: set }: OperatorGatewayOptions, draining: boolean): object {
  set(draining);
  return { draining };
}

async function release(quarantine: Quarantine, fingerprint: string): Promise<object> {
  if (await quarantine.release(fingerprint)) return { released: fingerprint };
  throw new Failure(`No request with the fingerprint "${fingerprint}" is quarantined.`, {
    result: 'notHeldBack',
    field: 'fingerprint',
  });
}

function writeReadiness({ isReady }: OperatorGatewayOptions, response: ServerResponse): void {
  const ready = isReady();
  writeJson(response, ready ? 200 : 503, { ready });
}

async function writeMetrics({ registry }: Metrics, response: ServerResponse): Promise<void> {
  const text = await registry.metrics();
  writeText(response, 200, text, { 'content-type': registry.contentType });
}

/** The gateway reports requests that it can't parse by HTTP status. */
function failureOf(error: Errors.MoleculerError): Failure {
  if (error instanceof Failure) return asFailure(error);
  if (error.code === 404) return new Failure('No such endpoint.', { result: 'routeUnknown' });
  if (error.code === 413) return new Failure('The body is too long.', { result: 'requestTooLarge' });
  if (error.code >= 400 && error.code < 500)
    return new Failure(error.message.slice(0, MAX_SHOWN_CHARS), { result: 'usageInvalid' });
  return asFailure(error);
}

function writeError(_request: IncomingMessage, response: ServerResponse, error: Errors.MoleculerError): void {
  const failure = failureOf(error);
  const { code, status, outcome, advice } = failure.row;
  const { result, field, message } = failure;
  writeJson(response, status, { code, result, field, outcome, message, advice });
}
