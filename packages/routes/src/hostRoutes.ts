/** Finds the route of a request by its host and the longest prefix of its path. */
import { type Random } from '@cleatquay/clock';
import { Keyring, type Organisation, Ranks } from '@cleatquay/organisations';
import { type HostRoute, type RoutePlan, type ServicePlan } from './routePlan.js';
import { WeightedSplit } from './weightedSplit.js';

/** A plan ready for use on the request path. */
export class HostRoutes {
  private readonly byHost = new Map<string, Map<string, HostRoute>>();
  private readonly splits = new Map<string, WeightedSplit>();
  private readonly services = new Map<string, ServicePlan>();
  private readonly ranks: Ranks;
  /** The keys that requests need; undefined where they need none. */
  readonly keyring: Keyring | undefined;

  /** Splits go on from where `before` had them, if their weights are the same. */
  constructor(
    readonly plan: RoutePlan,
    random: Random,
    before?: HostRoutes,
  ) {
    for (const route of plan.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.byHost.get(host) ?? new Map<string, HostRoute>();
      prefixes.set(route.pathPrefix, route);
      this.byHost.set(host, prefixes);
      const known = before?.splits.get(route.name);
      this.splits.set(
        route.name,
        known?.hasParts(route.parts) ? known : new WeightedSplit(route.parts, random),
      );
    }
    for (const service of plan.services) this.services.set(service.name, service);
    this.keyring = plan.organisations && new Keyring(plan.organisations);
    this.ranks = new Ranks({
      routes: plan.routes.map(({ rank }) => rank),
      organisations: this.keyring?.ranks ?? [],
    });
  }

  /** The route with the longest prefix that begins the path; `path` may carry a query. */
  find(host: string, path: string): HostRoute | undefined {
    const prefixes = this.byHost.get(hostnameOf(host));
    if (!prefixes) return undefined;
    const query = path.indexOf('?');
    const bare = query < 0 ? path : path.slice(0, query);
    for (let slash = bare.lastIndexOf('/'); slash >= 0; slash = bare.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(bare.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) return undefined;
    }
    return undefined;
  }

  /** The service that gets the route's next request. */
  serviceFor(route: HostRoute): string | undefined {
    return this.splits.get(route.name)?.next();
  }

  /** Number of ranks that requests may have. */
  get classes(): number {
    return this.ranks.count;
  }

  /** Rank of a request on the route; 0 is the most important. */
  rankOf(route: HostRoute, organisation: Organisation | undefined): number {
    return this.ranks.of(route.rank, organisation?.rank);
  }

  /** What is declared of a service. */
  service(name: string): ServicePlan | undefined {
    return this.services.get(name);
  }
}

/** The host without a port, as routes name it. */
function hostnameOf(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
