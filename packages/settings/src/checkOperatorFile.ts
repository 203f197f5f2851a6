/** Reads the operator file, and validates its schema and its semantics. */
import { Failure } from '@cleatquay/errors';
import { readFileSync } from 'node:fs';
import { CallGraph } from './callGraph.js';
import { check, parseJson } from './check.js';
import { type OperatorFile, OperatorFileSchema, type RouteDeclaration } from './operatorFile.js';

/** The name is sent in a header of requests to upstreams. */
const ORGANISATION_NAME = /^[\x21-\x7e]{1,200}$/;

/** Validates schema and semantics: classes and calls are declared, there is no cycle, and idempotent routes reach only idempotent ones. */
export function checkOperatorFile(data: unknown): OperatorFile {
  const file = check(OperatorFileSchema, data, 'configurationInvalid');
  for (const [service, { routes }] of Object.entries(file.services)) {
    for (const [name, route] of Object.entries(routes))
      checkClass(file, `services.${service}.routes.${name}`, route);
  }
  checkOrganisations(file);
  new CallGraph(file).check();
  return file;
}

function checkOrganisations({ organisations = {} }: OperatorFile): void {
  const invalidName = Object.keys(organisations).find(name => !ORGANISATION_NAME.test(name));
  if (invalidName !== undefined) {
    const message = `Expected 1 to 200 printable ASCII characters without spaces, found "${invalidName.slice(0, 80)}".`;
    throw new Failure(message, { result: 'configurationInvalid', field: 'organisations' });
  }
  const owners = new Map<string, string>();
  for (const [name, { keyDigests }] of Object.entries(organisations)) {
    for (const digest of new Set(keyDigests)) {
      const other = owners.get(digest);
      if (other !== undefined) {
        const field = `organisations.${name}.keyDigests`;
        throw new Failure(`Expected keys that no other organisation has, found one of "${other}".`, {
          result: 'configurationInvalid',
          field,
        });
      }
      owners.set(digest, name);
    }
  }
}

function checkClass(file: OperatorFile, field: string, route: RouteDeclaration): void {
  if (file.classes.includes(route.class)) return;
  const message = `Expected one of ${file.classes.join(', ')}, found "${route.class}".`;
  throw new Failure(message, { result: 'configurationInvalid', field: `${field}.class` });
}

/** Reads and validates a file. */
export function readOperatorFile(path: string): OperatorFile {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new Failure(`Can't read ${path}.`, { result: 'settingsUnreadable', cause: error });
  }
  return checkOperatorFile(parseJson(text, 'configurationInvalid'));
}
