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
  type KeptState,
  type KnownUpstream,
  Meeting,
  type MeetingOptions,
  type MeetingRow,
  type Created,
  type Departure,
  type ListedRow,
  type MeetingTable,
} from './meeting.js';
