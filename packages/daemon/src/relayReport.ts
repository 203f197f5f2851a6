/** What a daemon for unchanged callers tells operators of itself. */
import { type RunningCalls, type TryMemory } from '@cleatquay/calls';
import { type Configuration, type Freshness } from '@cleatquay/configuration';
import { invariantViolations } from '@cleatquay/errors';
import { type Membership } from '@cleatquay/membership';
import { type Quarantine } from '@cleatquay/quarantine';
import { type HostRoutes } from '@cleatquay/routes';
import { type Router } from '@cleatquay/routing';
import { type Upstreams } from './upstreams.js';

/** The parts that a report reads. */
export interface RelayReportParts {
  readonly configuration: Configuration<HostRoutes>;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly router: Router;
  readonly running: RunningCalls;
  readonly tries: TryMemory;
  readonly quarantine: Quarantine;
  readonly inFlight: number;
  readonly freshness: Freshness;
}

/** What it has in force, and whom it knows. */
export function relayStatus(parts: RelayReportParts): object {
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

/** The whole state, for people. */
export function relayDump(parts: RelayReportParts): object {
  return {
    ...relayStatus(parts),
    plan: parts.configuration.inForce?.plan,
    routing: parts.router.dump(),
    departures: parts.upstreams.departures,
    runningHere: parts.running.size,
    rememberedTries: parts.tries.size,
    membership: parts.membership.dump(),
    invariantViolations,
    memory: process.memoryUsage(),
  };
}
