/** What a daemon for unmodified callers reports to operators. */
import { type CallChains, type RunningCalls, type AttemptRegistry } from '@cleatquay/calls';
import { type Configuration, type Freshness } from '@cleatquay/configuration';
import { invariantViolations } from '@cleatquay/errors';
import { type Membership } from '@cleatquay/membership';
import { type Quotas } from '@cleatquay/organisations';
import { type Quarantine } from '@cleatquay/quarantine';
import { type HostRoutes } from '@cleatquay/routes';
import { type Router } from '@cleatquay/routing';
import { type ConfigurationUpdater } from './configurationUpdater.js';
import { type Upstreams } from './upstreams.js';

/** The components whose state is reported. */
export interface RelayReportSources {
  readonly configuration: Configuration<HostRoutes>;
  readonly updater: ConfigurationUpdater;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly router: Router;
  readonly running: RunningCalls;
  readonly chains: CallChains;
  readonly attempts: AttemptRegistry;
  readonly quarantine: Quarantine;
  readonly inFlight: number;
  readonly freshness: Freshness;
  readonly quotas: Quotas;
}

/** The active configuration, the upstreams and the members known to this daemon. */
export function relayStatus(sources: RelayReportSources): object {
  const { configuration, updater, membership, upstreams, quarantine, inFlight, freshness } = sources;
  return {
    address: membership.me.address,
    failureDomain: membership.me.failureDomain,
    generation: configuration.generation,
    digest: configuration.digest,
    adoptedAt: configuration.adoptedAt,
    behindMs: Math.round(updater.behindMs),
    sourceSilenceMs: Math.round(updater.readers.sourceSilenceMs),
    proofAgeMs: Math.round(freshness.ageMs),
    upstreams: upstreams.dump(),
    members: [...membership.table.all()],
    quarantine: quarantine.report,
    inFlight,
  };
}

/** The complete state, for troubleshooting. */
export function relayDump(sources: RelayReportSources): object {
  return {
    ...relayStatus(sources),
    plan: sources.configuration.active?.plan,
    routing: sources.router.dump(),
    departures: sources.upstreams.departures,
    runningHere: sources.running.size,
    rememberedTries: sources.attempts.size,
    chains: {
      outlooks: sources.chains.outlooks.dump(),
      admittedShares: Object.fromEntries(sources.chains.admission.reduced),
      admittedAfterLosses: Object.fromEntries(sources.chains.lossAdmission.reduced),
    },
    membership: sources.membership.dump(),
    quotaShares: sources.quotas.shareReport,
    invariantViolations,
    memory: process.memoryUsage(),
  };
}
