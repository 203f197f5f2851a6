/** The two deployments that ship with the project, as the launcher builds them on loopback. */
import { type OperatorFile, readOperatorFile } from '@cleatquay/settings';
import { fileURLToPath } from 'node:url';

/** How many upstreams of each service, and in which failure domains. */
export interface Deployment {
  readonly name: string;
  /** Path of the operators' file. */
  readonly path: string;
  readonly failureDomains: readonly string[];
  readonly upstreams: Readonly<Record<string, number>>;
  /** Mean service time of each service's stand-in, ms. */
  readonly serviceMs: Readonly<Record<string, number>>;
}

/** Path of a file of the repository. */
export function sharedFile(name: string): string {
  return fileURLToPath(new URL(`../../../${name}`, import.meta.url));
}

/** By name. */
export const deployments: Readonly<Record<string, Deployment>> = {
  frostline: {
    name: 'frostline',
    path: sharedFile('deployments/frostline.json'),
    failureDomains: ['regina-a', 'moose-b', 'swift-c'],
    upstreams: { history: 5, receiving: 4, exports: 3, alarms: 3 },
    serviceMs: { history: 12, receiving: 8, exports: 20, alarms: 4 },
  },
  scaravilli: {
    name: 'scaravilli',
    path: sharedFile('deployments/scaravilli.json'),
    failureDomains: ['sala-nord', 'sala-sud', 'magazzino'],
    upstreams: { proofs: 5, payments: 3, prepress: 3, orders: 3 },
    serviceMs: { proofs: 10, payments: 8, prepress: 25, orders: 4 },
  },
};

/** The operators' file of a deployment. */
export function fileOf(deployment: Deployment): OperatorFile {
  return readOperatorFile(deployment.path);
}
