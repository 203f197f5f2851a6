/** What a daemon tells operators of itself: the dump, the status, and the gauges. */
import { type Home, type Peers, type RunningCalls, type TryMemory } from '@cleatquay/calls';
import { type Configuration, type ConfigurationSpread } from '@cleatquay/configuration';
import { invariantViolations } from '@cleatquay/errors';
import { type Membership } from '@cleatquay/membership';
import { type Quarantine } from '@cleatquay/quarantine';
import { type Router } from '@cleatquay/routing';
import { type CallGraph, type ProcessSettings } from '@cleatquay/settings';
import { type Metrics } from './metrics.js';
import { type Upstreams } from './upstreams.js';

/** The parts that a report reads. */
export interface ReportedParts {
  readonly settings: ProcessSettings;
  readonly addresses: object;
  readonly configuration: Configuration<CallGraph>;
  readonly spread: ConfigurationSpread;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly router: Router;
  readonly home: Home;
  readonly tries: TryMemory;
  readonly running: RunningCalls;
  readonly peers: Peers;
  readonly quarantine: Quarantine;
  /** Requests of callers in flight. */
  readonly inFlight: ReadonlySet<unknown>;
}

/** The whole state, for people. */
export function dumpOf(parts: ReportedParts): object {
  const { configuration, membership } = parts;
  return {
    addresses: parts.addresses,
    settings: parts.settings,
    configuration: {
      generation: configuration.generation,
      digest: configuration.digest,
      applyId: configuration.applyId,
      adoptedAt: configuration.adoptedAt,
      spread: parts.spread.state,
      file: configuration.inForce?.file,
    },
    upstreams: parts.upstreams.dump(),
    routing: parts.router.dump(),
    calls: {
      inFlight: parts.inFlight.size,
      runningHere: parts.running.size,
      rememberedIds: parts.home.size,
      rememberedTries: parts.tries.size,
      peers: parts.peers.addresses,
    },
    membership: membership.dump(),
    invariantViolations,
    memory: process.memoryUsage(),
  };
}

/** What `cleatquay status`, `members` and `routes` are made from. */
export function statusOf({
  addresses,
  settings,
  configuration,
  upstreams,
  membership,
  quarantine,
}: ReportedParts): object {
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

/** Gauges that are read when the metrics are asked for; docs/operators/observe.md lists them. */
export function addGauges(metrics: Metrics, parts: ReportedParts): void {
  const { configuration, spread, membership, upstreams, home, inFlight } = parts;
  const { traffic, table } = membership;
  const gauge = (name: string, help: string, read: () => number) =>
    metrics.gauge(`cleatquay_${name}`, help, read);
  gauge('configuration_generation', 'Generation in force', () => configuration.generation);
  gauge('configuration_content', 'First half of the digest in force', () => configuration.shortDigest);
  gauge('configuration_received_bytes', 'Bytes of configuration from peers', () => spread.state.peerBytes);
  gauge('platform_failures', 'Failed reads of the platform', () => spread.state.platformFailures);
  gauge('requests_in_flight', 'Requests of callers in flight', () => inFlight.size);
  gauge('members', 'Known members, gone ones included', () => table.size);
  gauge('gossip_sent_bytes', 'Bytes of gossip sent', () => traffic.sentBytes);
  gauge('gossip_received_bytes', 'Bytes of gossip received', () => traffic.receivedBytes);
  gauge('remembered_ids', 'Request ids remembered here', () => home.size);
  gauge('admission_level', 'Lowest admission level of the upstreams here', () => upstreams.lowestLevel());
  gauge('invariant_violations', 'Broken invariants, see the dump', () => invariantViolations.count);
}
