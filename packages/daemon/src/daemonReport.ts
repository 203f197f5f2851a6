/** What a daemon reports to operators: the dump, the status and the gauges. */
import {
  type RequestDeduplicator,
  type Peers,
  type RunningCalls,
  type AttemptRegistry,
} from '@cleatquay/calls';
import { type Configuration, type ConfigurationDistribution } from '@cleatquay/configuration';
import { invariantViolations } from '@cleatquay/errors';
import { type Membership } from '@cleatquay/membership';
import { type Quarantine } from '@cleatquay/quarantine';
import { type Router } from '@cleatquay/routing';
import { type CallGraph, type ProcessSettings } from '@cleatquay/settings';
import { type Metrics } from './metrics.js';
import { type Upstreams } from './upstreams.js';

/** The components whose state is reported. */
export interface ReportSources {
  readonly settings: ProcessSettings;
  readonly addresses: object;
  readonly configuration: Configuration<CallGraph>;
  readonly distribution: ConfigurationDistribution;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly router: Router;
  readonly deduplicator: RequestDeduplicator;
  readonly attempts: AttemptRegistry;
  readonly running: RunningCalls;
  readonly peers: Peers;
  readonly quarantine: Quarantine;
  /** Callers' requests in flight. */
  readonly inFlight: ReadonlySet<unknown>;
}

/** The complete state, for troubleshooting. */
export function daemonDump(sources: ReportSources): object {
  const { configuration, membership } = sources;
  return {
    addresses: sources.addresses,
    settings: sources.settings,
    configuration: {
      generation: configuration.generation,
      digest: configuration.digest,
      applyId: configuration.applyId,
      adoptedAt: configuration.adoptedAt,
      spread: sources.distribution.state,
      file: configuration.active?.file,
    },
    upstreams: sources.upstreams.dump(),
    routing: sources.router.dump(),
    calls: {
      inFlight: sources.inFlight.size,
      runningHere: sources.running.size,
      rememberedIds: sources.deduplicator.size,
      rememberedTries: sources.attempts.size,
      peers: sources.peers.addresses,
    },
    membership: membership.dump(),
    invariantViolations,
    memory: process.memoryUsage(),
  };
}

/** The data behind `cleatquay status`, `members` and `routes`. */
export function daemonStatus({
  addresses,
  settings,
  configuration,
  upstreams,
  membership,
  quarantine,
}: ReportSources): object {
  return {
    ...addresses,
    failureDomain: settings.failureDomain,
    generation: configuration.generation,
    digest: configuration.digest,
    applyId: configuration.applyId,
    adoptedAt: configuration.adoptedAt,
    upstreams: upstreams.dump(),
    quarantine: quarantine.report,
    members: [...membership.table.all()].map(m => ({
      address: m.address,
      operatorAddress: m.operatorAddress,
      failureDomain: m.failureDomain,
      state: m.state,
      upstreams: m.upstreams,
    })),
  };
}

/** Adds gauges that are evaluated on each scrape; docs/operators/observe.md lists them. */
export function addDaemonGauges(metrics: Metrics, sources: ReportSources): void {
  const { configuration, distribution, membership, upstreams, deduplicator, inFlight } = sources;
  const { traffic, table } = membership;
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`cleatquay_${name}`, help, read);
  gauge('configuration_generation', 'Generation in force', () => configuration.generation);
  gauge('configuration_content', 'First half of the digest in force', () => configuration.shortDigest);
  gauge(
    'configuration_received_bytes',
    'Bytes of configuration from peers',
    () => distribution.state.peerBytes,
  );
  gauge('platform_failures', 'Failed reads of the platform', () => distribution.state.platformFailures);
  gauge('requests_in_flight', 'Requests of callers in flight', () => inFlight.size);
  gauge('members', 'Known members, gone ones included', () => table.size);
  gauge('gossip_sent_bytes', 'Bytes of gossip sent', () => traffic.sentBytes);
  gauge('gossip_received_bytes', 'Bytes of gossip received', () => traffic.receivedBytes);
  gauge('remembered_ids', 'Request ids remembered here', () => deduplicator.size);
  gauge('admission_level', 'Lowest admission level of the upstreams here', () =>
    upstreams.lowestAdmissionLevel(),
  );
  gauge('invariant_violations', 'Broken invariants, see the dump', () => invariantViolations.count);
}
