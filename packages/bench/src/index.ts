/** Launches real daemons with stand-ins around them, and puts load on them. */
export { Fleet, type FleetNode, type FleetOptions } from './fleet.js';
export { SimulatedNetwork, simulatedAddresses } from './simulatedNetwork.js';
export { type Deployment, deployments, fileOf, sharedFile } from './deployments.js';
