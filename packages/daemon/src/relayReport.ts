/** What a daemon for unmodified callers reports to operators. */
import { type RunningCalls, type TryMemory } from '@cleatquay/calls';
import { type Configuration, type Freshness } from '@cleatquay/configuration';
import { invariantViolations } from '@cleatquay/errors';
import { type Membership } from '@cleatquay/membership';
import { type Quarantine } from '@cleatquay/quarantine';
import { type HostRoutes } from '@cleatquay/routes';
import { type Router } from '@cleatquay/routing';
import { type Upstreams } from './upstreams.js';

/** The components whose state is reported. */
export interface RelayReportSources {
  readonly configuration: Configuration<HostRoutes>;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly router: Router;
  readonly running: RunningCalls;
  readonly attempts: TryMemory;
  readonly quarantine: Quarantine;
  readonly inFlight: number;
  readonly freshness: Freshness;
}

/** The active configuration, the upstreams and the members known to this daemon. */
export function relayStatus(parts: RelayReportSources): object {
  const { configuration, membership, upstreams, quarantine, inFlight, freshness } = parts;
  return {
    address: membership.me.address,
    failureDomain: membership.me.failureDomain,
    generation: configuration.generation,
    digest: configuration.digest,
    adoptedAt: configuration.adoptedAt,
    proofAgeMs: Math.round(freshness.ageMs),
    upstreams: upstreams.dump(),
    members: [...membership.table.all()],
    quarantine: quarantine.report,
    inFlight,
  };
}

/** The complete state, for troubleshooting. */
export function relayDump(parts: RelayReportSources): object {
  return {
    ...relayStatus(parts),
    plan: parts.configuration.inForce?.plan,
    routing: parts.router.dump(),
    departures: parts.upstreams.departures,
    runningHere: parts.running.size,
    rememberedTries: parts.attempts.size,
    membership: parts.membership.dump(),
    invariantViolations,
    memory: process.memoryUsage(),
  };
}
