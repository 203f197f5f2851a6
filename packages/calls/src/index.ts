/** Carries a request from its caller through the daemons to an upstream, with deadlines, retries and at-most-once execution. */
export { type AnswerNotice, NOTHING_SAID, answerNotice, isRate } from './answerNotice.js';
export { BodyCheck, replay } from './answers.js';
export {
  type CallResponse,
  type CallBody,
  type CallHandler,
  type CallRoute,
  EMPTY_BODY,
  singlePartResponse,
  isFinalPart,
  responseParts,
  routeFromHead,
} from './callHandler.js';
export { IdempotencyKeys } from './idempotencyKeys.js';
export { type CallerRequest, Ingress, type IngressOptions } from './ingress.js';
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
export { RequestDeduplicator } from './requestDeduplicator.js';
export { type InnerHandlers, InnerServer } from './innerServer.js';
export { type Decision, type DecisionSink, type Facts, DecisionTrace } from './decisionTrace.js';
export { ConnectionLoss } from './connectionLoss.js';
export { type Contact, Peers } from './peers.js';
export { ReplayBody } from './replayBody.js';
export { type RequestId, RequestIds, parseRequestId } from './requestId.js';
export { type Retry, TokenBucketRetryBudget, type RetryBudget } from './tokenBucketRetryBudget.js';
export { RunningCall, RunningCalls, type RunningRequest } from './runningCalls.js';
export { AttemptRegistry } from './attemptRegistry.js';
export { type LocalUpstream } from './localUpstream.js';
export {
  NON_IDEMPOTENT_GRACE_MS,
  UpstreamDispatcher,
  type UpstreamDispatcherOptions,
} from './upstreamDispatcher.js';
export {
  MisplacedAnswer,
  type UpstreamAnswer,
  UpstreamConnections,
  type UpstreamRequest,
} from './upstreamConnections.js';
export {
  type UpstreamCrash,
  CrashDetector,
  type CrashDetectorOptions,
  receivedFingerprint,
} from './crashDetector.js';
export { type AnswerMeaning, type UpstreamDialect, ownDialect } from './upstreamDialect.js';
export { type FleetRetryBounds, FleetRetryBudget } from './fleetRetryBudget.js';
export { QuotaGate, type QuotaGateOptions } from './quotaGate.js';
export { Authenticator } from './authenticator.js';
export { Relay, type RelayOptions, type RelayedRequest } from './relay.js';
export { type CalledRoute, LearnedCalls } from './learnedCalls.js';
export { type EncodedHead, HeadDecoder, HeadEncoder, MAX_TEMPLATES, NO_HEAD } from './headTemplates.js';
export { EMPTY_ITEM } from './linkParts.js';
export { LinkServer } from './linkServer.js';
export { FrameStream, type FrameStreamEvents } from './linkStream.js';
export { type RetryContext, type RetryDecision, decideRetry } from './decideRetry.js';
export { WorkTurns } from './workTurns.js';
