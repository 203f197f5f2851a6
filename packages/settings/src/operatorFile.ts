/** The operators' file: services, routes, importance, idempotence, who calls whom, limits. */
import { type Static, Type } from '@sinclair/typebox';

const RouteSchema = Type.Object(
  {
    method: Type.Union(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'].map(method => Type.Literal(method))),
    path: Type.String({ pattern: '^/', description: 'pattern below the service, as in /trucks/:truck' }),
    class: Type.String({ description: 'one of "classes"' }),
    idempotent: Type.Boolean(),
    timeoutMs: Type.Integer({ minimum: 1, maximum: 600_000 }),
    public: Type.Boolean({
      default: false,
      description: 'whether callers need no key, where there are organisations',
    }),
    calls: Type.Array(Type.String({ pattern: '^[^.]+\\.[^.]+$' }), {
      default: [],
      description: 'routes it may call, as service.route',
    }),
  },
  { additionalProperties: false },
);

const ServiceSchema = Type.Object(
  {
    slots: Type.Integer({
      minimum: 1,
      description: 'work that one upstream runs at once, unless it announces less',
    }),
    maxQueueMs: Type.Integer({ minimum: 0, maximum: 10_000, default: 50 }),
    routes: Type.Record(Type.String({ pattern: '^[A-Za-z][\\w-]*$' }), RouteSchema),
  },
  { additionalProperties: false },
);

const QuotaSchema = Type.Object(
  {
    perSecond: Type.Number({ exclusiveMinimum: 0, description: 'requests a second, in the whole fleet' }),
    burst: Type.Number({ minimum: 0, default: 0, description: 'requests beyond that, at once' }),
  },
  { additionalProperties: false },
);

const OrganisationSchema = Type.Object(
  {
    keyDigests: Type.Array(Type.String({ pattern: '^[\\w-]{43}$' }), {
      description: 'digests of its keys, as cleatquay new-key prints them',
    }),
    rank: Type.Optional(
      Type.Integer({ minimum: 0, maximum: 15, description: 'goes before the class of routes; 0 first' }),
    ),
    quota: Type.Optional(QuotaSchema),
  },
  { additionalProperties: false },
);

/** JSON Schema of the operators' file. */
export const OperatorFileSchema = Type.Object(
  {
    $schema: Type.Optional(Type.String()),
    deployment: Type.String({ minLength: 1 }),
    classes: Type.Array(Type.String(), { minItems: 1, maxItems: 16, description: 'most important first' }),
    retryBudget: Type.Integer({
      minimum: 0,
      maximum: 16,
      description: 'tries repeated per client request, in all',
    }),
    requestIdLifetimeMs: Type.Integer({ minimum: 10_000, default: 600_000 }),
    organisations: Type.Optional(
      Type.Record(Type.String({ pattern: '^[\\x21-\\x7e]{1,200}$' }), OrganisationSchema, {
        description: 'who may send requests; left out where requests need no key',
      }),
    ),
    services: Type.Record(Type.String({ pattern: '^[A-Za-z][\\w-]*$' }), ServiceSchema),
  },
  { additionalProperties: false, $id: 'https://cleatquay.example/schemas/operator-file.json' },
);

/** The whole configuration as operators write it. */
export type OperatorFile = Static<typeof OperatorFileSchema>;
/** One service of the file. */
export type ServiceDeclaration = Static<typeof ServiceSchema>;
/** One route of a service. */
export type RouteDeclaration = Static<typeof RouteSchema>;
