/** Routes by host and path prefix. */
export { type HostRoute, type RouteLimits, type RoutePlan, type ServicePlan } from './routePlan.js';
export { HostRoutes } from './hostRoutes.js';
export { checkSections } from './checkSections.js';
export { joinPlan, planSections } from './planSections.js';
export { type RoutePart, WeightedSplit } from './weightedSplit.js';
