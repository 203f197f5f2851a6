/** Splits a plan into sections (per route, per organisation, and the rest), so that a small change is a small download. */
import { type Organisation } from '@cleatquay/organisations';
import { type HostRoute, type RoutePlan } from './routePlan.js';

/** Name of the section with everything else. */
export const GENERAL_SECTION = 'general';
/** Prefix of the names of sections of routes. */
export const ROUTE_PREFIX = 'route:';
/** Prefix of the names of sections of organisations. */
export const ORGANISATION_PREFIX = 'organisation:';

type GeneralSection = Omit<RoutePlan, 'routes' | 'organisations'> & { readonly hasOrganisations?: boolean };

/** Splits a plan into sections by name. */
export function planSections(plan: RoutePlan): ReadonlyMap<string, string> {
  const { routes, organisations, ...rest } = plan;
  const general = { ...rest, ...(organisations && { hasOrganisations: true }) };
  return new Map([
    [GENERAL_SECTION, JSON.stringify(general)],
    ...routes.map(route => [ROUTE_PREFIX + route.name, JSON.stringify(route)] as const),
    ...(organisations ?? []).map(
      organisation => [ORGANISATION_PREFIX + organisation.name, JSON.stringify(organisation)] as const,
    ),
  ]);
}

/** Reassembles a plan from its sections. */
export function joinPlan(sections: ReadonlyMap<string, string>): RoutePlan {
  const routes: HostRoute[] = [];
  const organisations: Organisation[] = [];
  for (const [name, content] of sections) {
    if (name.startsWith(ROUTE_PREFIX)) routes.push(JSON.parse(content) as HostRoute);
    else if (name.startsWith(ORGANISATION_PREFIX)) organisations.push(JSON.parse(content) as Organisation);
  }
  const { hasOrganisations, ...general } = JSON.parse(
    sections.get(GENERAL_SECTION) ?? '{}',
  ) as GeneralSection;
  return { ...general, routes, organisations: hasOrganisations === true ? organisations : undefined };
}
