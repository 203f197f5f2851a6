/** The two deployments that ship with the project, and how many upstreams the bench starts for each on loopback. */
import { type OperatorFile, readOperatorFile } from '@cleatquay/settings';
import { fileURLToPath } from 'node:url';

/** An operator file, and the upstreams to start for it. */
export interface Deployment {
  readonly name: string;
  /** Path of the operator file. */
  readonly path: string;
  readonly failureDomains: readonly string[];
  /** Number of upstreams by service. */
  readonly upstreams: Readonly<Record<string, number>>;
  /** Mean service time of the stand-in upstreams by service, ms. */
  readonly serviceMs: Readonly<Record<string, number>>;
}

/** Absolute path of a file of the repository, given relative to its root. */
export function repositoryPath(name: string): string {
  return fileURLToPath(new URL(`../../../${name}`, import.meta.url));
}

/** Deployments by name. */
export const deployments: Readonly<Record<string, Deployment>> = {
  frostline: {
    name: 'frostline',
    path: repositoryPath('deployments/frostline.json'),
    failureDomains: ['regina-a', 'moose-b', 'swift-c'],
    upstreams: { history: 5, receiving: 4, exports: 3, alarms: 3 },
    serviceMs: { history: 12, receiving: 8, exports: 20, alarms: 4 },
  },
  scaravilli: {
    name: 'scaravilli',
    path: repositoryPath('deployments/scaravilli.json'),
    failureDomains: ['sala-nord', 'sala-sud', 'magazzino'],
    upstreams: { proofs: 5, payments: 3, prepress: 3, orders: 3 },
    serviceMs: { proofs: 10, payments: 8, prepress: 25, orders: 4 },
  },
};

/** Reads the operator file of a deployment. */
export function operatorFileOf(deployment: Deployment): OperatorFile {
  return readOperatorFile(deployment.path);
}
