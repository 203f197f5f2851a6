/** What an operator declares of routes by host and path prefix, whatever the format that it came in. */
import { type Organisation } from '@cleatquay/organisations';
import { type RoutePart } from './weightedSplit.js';

/** One route. */
export interface HostRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly idempotent: boolean;
  /** Longest time that a request is kept waiting, ms. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, ms. */
  readonly targetLatencyMs: number;
  /** 0 is the most important. */
  readonly rank: number;
  /** Whether requests need no key, also where organisations are declared. */
  readonly isPublic: boolean;
  /** Services that share the route's requests, by weight. */
  readonly parts: readonly RoutePart[];
  /** Most upstreams that one request may be sent to. */
  readonly mostAttempts: number;
}

/** What is declared of a service. */
export interface ServicePlan {
  readonly name: string;
  /** Path of its health check. */
  readonly healthPath: string;
  /** Most connections that one of its upstreams takes. */
  readonly connections: number;
}

/** What a caller's request may be. */
export interface RouteLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Time for a request's header to come, ms. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may lie idle, ms. */
  readonly idleTimeoutMs: number;
}

/** A whole declaration. */
export interface RoutePlan {
  readonly routes: readonly HostRoute[];
  readonly services: readonly ServicePlan[];
  readonly limits: RouteLimits;
  /** Who may send requests; undefined where requests need no key. */
  readonly organisations: readonly Organisation[] | undefined;
}
