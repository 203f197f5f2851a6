/**
 * The order of importance of requests: by the rank of their organisation, or where it has none, of their route; among equals by the rank of the
 * route. Where organisations have ranks, ranks that nothing has take no place, so that levels move through few classes.
 */
/** What a request's place depends on. */
interface Pair {
  readonly first: number;
  readonly route: number;
}

/** The ranks that a configuration has. */
export interface DeclaredRanks {
  readonly routes: readonly number[];
  /** Of the organisations that have one. */
  readonly organisations: readonly number[];
}

/** The places of all pairs of ranks that a configuration has. */
export class Ranks {
  private readonly places = new Map<string, number>();
  /** Number of places that requests may have; at least 1. */
  readonly count: number;

  constructor({ routes, organisations }: DeclaredRanks) {
    const routeRanks = distinct(routes);
    const ownerRanks = distinct(organisations);
    if (ownerRanks.length > 0) {
      for (const pair of pairsOf(routeRanks, ownerRanks)) this.places.set(keyOf(pair), this.places.size);
    }
    const highest = (routeRanks.at(-1) ?? 0) + 1;
    this.count = this.places.size > 0 ? this.places.size : highest;
  }

  /** The place of a request, 0 for the most important; `owner` is undefined where only the route tells. */
  of(route: number, owner: number | undefined): number {
    return this.places.get(keyOf({ first: owner ?? route, route })) ?? route;
  }
}

function pairsOf(routeRanks: readonly number[], ownerRanks: readonly number[]): Pair[] {
  const pairs = routeRanks.flatMap(route => [route, ...ownerRanks].map(first => ({ first, route })));
  const unique = [...new Map(pairs.map(pair => [keyOf(pair), pair])).values()];
  return unique.sort((a, b) => a.first - b.first || a.route - b.route);
}

function keyOf({ first, route }: Pair): string {
  return `${String(first)} ${String(route)}`;
}

function distinct(numbers: readonly number[]): number[] {
  return [...new Set(numbers)].sort((a, b) => a - b);
}
