/** The declared call graph: finds the route of a request, and validates the graph. */
import { Failure } from '@cleatquay/errors';
import { Keyring, type Organisation, PriorityClasses } from '@cleatquay/organisations';
import { match } from 'path-to-regexp';
import { type OperatorFile, type RouteDeclaration } from './operatorFile.js';

/** Name of a route, as `service.route`. */
export type RouteName = string;

/** A compiled route. */
export interface Route extends RouteDeclaration {
  readonly name: RouteName;
  readonly service: string;
  /** Index of its priority class in the file; 0 has the highest priority. */
  readonly rank: number;
  readonly matches: (path: string) => boolean;
}

const matchers = new Map<string, (path: string) => boolean>();

/** Matchers are cached by pattern: configurations change often, patterns rarely. */
function matcherOf(pattern: string): (path: string) => boolean {
  const known = matchers.get(pattern);
  if (known) return known;
  const compiled = match(pattern);
  const matches = (path: string) => compiled(path) !== false;
  matchers.set(pattern, matches);
  return matches;
}

/** Routes by name and by service. */
export class CallGraph {
  private readonly byName = new Map<RouteName, Route>();
  private readonly byService = new Map<string, Route[]>();
  private readonly priorityClasses: PriorityClasses;
  /** The keys that requests may use; undefined if requests need none. */
  readonly keyring: Keyring | undefined;

  constructor(readonly file: OperatorFile) {
    for (const [service, declaration] of Object.entries(file.services)) {
      const routes = Object.entries(declaration.routes).map(([name, route]) =>
        this.compile(service, name, route),
      );
      this.byService.set(service, routes);
      for (const route of routes) this.byName.set(route.name, route);
    }
    this.keyring = file.organisations && new Keyring(organisationsOf(file.organisations));
    this.priorityClasses = new PriorityClasses({
      routes: file.classes.map((_, rank) => rank),
      organisations: this.keyring?.ranks ?? [],
    });
  }

  /** Number of priority classes that requests may have, those of organisations included. */
  get classes(): number {
    return this.priorityClasses.count;
  }

  /** Index of the priority class of a request on the route; 0 has the highest priority. */
  classOf(route: Route, organisation: Organisation | undefined): number {
    return this.priorityClasses.classOf(route.rank, organisation?.rank);
  }

  /** The route of a request; `path` may have a query. */
  find(service: string, method: string, path: string): Route | undefined {
    const query = path.indexOf('?');
    const pathWithoutQuery = query < 0 ? path : path.slice(0, query);
    return this.byService
      .get(service)
      ?.find(route => route.method === method && route.matches(pathWithoutQuery));
  }

  get(name: RouteName): Route | undefined {
    return this.byName.get(name);
  }

  /** Throws for calls of undeclared routes, cycles, and idempotent routes that reach a non-idempotent one. */
  check(): void {
    for (const route of this.byName.values()) this.checkCalls(route);
    for (const route of this.byName.values()) this.checkReachable(route, [route.name]);
  }

  private compile(service: string, name: string, route: RouteDeclaration): Route {
    const field = `services.${service}.routes.${name}.path`;
    try {
      const matches = matcherOf(route.path);
      return {
        ...route,
        name: `${service}.${name}`,
        service,
        rank: this.file.classes.indexOf(route.class),
        matches,
      };
    } catch (error) {
      throw new Failure('Expected a path pattern.', { result: 'configurationInvalid', field, cause: error });
    }
  }

  private checkCalls(route: Route): void {
    const unknown = route.calls.find(name => !this.byName.has(name));
    if (unknown === undefined) return;
    throw new Failure(`Expected the name of a declared route, found "${unknown}".`, {
      result: 'configurationInvalid',
      field: `services.${route.name.replace('.', '.routes.')}.calls`,
    });
  }

  private checkReachable(top: Route, path: RouteName[]): void {
    const last = this.byName.get(path.at(-1) ?? '');
    for (const name of last?.calls ?? []) {
      if (path.includes(name)) throw graphFailure('callCycle', top, [...path, name], 'calls itself');
      if (top.idempotent && this.byName.get(name)?.idempotent === false) {
        throw graphFailure(
          'idempotenceBroken',
          top,
          [...path, name],
          'reaches a route that is not idempotent',
        );
      }
      this.checkReachable(top, [...path, name]);
    }
  }
}

function organisationsOf(declared: NonNullable<OperatorFile['organisations']>): Organisation[] {
  return Object.entries(declared).map(([name, { keyDigests, rank, quota }]) => ({
    name,
    keyDigests,
    rank,
    quota,
  }));
}

function graphFailure(
  result: 'callCycle' | 'idempotenceBroken',
  top: Route,
  path: string[],
  what: string,
): Failure {
  const field = `services.${top.name.replace('.', '.routes.')}.calls`;
  return new Failure(`${top.name} ${what}: ${path.join(' → ')}.`, { result, field });
}
