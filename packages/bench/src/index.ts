/** Fleets of real daemon processes with stand-ins for upstreams and the platform, and simulated networks of members. */
export { Fleet, type FleetNode, type FleetOptions } from './fleet.js';
export { SimulatedNetwork, simulatedAddresses } from './simulatedNetwork.js';
export { type Deployment, deployments, operatorFileOf, repositoryPath } from './deployments.js';
