/** Small stand-ins for what surrounds the system: the platform and the upstreams. */
export { PlatformStandin, type PlatformFaults } from './platformStandin.js';
export { UpstreamStandin, type UpstreamBehaviour, type UpstreamIdentity } from './upstreamStandin.js';
export { type Effect, Ledger, readLedger } from './ledger.js';
