/** A deployment for experiments: a chain of services, the last of which is the bottleneck. */
import { type OperatorFile, checkOperatorFile } from '@cleatquay/settings';
import { type FleetOptions } from './fleet.js';

/** Highest priority first, as in operator files. */
export const CLASSES = ['critical', 'normal', 'bulk'] as const;
/** A priority class of the ingress routes. */
export type ChainClass = (typeof CLASSES)[number];

const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const TIMEOUT_MS = 4000;
const OTHER_SERVICE = { slots: 64, serviceMs: 8 };
const BOTTLENECK = { slots: 8, serviceMs: 160 };

/** Upstreams per service: fewer in a deep chain, so that the bottleneck and not the processors of the machine limits it. */
function upstreamsPerService(depth: number): number {
  return depth > 5 ? 2 : 3;
}

/** Capacity of the bottleneck of a chain, requests a second. */
export function chainCapacity(depth: number): number {
  return (upstreamsPerService(depth) * BOTTLENECK.slots * 1000) / BOTTLENECK.serviceMs;
}

/** Name of the service at a position in the chain; 1 is the ingress service. */
export function serviceAt(position: number): string {
  return `s${String(position)}`;
}

/** The operator file of a chain; each request to a service makes `fanOut` calls to the next. */
export function chainFile(depth: number, fanOut = 1): OperatorFile {
  const services: Record<string, unknown> = {};
  for (let position = 1; position <= depth; position++) {
    const { slots } = position === depth ? BOTTLENECK : OTHER_SERVICE;
    const calls =
      position < depth ? Array.from({ length: fanOut }, () => `${serviceAt(position + 1)}.run`) : [];
    const route = { idempotent: true, timeoutMs: TIMEOUT_MS, calls };
    const run = { ...route, method: 'GET', path: '/run', class: CLASSES[2] };
    const ingressRoutes = {
      critical: { ...route, idempotent: false, method: 'POST', path: '/critical', class: CLASSES[0] },
      normal: { ...route, method: 'GET', path: '/normal', class: CLASSES[1] },
      bulk: { ...route, method: 'GET', path: '/bulk', class: CLASSES[2] },
    };
    services[serviceAt(position)] = {
      slots,
      maxQueueMs: 120,
      routes: position === 1 ? ingressRoutes : { run },
    };
  }
  const file = {
    deployment: 'chain',
    classes: [...CLASSES],
    retryBudget: 3,
    requestIdLifetimeMs: 60_000,
    services,
  };
  return checkOperatorFile(file);
}

/** The VMs of a chain: for each service, one VM in each of two or three failure domains. */
export function chainNodes(depth: number): FleetOptions['nodes'] {
  const upstreams = upstreamsPerService(depth);
  return Array.from({ length: depth * upstreams }, (_, i) => {
    const position = Math.floor(i / upstreams) + 1;
    return {
      service: serviceAt(position),
      failureDomain: FAILURE_DOMAINS[i % upstreams] ?? '',
      behaviour: position === depth ? BOTTLENECK : OTHER_SERVICE,
    };
  });
}
