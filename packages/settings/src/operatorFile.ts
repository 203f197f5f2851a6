/** Schema of the operator file: services, routes, priority classes, idempotence, calls, limits. */
import { type Static, Type } from '@sinclair/typebox';

const RouteSchema = Type.Object(
  {
    method: Type.Union(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'].map(method => Type.Literal(method))),
    path: Type.String({
      pattern: '^/',
      description: 'path pattern within the service, such as /trucks/:truck',
    }),
    class: Type.String({ description: 'one of "classes"' }),
    idempotent: Type.Boolean(),
    timeoutMs: Type.Integer({ minimum: 1, maximum: 600_000 }),
    public: Type.Boolean({
      default: false,
      description: 'whether requests need no key although organisations are declared',
    }),
    calls: Type.Array(Type.String({ pattern: '^[^.]+\\.[^.]+$' }), {
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
      description: 'maximum number of concurrent requests of one upstream, unless it announces less',
    }),
    maxQueueMs: Type.Integer({ minimum: 0, maximum: 10_000, default: 50 }),
    routes: Type.Record(Type.String({ pattern: '^[A-Za-z][\\w-]*$' }), RouteSchema),
  },
  { additionalProperties: false },
);

const QuotaSchema = Type.Object(
  {
    perSecond: Type.Number({ exclusiveMinimum: 0, description: 'requests per second, over the whole fleet' }),
    burst: Type.Number({ minimum: 0, default: 0, description: 'requests beyond that rate in a burst' }),
  },
  { additionalProperties: false },
);

const OrganisationSchema = Type.Object(
  {
    keyDigests: Type.Array(Type.String({ pattern: '^[\\w-]{43}$' }), {
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
    deployment: Type.String({ minLength: 1 }),
    classes: Type.Array(Type.String(), {
      minItems: 1,
      maxItems: 16,
      description: 'priority classes, highest first',
    }),
    retryBudget: Type.Integer({
      minimum: 0,
      maximum: 16,
      description: 'maximum number of retries per client request, over all its calls',
    }),
    requestIdLifetimeMs: Type.Integer({ minimum: 10_000, default: 600_000 }),
    organisations: Type.Optional(
      Type.Record(Type.String({ pattern: '^[\\x21-\\x7e]{1,200}$' }), OrganisationSchema, {
        description: 'organisations that may send requests; omit it if requests need no key',
      }),
    ),
    services: Type.Record(Type.String({ pattern: '^[A-Za-z][\\w-]*$' }), ServiceSchema),
  },
  { additionalProperties: false, $id: 'https://cleatquay.example/schemas/operator-file.json' },
);

/** The configuration as operators write it. */
export type OperatorFile = Static<typeof OperatorFileSchema>;
/** One service of the file. */
export type ServiceDeclaration = Static<typeof ServiceSchema>;
/** One route of a service. */
export type RouteDeclaration = Static<typeof RouteSchema>;
