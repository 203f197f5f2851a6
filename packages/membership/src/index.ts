/**
 * Membership of the fleet: which daemons are alive, and their local upstreams, by gossip over UDP.
 * Follows SWIM (Das, Gupta, Motivala, DSN 2002), with the local health score of Lifeguard (Dadgar, Phillips, Currey, 2018).
 */
export { Membership } from './membership.js';
export {
  type Findings,
  type KnownConfiguration,
  type MembershipOptions,
  type Proofs,
  type QuotaHandlers,
} from './membershipOptions.js';
export { MemberTable } from './memberTable.js';
export { type Datagrams, UdpDatagrams } from './datagrams.js';
export {
  type PersistedState,
  type KnownUpstream,
  PeerDiscovery,
  type PeerDiscoveryOptions,
  type DiscoveryRow,
  type CreateResult,
  type Departure,
  type ListedRow,
  type DiscoveryTable,
} from './peerDiscovery.js';
export { DomainMembers, type DomainMembersOptions } from './domainMembers.js';
