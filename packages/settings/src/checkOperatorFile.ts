/** Reads the operators' file, and checks its form and its meaning. */
import { Failure } from '@cleatquay/errors';
import { readFileSync } from 'node:fs';
import { CallGraph } from './callGraph.js';
import { check, parseJson } from './check.js';
import { type OperatorFile, OperatorFileSchema, type RouteDeclaration } from './operatorFile.js';

/** Goes into a header of requests to upstreams. */
const ORGANISATION_NAME = /^[\x21-\x7e]{1,200}$/;

/** Checks form and meaning: classes and calls that exist, no cycle, idempotence kept all the way down. */
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
  const unnamed = Object.keys(organisations).find(name => !ORGANISATION_NAME.test(name));
  if (unnamed !== undefined) {
    const message = `Expected 1 to 200 letters, digits or signs, found "${unnamed.slice(0, 80)}".`;
    throw new Failure(message, { result: 'configurationInvalid', field: 'organisations' });
  }
  const holders = new Map<string, string>();
  for (const [name, { keyDigests }] of Object.entries(organisations)) {
    for (const digest of new Set(keyDigests)) {
      const other = holders.get(digest);
      if (other !== undefined) {
        const field = `organisations.${name}.keyDigests`;
        throw new Failure(`Expected keys of its own, found one of "${other}".`, {
          result: 'configurationInvalid',
          field,
        });
      }
      holders.set(digest, name);
    }
  }
}

function checkClass(file: OperatorFile, field: string, route: RouteDeclaration): void {
  if (file.classes.includes(route.class)) return;
  const message = `Expected one of ${file.classes.join(', ')}, found "${route.class}".`;
  throw new Failure(message, { result: 'configurationInvalid', field: `${field}.class` });
}

/** Reads and checks a file from disk. */
export function readOperatorFile(path: string): OperatorFile {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    throw new Failure(`Can't read ${path}.`, { result: 'settingsUnreadable', cause: error });
  }
  return checkOperatorFile(parseJson(text, 'configurationInvalid'));
}
