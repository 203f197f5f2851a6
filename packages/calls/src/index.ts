/** One client request through the daemons: deadlines, retries, at most once, and what its caller is told. */
export { type CallHandler, emptyBody } from './callHandler.js';
export { Claims } from './claims.js';
export { type CallerRequest, Entry, type EntryOptions } from './entry.js';
export { Forwarder, type ForwarderOptions } from './forwarder.js';
export { headerNames, headerRecord, passedHeaders } from './headers.js';
export { Home } from './home.js';
export { type InnerHandlers, InnerServer } from './innerServer.js';
export { type Decision, Journal } from './journal.js';
export { LostContact, Peers } from './peers.js';
export { ReplayBody } from './replayBody.js';
export { type RequestId, RequestIds, parseRequestId } from './requestId.js';
export { RetryAllowance } from './retryAllowance.js';
export { RunningCall, RunningCalls } from './runningCalls.js';
export { TryMemory } from './tryMemory.js';
export { GRACE_MS, type LocalUpstream, UpstreamSide, type UpstreamSideOptions } from './upstreamSide.js';
