/** A plan in sections, one for each route and one for the rest, so that small changes travel small. */
import { type HostRoute, type RoutePlan } from './routePlan.js';

const GENERAL = 'general';
const ROUTE = 'route:';

/** Takes a plan apart. */
export function planSections(plan: RoutePlan): ReadonlyMap<string, string> {
  const { routes, ...general } = plan;
  const entries = routes.map(route => [ROUTE + route.name, JSON.stringify(route)] as const);
  return new Map([[GENERAL, JSON.stringify(general)], ...entries]);
}

/** Puts a plan together again. */
export function joinPlan(sections: ReadonlyMap<string, string>): RoutePlan {
  const routes: HostRoute[] = [];
  for (const [name, content] of sections) {
    if (name.startsWith(ROUTE)) routes.push(JSON.parse(content) as HostRoute);
  }
  const general = JSON.parse(sections.get(GENERAL) ?? '{}') as Omit<RoutePlan, 'routes'>;
  return { ...general, routes };
}
