/** The operator's declaration of routes by host and path prefix, independent of its file format. */
import { type Organisation } from '@cleatquay/organisations';
import { type RoutePart } from './weightedSplit.js';

/** A route. */
export interface HostRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Whether requests have large bodies, which are streamed. Absent for other routes, so that their sections keep their digests. */
  readonly isUpload?: true;
  /** Maximum time until the response, ms. */
  readonly timeoutMs: number;
  /** Time within which a response is most useful, ms. */
  readonly targetLatencyMs: number;
  /** Priority rank, 0 for the highest priority; PriorityClasses derives the class of a request from it. */
  readonly rank: number;
  /** Whether requests need no API key even if organisations are declared. */
  readonly isPublic: boolean;
  /** Services among which requests are split by weight. */
  readonly parts: readonly RoutePart[];
  /** Maximum number of upstreams that one request is sent to. */
  readonly mostAttempts: number;
}

/** Declaration of a service. */
export interface ServicePlan {
  readonly name: string;
  /** Path of the health check. */
  readonly healthPath: string;
  /** Maximum number of connections to each upstream. */
  readonly connections: number;
}

/** Limits for requests and connections of callers. */
export interface RouteLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time for receiving the header of a request, ms. */
  readonly headerTimeoutMs: number;
  /** Maximum idle time of a connection, ms. */
  readonly idleTimeoutMs: number;
}

/** A complete declaration. */
export interface RoutePlan {
  readonly routes: readonly HostRoute[];
  readonly services: readonly ServicePlan[];
  readonly limits: RouteLimits;
  /** Organisations that may send requests; undefined if requests need no key. */
  readonly organisations: readonly Organisation[] | undefined;
}
