/** A plan in sections, one for each route and each organisation and one for the rest, so that small changes travel small. */
import { type Organisation } from '@cleatquay/organisations';
import { type HostRoute, type RoutePlan } from './routePlan.js';

const GENERAL = 'general';
const ROUTE = 'route:';
const ORGANISATION = 'organisation:';

type GeneralSection = Omit<RoutePlan, 'routes' | 'organisations'> & { readonly hasOrganisations?: boolean };

/** Takes a plan apart. */
export function planSections(plan: RoutePlan): ReadonlyMap<string, string> {
  const { routes, organisations, ...rest } = plan;
  const general = { ...rest, ...(organisations && { hasOrganisations: true }) };
  return new Map([
    [GENERAL, JSON.stringify(general)],
    ...routes.map(route => [ROUTE + route.name, JSON.stringify(route)] as const),
    ...(organisations ?? []).map(one => [ORGANISATION + one.name, JSON.stringify(one)] as const),
  ]);
}

/** Puts a plan together again. */
export function joinPlan(sections: ReadonlyMap<string, string>): RoutePlan {
  const routes: HostRoute[] = [];
  const organisations: Organisation[] = [];
  for (const [name, content] of sections) {
    if (name.startsWith(ROUTE)) routes.push(JSON.parse(content) as HostRoute);
    else if (name.startsWith(ORGANISATION)) organisations.push(JSON.parse(content) as Organisation);
  }
  const { hasOrganisations, ...general } = JSON.parse(sections.get(GENERAL) ?? '{}') as GeneralSection;
  return { ...general, routes, organisations: hasOrganisations === true ? organisations : undefined };
}
