/** Matches requests to routes by host and longest path prefix. */
import { type Random } from '@cleatquay/clock';
import { Keyring, type Organisation, PriorityClasses } from '@cleatquay/organisations';
import { type HostRoute, type RoutePlan, type ServicePlan } from './routePlan.js';
import { WeightedSplit } from './weightedSplit.js';

/** A route plan, indexed for lookup by request. */
export class HostRoutes {
  private readonly byHost = new Map<string, Map<string, HostRoute>>();
  private readonly splits = new Map<string, WeightedSplit>();
  private readonly services = new Map<string, ServicePlan>();
  private readonly priorityClasses: PriorityClasses;
  /** API keys of the organisations; undefined if requests need no key. */
  readonly keyring: Keyring | undefined;

  /** Reuses the weighted splits of `previous` with their state where services and weights are the same. */
  constructor(
    readonly plan: RoutePlan,
    random: Random,
    previous?: HostRoutes,
  ) {
    for (const route of plan.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.byHost.get(host) ?? new Map<string, HostRoute>();
      prefixes.set(route.pathPrefix, route);
      this.byHost.set(host, prefixes);
      const existing = previous?.splits.get(route.name);
      this.splits.set(
        route.name,
        existing?.hasParts(route.parts) ? existing : new WeightedSplit(route.parts, random),
      );
    }
    for (const service of plan.services) this.services.set(service.name, service);
    this.keyring = plan.organisations && new Keyring(plan.organisations);
    this.priorityClasses = new PriorityClasses({
      routes: plan.routes.map(({ rank }) => rank),
      organisations: this.keyring?.ranks ?? [],
    });
  }

  /** The route with the longest matching path prefix; `path` may include a query string. */
  find(host: string, path: string): HostRoute | undefined {
    const prefixes = this.byHost.get(hostnameOf(host));
    if (!prefixes) return undefined;
    const query = path.indexOf('?');
    const pathname = query < 0 ? path : path.slice(0, query);
    for (let slash = pathname.lastIndexOf('/'); slash >= 0; slash = pathname.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(pathname.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) return undefined;
    }
    return undefined;
  }

  /** Selects the service for the next request of the route, by weight. */
  serviceFor(route: HostRoute): string | undefined {
    return this.splits.get(route.name)?.next();
  }

  /** Number of priority classes. */
  get classes(): number {
    return this.priorityClasses.count;
  }

  /** Priority class of a request; 0 is the highest priority. */
  classOf(route: HostRoute, organisation: Organisation | undefined): number {
    return this.priorityClasses.classOf(route.rank, organisation?.rank);
  }

  /** The declaration of a service. */
  service(name: string): ServicePlan | undefined {
    return this.services.get(name);
  }
}

/** The host in lower case, without a port. */
function hostnameOf(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
