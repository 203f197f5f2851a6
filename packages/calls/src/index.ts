/** Carries a request from its caller through the daemons to an upstream, with deadlines, retries and at-most-once execution. */
export { type AnswerNotice, NOTHING_SAID, answerNotice, isRate } from './answerNotice.js';
export { BodyCheck, replay } from './answers.js';
export {
  type CallAnswer,
  type CallBody,
  type CallHandler,
  type CallRoute,
  EMPTY_BODY,
  answerOf,
  isLast,
  partsOf,
  routeOfHead,
} from './callHandler.js';
export { Claims } from './claims.js';
export { type CallerRequest, Entry, type EntryOptions } from './entry.js';
export { Forwarder, type ForwarderOptions } from './forwarder.js';
export {
  CONNECTION_HEADERS,
  CREDENTIALS,
  OWN_HEADERS,
  OWN_HEADERS_WITH_KEYS,
  type HeaderBlock,
  headerList,
  headerNames,
  passedHeaders,
  passedRawHeaders,
} from './headers.js';
export { HeardNotices } from './heardNotices.js';
export { TransitDelays, toSentAt } from './frameDelays.js';
export { Home } from './home.js';
export { type InnerHandlers, InnerServer } from './innerServer.js';
export { type Decision, type DecisionSink, type Facts, Journal } from './journal.js';
export { LostContact } from './lostContact.js';
export { type Contact, Peers } from './peers.js';
export { ReplayBody } from './replayBody.js';
export { type RequestId, RequestIds, parseRequestId } from './requestId.js';
export { type Repeat, RetryAllowance, type RetryBudget } from './retryAllowance.js';
export { RunningCall, RunningCalls, type RunningRequest } from './runningCalls.js';
export { TryMemory } from './tryMemory.js';
export { type LocalUpstream } from './localUpstream.js';
export { GRACE_MS, UpstreamSide, type UpstreamSideOptions } from './upstreamSide.js';
export {
  MisplacedAnswer,
  type UpstreamAnswer,
  UpstreamConnections,
  type UpstreamRequest,
} from './upstreamConnections.js';
export { type UpstreamEnd, UpstreamEnds, type UpstreamEndsOptions, fingerprintAt } from './upstreamEnds.js';
export { type AnswerMeaning, type UpstreamDialect, ownDialect } from './upstreamDialect.js';
export { type FleetRetryBounds, FleetRetryBudget } from './fleetRetryBudget.js';
export { QuotaGate, type QuotaGateOptions } from './quotaGate.js';
export { Senders } from './senders.js';
export { Relay, type RelayOptions, type RelayedRequest } from './relay.js';
export { type CalledRoute, LearnedCalls } from './learnedCalls.js';
export { type EncodedHead, HeadDecoder, HeadEncoder, MAX_TEMPLATES, NO_HEAD } from './headTemplates.js';
export { EMPTY_ITEM } from './linkParts.js';
export { LinkServer } from './linkServer.js';
export { FrameStream, type FrameStreamEvents } from './linkStream.js';
export { type FailedTry, type NextTry, nextTry } from './nextTry.js';
export { WorkTurns } from './workTurns.js';
