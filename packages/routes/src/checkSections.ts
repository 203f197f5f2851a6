/** Validates sections that a peer sends: the platform's own content was validated by the daemon that read it. */
import { Failure } from '@cleatquay/errors';
import { check, parseJson } from '@cleatquay/settings';
import { type TSchema, Type } from '@sinclair/typebox';
import { GENERAL_SECTION, ORGANISATION_PREFIX, ROUTE_PREFIX } from './planSections.js';

/** Lists and texts are bounded by the length of a frame between daemons, numbers by what timers and sums bear. */
const DAY_MS = 86_400_000;
const MAX_AMOUNT = 1_000_000_000;
const MAX_BYTES = 1_000_000_000_000;
const MAX_RANK = 1_000_000;
const MAX_ATTEMPTS = 1000;
/** A name with its prefix. */
const MAX_SECTION_NAME_LENGTH = 300;

const Name = Type.String({ minLength: 1, maxLength: MAX_SECTION_NAME_LENGTH });
const Duration = Type.Number({ minimum: 0, maximum: DAY_MS });
const Amount = Type.Number({ minimum: 0, maximum: MAX_AMOUNT });
const ByteCount = Type.Number({ minimum: 1, maximum: MAX_BYTES });
const Rank = Type.Number({ minimum: 0, maximum: MAX_RANK });

const RouteSchema = Type.Object({
  name: Name,
  host: Name,
  pathPrefix: Type.String({ pattern: '^/' }),
  idempotent: Type.Boolean(),
  isUpload: Type.Optional(Type.Literal(true)),
  timeoutMs: Duration,
  targetLatencyMs: Duration,
  rank: Rank,
  isPublic: Type.Boolean(),
  parts: Type.Array(Type.Object({ service: Type.String(), weight: Amount })),
  mostAttempts: Type.Number({ minimum: 1, maximum: MAX_ATTEMPTS }),
});
const OrganisationSchema = Type.Object({
  name: Name,
  keyDigests: Type.Array(Type.String()),
  rank: Type.Optional(Rank),
  quota: Type.Optional(Type.Object({ perSecond: Amount, burst: Amount })),
});
const GeneralSchema = Type.Object({
  services: Type.Array(
    Type.Object({
      name: Type.String(),
      /** Follows ip:port in a URL, so that another beginning could name another host. */
      healthPath: Type.String({ pattern: '^/' }),
      connections: Type.Number({ minimum: 1, maximum: Number.MAX_SAFE_INTEGER }),
    }),
  ),
  limits: Type.Object({
    headerBytes: ByteCount,
    bodyBytes: ByteCount,
    headerTimeoutMs: Duration,
    idleTimeoutMs: Duration,
  }),
  hasOrganisations: Type.Optional(Type.Boolean()),
});

/** A section of a difference; empty content removes it. */
interface SectionChange {
  readonly name: string;
  readonly content: string;
}

/** Throws for the first invalid section. Sections of unknown kinds, from later builds, are ignored here as in the plan. */
export function checkSections(sections: readonly SectionChange[]): void {
  for (const { name, content } of sections) {
    if (name.length > MAX_SECTION_NAME_LENGTH)
      throw new Failure('The name of a section is too long.', { result: 'configurationInvalid' });
    const schema = schemaOf(name);
    if (schema && content !== '')
      check(schema, parseJson(content, 'configurationInvalid'), 'configurationInvalid', SECRET_FIELD);
  }
}

/** Digests of keys must not appear in messages. */
const SECRET_FIELD = 'keyDigests';

function schemaOf(name: string): TSchema | undefined {
  if (name === GENERAL_SECTION) return GeneralSchema;
  if (name.startsWith(ROUTE_PREFIX)) return RouteSchema;
  return name.startsWith(ORGANISATION_PREFIX) ? OrganisationSchema : undefined;
}
