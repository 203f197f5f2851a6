/** Schemas of the row and the manifests by which the platform stores configurations. */
import { type ResultName } from '@cleatquay/errors';
import { Name, check, parseJson } from '@cleatquay/settings';
import { type Static, Type } from '@sinclair/typebox';

/** Accepted generations that the row keeps. */
export const MAX_HISTORY = 50;
/** Generations travel between daemons as 32 bits. */
const MAX_GENERATION = 2 ** 32 - 1;
const MAX_SECTIONS = 100_000;
const INVALID: ResultName = 'platformAnswerInvalid';

const GenerationSchema = Type.Object({
  generation: Type.Integer({ minimum: 0, maximum: MAX_GENERATION }),
  applyId: Name,
  manifest: Name,
  /** ISO 8601. */
  appliedAt: Name,
});
const RowSchema = Type.Composite([
  GenerationSchema,
  Type.Object({ recent: Type.Array(GenerationSchema, { maxItems: MAX_HISTORY }) }),
]);
const ManifestSchema = Type.Object({
  sections: Type.Record(Type.String(), Type.Object({ object: Name }), { maxProperties: MAX_SECTIONS }),
});

/** One accepted generation. */
export type Generation = Readonly<Static<typeof GenerationSchema>>;

/** The current generation, and the last accepted ones, newest first. */
export type ConfigurationRow = Generation & { readonly recent: readonly Generation[] };

/** The object that holds each section. */
export type Manifest = Static<typeof ManifestSchema>;

/** Parses the row; throws if it is invalid. */
export function parseConfigurationRow(text: string): ConfigurationRow {
  return check(RowSchema, parseJson(text, INVALID), INVALID);
}

/** Parses a manifest; throws if it is invalid. */
export function parseManifest(text: string): Manifest {
  return check(ManifestSchema, parseJson(text, INVALID), INVALID);
}
