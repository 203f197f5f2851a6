/** Gauges of the freshness proof and of quotas, evaluated on each scrape; docs/operators/observe.md lists them. */
import { type Freshness } from '@cleatquay/configuration';
import { type Quotas } from '@cleatquay/organisations';
import { type Metrics } from './metrics.js';

/** The components that the gauges read. */
export interface OrganisationGaugeSources {
  readonly freshness: Freshness;
  readonly quotas: Quotas;
}

/** Adds the gauges. Their number doesn't depend on the number of organisations. */
export function addOrganisationGauges(
  metrics: Metrics,
  { freshness, quotas }: OrganisationGaugeSources,
): void {
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`cleatquay_${name}`, help, read);
  gauge('configuration_proof_age_ms', 'How long ago it was known to be the newest', () => freshness.ageMs);
  gauge('quota_taken', 'Requests that found room in their quotas', () => quotas.counts.taken);
  gauge('quota_over', 'Requests beyond their quotas', () => quotas.counts.over);
  gauge('quota_unknown', 'Requests whose quota nobody could be asked for', () => quotas.counts.unknown);
}
