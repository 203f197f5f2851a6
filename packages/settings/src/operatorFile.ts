/** Schema of the operator file: services, routes, priority classes, idempotence, calls, limits. */
import { type Static, Type } from '@sinclair/typebox';
import { MAX_NAME_LENGTH, MAX_SLOTS, Name } from './valueSchemas.js';

const MAX_PATH_LENGTH = 4096;
const MAX_CALLS = 1000;
const MAX_KEYS = 10_000;
const MAX_REQUEST_ID_LIFETIME_MS = 86_400_000;
/** Requests per second, and bursts. */
const MAX_AMOUNT = 1_000_000_000;
const SERVICE_OR_ROUTE = '^[A-Za-z][\\w-]{0,199}$';

const RouteSchema = Type.Object(
  {
    method: Type.Union(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'].map(method => Type.Literal(method))),
    path: Type.String({
      pattern: '^/',
      maxLength: MAX_PATH_LENGTH,
      description: 'path pattern within the service, such as /trucks/:truck',
    }),
    class: Type.String({ maxLength: MAX_NAME_LENGTH, description: 'one of "classes"' }),
    idempotent: Type.Boolean(),
    timeoutMs: Type.Integer({ minimum: 1, maximum: 600_000 }),
    public: Type.Boolean({
      default: false,
      description: 'whether requests need no key although organisations are declared',
    }),
    calls: Type.Array(Type.String({ pattern: '^[^.]{1,200}\\.[^.]{1,200}$' }), {
      maxItems: MAX_CALLS,
      default: [],
      description: 'routes that it may call, as service.route',
    }),
  },
  { additionalProperties: false },
);

const ServiceSchema = Type.Object(
  {
    slots: Type.Integer({
      minimum: 1,
      maximum: MAX_SLOTS,
      description: 'maximum number of concurrent requests of one upstream, unless it announces less',
    }),
    maxQueueMs: Type.Integer({ minimum: 0, maximum: 10_000, default: 50 }),
    routes: Type.Record(Type.String({ pattern: SERVICE_OR_ROUTE }), RouteSchema),
  },
  { additionalProperties: false },
);

const QuotaSchema = Type.Object(
  {
    perSecond: Type.Number({
      exclusiveMinimum: 0,
      maximum: MAX_AMOUNT,
      description: 'requests per second, over the whole fleet',
    }),
    burst: Type.Number({
      minimum: 0,
      maximum: MAX_AMOUNT,
      default: 0,
      description: 'requests beyond that rate in a burst',
    }),
  },
  { additionalProperties: false },
);

const OrganisationSchema = Type.Object(
  {
    keyDigests: Type.Array(Type.String({ pattern: '^[\\w-]{43}$' }), {
      maxItems: MAX_KEYS,
      description: 'digests of its keys, as printed by cleatquay new-key',
    }),
    rank: Type.Optional(
      Type.Integer({
        minimum: 0,
        maximum: 15,
        description: 'takes precedence over the class of the route; 0 is the highest priority',
      }),
    ),
    quota: Type.Optional(QuotaSchema),
  },
  { additionalProperties: false },
);

/** JSON Schema of the operator file. */
export const OperatorFileSchema = Type.Object(
  {
    $schema: Type.Optional(Type.String()),
    deployment: Name,
    classes: Type.Array(Name, {
      minItems: 1,
      maxItems: 16,
      description: 'priority classes, highest first',
    }),
    retryBudget: Type.Integer({
      minimum: 0,
      maximum: 16,
      description: 'maximum number of retries per client request, over all its calls',
    }),
    requestIdLifetimeMs: Type.Integer({
      minimum: 10_000,
      maximum: MAX_REQUEST_ID_LIFETIME_MS,
      default: 600_000,
    }),
    organisations: Type.Optional(
      Type.Record(Type.String({ pattern: '^[\\x21-\\x7e]{1,200}$' }), OrganisationSchema, {
        description: 'organisations that may send requests; omit it if requests need no key',
      }),
    ),
    services: Type.Record(Type.String({ pattern: SERVICE_OR_ROUTE }), ServiceSchema),
  },
  { additionalProperties: false, $id: 'https://cleatquay.example/schemas/operator-file.json' },
);

/** The configuration as operators write it. */
export type OperatorFile = Static<typeof OperatorFileSchema>;
/** One service of the file. */
export type ServiceDeclaration = Static<typeof ServiceSchema>;
/** One route of a service. */
export type RouteDeclaration = Static<typeof RouteSchema>;
