/** Validates data against a schema, and reports the first invalid field. */
import { Failure, type ResultName } from '@cleatquay/errors';
import { type Static, type TSchema } from '@sinclair/typebox';
import { Value } from '@sinclair/typebox/value';
import { Ajv, type ErrorObject } from 'ajv';
import { closest } from 'fastest-levenshtein';
import { MAX_NESTING_DEPTH, isNestedTooDeeply } from './nestingDepth.js';
import { FORMATS } from './valueSchemas.js';

const ajv = new Ajv({ allErrors: true, useDefaults: true, verbose: true, strict: false, formats: FORMATS });

/** Parses JSON; throws with the parser's error, which has the position, as the cause. */
export function parseJson(text: string, result: ResultName): unknown {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new Failure('Invalid JSON.', { result, cause: error });
  }
}

/**
 * Returns a copy of `data` with defaults filled in, or throws with the first invalid field. The message shows the value found there, unless it
 * may contain a part of the field `secret`.
 */
export function check<T extends TSchema>(
  schema: T,
  data: unknown,
  result: ResultName,
  secret?: string,
): Static<T> {
  if (isNestedTooDeeply(data)) {
    const message = `Expected at most ${String(MAX_NESTING_DEPTH)} levels of lists and objects.`;
    throw new Failure(message, { result, field: '(root)' });
  }
  // Valid data is accepted without compiling the schema, which would delay the start of a process.
  const filled: unknown = Value.Default(schema, structuredClone(data));
  if (Value.Check(schema, filled)) return filled;
  return failWithReason(schema, data, result, secret);
}

/** Compiles the schema to report invalid data, since the errors of a compiled schema are more precise. */
function failWithReason<T extends TSchema>(
  schema: T,
  data: unknown,
  result: ResultName,
  secret: string | undefined,
): Static<T> {
  const copy: unknown = structuredClone(data);
  const validate = ajv.compile(schema);
  if (validate(copy)) return copy as Static<T>;
  const errors = validate.errors ?? [];
  const error = errors.find(e => e.keyword === 'additionalProperties') ?? errors[0];
  if (!error) throw new Failure('The data does not match the schema.', { result });
  const field = fieldOf(error);
  const isHidden = secret !== undefined && ['', secret].includes(error.instancePath.split('/')[1] ?? '');
  throw new Failure(isHidden ? 'Expected another value.' : describe(error), { result, field });
}

function fieldOf(error: ErrorObject): string {
  const path = error.instancePath.slice(1).replaceAll('/', '.');
  const name = nameOf(error);
  if (name === undefined) return path === '' ? '(root)' : path;
  return path === '' ? name : `${path}.${name}`;
}

function nameOf(error: ErrorObject): string | undefined {
  const params = error.params as { additionalProperty?: string; missingProperty?: string };
  return params.additionalProperty ?? params.missingProperty;
}

function describe(error: ErrorObject): string {
  const name = nameOf(error);
  if (error.keyword === 'additionalProperties') return `Unknown field.${suggestion(error, name ?? '')}`;
  if (error.keyword === 'required') return 'Expected a value, found none.';
  const found = JSON.stringify(error.data) ?? 'nothing';
  return `Expected a value that ${error.message ?? 'fits'}${allowedValues(error)}, found ${found.slice(0, 80)}.`;
}

function allowedValues(error: ErrorObject): string {
  const values = (error.params as { allowedValues?: unknown[] }).allowedValues;
  return values ? ` (${values.map(String).join(', ')})` : '';
}

function suggestion(error: ErrorObject, name: string): string {
  const known = Object.keys((error.parentSchema as { properties?: object } | undefined)?.properties ?? {});
  if (known.length === 0) return '';
  return ` Did you mean "${closest(name, known)}"?`;
}
