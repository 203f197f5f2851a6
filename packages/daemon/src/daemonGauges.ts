/** All gauges of a daemon for unmodified callers. */
import { addChainGauges } from './chainGauges.js';
import { type DaemonCore } from './daemonCore.js';
import { type Metrics } from './metrics.js';
import { type OrganisationGaugeSources, addOrganisationGauges } from './organisationGauges.js';
import { addQuarantineGauges } from './quarantineGauges.js';
import { type RelayGaugeSources, addRelayGauges } from './relayGauges.js';
import { addUploadGauges } from './uploadMemory.js';
import { addUpstreamGauges } from './upstreamGauges.js';

/** The components that the gauges read. */
export interface DaemonGaugeSources extends Omit<RelayGaugeSources, 'router' | 'forwarder'> {
  readonly core: Pick<
    DaemonCore,
    'chains' | 'forwarder' | 'quarantine' | 'router' | 'upstreams' | 'uploadBudget'
  >;
  readonly organisations: OrganisationGaugeSources;
}

/** Adds the gauges. */
export function addDaemonGauges(metrics: Metrics, sources: DaemonGaugeSources): void {
  const { core, organisations } = sources;
  addQuarantineGauges(metrics, core.quarantine);
  addRelayGauges(metrics, { ...sources, router: core.router, forwarder: core.forwarder });
  addOrganisationGauges(metrics, organisations);
  addUpstreamGauges(metrics, core.upstreams);
  addUploadGauges(metrics, core.uploadBudget);
  addChainGauges(metrics, core.chains);
}
