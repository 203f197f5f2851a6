/** Gauges of keys and quotas, read when the metrics are asked for; docs/operators/observe.md lists them. */
import { type Freshness } from '@cleatquay/configuration';
import { type Quotas } from '@cleatquay/organisations';
import { type Metrics } from './metrics.js';

/** The parts that the gauges read. */
export interface OrganisationParts {
  readonly freshness: Freshness;
  readonly quotas: Quotas;
}

/** Adds them. Their number doesn't depend on how many organisations there are. */
export function addOrganisationGauges(metrics: Metrics, { freshness, quotas }: OrganisationParts): void {
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`cleatquay_${name}`, help, read);
  gauge('configuration_proof_age_ms', 'How long ago it was known to be the newest', () => freshness.ageMs);
  gauge('quota_taken', 'Requests that found room in their quotas', () => quotas.counts.taken);
  gauge('quota_over', 'Requests beyond their quotas', () => quotas.counts.over);
  gauge('quota_unknown', 'Requests whose quota nobody could be asked for', () => quotas.counts.unknown);
}
