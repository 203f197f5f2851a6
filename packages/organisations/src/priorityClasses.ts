/**
 * Priority classes of requests: ordered by the rank of the organisation (of the route if the organisation has none),
 * then by the rank of the route. Where organisations have ranks, only combinations that can occur get a class, so that
 * admission levels step through few classes; otherwise a request's class is the rank of its route.
 */

/** The ranks that determine a request's class. */
interface RankPair {
  readonly primary: number;
  readonly route: number;
}

/** The ranks in a configuration. */
export interface DeclaredRanks {
  readonly routes: readonly number[];
  /** Of the organisations that declare one. */
  readonly organisations: readonly number[];
}

/** The classes of all pairs of ranks in a configuration. */
export class PriorityClasses {
  private readonly classes = new Map<string, number>();
  /** Number of classes; at least 1. */
  readonly count: number;

  constructor({ routes, organisations }: DeclaredRanks) {
    const routeRanks = distinct(routes);
    const organisationRanks = distinct(organisations);
    if (organisationRanks.length > 0) {
      for (const pair of pairsOf(routeRanks, organisationRanks))
        this.classes.set(keyOf(pair), this.classes.size);
    }
    const highest = (routeRanks.at(-1) ?? 0) + 1;
    this.count = this.classes.size > 0 ? this.classes.size : highest;
  }

  /** The class of a request, 0 for the highest priority; without `organisationRank`, only the route's rank counts. */
  classOf(route: number, organisationRank: number | undefined): number {
    return this.classes.get(keyOf({ primary: organisationRank ?? route, route })) ?? route;
  }
}

function pairsOf(routeRanks: readonly number[], organisationRanks: readonly number[]): RankPair[] {
  const pairs = routeRanks.flatMap(route =>
    [route, ...organisationRanks].map(primary => ({ primary, route })),
  );
  const unique = [...new Map(pairs.map(pair => [keyOf(pair), pair])).values()];
  return unique.sort((a, b) => a.primary - b.primary || a.route - b.route);
}

function keyOf({ primary, route }: RankPair): string {
  return `${String(primary)} ${String(route)}`;
}

function distinct(numbers: readonly number[]): number[] {
  return [...new Set(numbers)].sort((a, b) => a - b);
}
