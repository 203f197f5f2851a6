/** Dependencies and limits of the registry of upstreams. */
import { type ResponseNotice, type StreamPacer, type UpstreamLoad } from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import { type Upstream } from '@cleatquay/protocol';

/** Dependencies of the registry. */
export interface UpstreamsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Paces the bodies of responses; shared with all other streams of the process. */
  readonly pacer: StreamPacer;
  /** False in passthrough mode, in which every request is forwarded at once. */
  readonly protection: boolean;
  /** How often upstreams announce themselves, ms. */
  readonly heartbeatMs: number;
  /** Whether a new upstream starts with few slots, or with all that it announces. */
  readonly slowStart: boolean;
  /** Number of priority classes. */
  readonly classes: () => number;
  /** Limits that the active configuration sets for the upstreams of a service. */
  readonly bounds: (service: string) => UpstreamBounds;
  /** Rejects for an announced address that this daemon must not use for an upstream. */
  readonly checkAddress: (address: string) => Promise<void>;
  /** Returns the notice of an upstream's health check; undefined if it has none. */
  readonly fetchNotice: (service: string, address: string) => Promise<ResponseNotice | undefined>;
  readonly loadChecks?: LoadChecks;
  /** Called when a response or a peer is the first to report that a start is shutting down, rather than an announcement. */
  readonly onDeparture: () => void;
  /** Called when the list that is published to the fleet has changed. */
  readonly onChange: (upstreams: Upstream[]) => void;
  readonly log: (message: string, facts: object) => void;
}

/** Limits that a configuration sets for each upstream of a service. */
export interface UpstreamBounds {
  /** Maximum number of slots, if the upstream announces more. */
  readonly slots?: number | undefined;
  /** Maximum number of connections, if the upstream announces more. */
  readonly connections?: number | undefined;
  /** Maximum persistent delay of its queue, ms. */
  readonly maxQueueMs: number;
}

/** Health checks that ask an upstream for its load. */
export interface LoadChecks {
  /** Whether the active configuration has a health check for the service. */
  readonly isConfigured: (service: string) => boolean;
  /** Returns the reported load; undefined if there is none. Rejects if the upstream does not respond. */
  readonly fetch: (upstream: HealthCheckTarget) => Promise<UpstreamLoad | undefined>;
}

/** The upstream whose health is checked. */
export interface HealthCheckTarget {
  readonly service: string;
  readonly address: string;
  /** Empty if the upstream has no instance id. */
  readonly instanceId: string;
}
