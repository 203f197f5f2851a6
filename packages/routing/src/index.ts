/** Load balancing: selects the upstream for a call. */
export { type Candidate, UpstreamDirectory } from './upstreamDirectory.js';
export { Router, type RouterOptions, type Selection } from './router.js';
export { type CallResult, PeerStatistics } from './peerStatistics.js';
export { type MeasuredCandidate, selectSubset } from './candidateSubset.js';
export { type CrossingReason, Spillover } from './spillover.js';
export { CallTimes } from './callTime.js';
