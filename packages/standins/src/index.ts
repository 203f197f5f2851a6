/** Stand-ins (simulated external systems) for the platform and the upstreams. */
export { StoreStandin, type StoreFaults } from './storeStandin.js';
export { UpstreamStandin, type UpstreamBehaviour, type UpstreamIdentity } from './upstreamStandin.js';
export { EVEN, UnevenWork, type Unevenness } from './unevenWork.js';
export { type Execution, Ledger, readLedger } from './ledger.js';
export { PlatformStoreStandin, type PlatformStoreFaults } from './platform/platformStoreStandin.js';
export {
  type ReceivedRequest,
  type PlatformUpstreamBehaviour,
  PlatformUpstreamStandin,
  type UpstreamCall,
  type SimulatedCrash,
  type UpstreamFault,
} from './platform/platformUpstreamStandin.js';
export { LoopbackProxy, type ProxyMode } from './loopbackProxy.js';
