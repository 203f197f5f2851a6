/** Carries a request from its caller through the daemons to an upstream, with deadlines, retries and at-most-once execution. */
export { type ResponseNotice, EMPTY_NOTICE, parseNotice, isValidRate } from './responseNotice.js';
export { BodyChecksum, createPart, replay } from './responses.js';
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
export { type UnsentReason } from './forwardedCall.js';
export { RoomWaits } from './roomWaits.js';
export {
  HOP_BY_HOP_HEADERS,
  AUTHORIZATION_HEADER,
  STRIPPED_HEADERS,
  STRIPPED_HEADERS_WITH_AUTHORIZATION,
  type HeaderBlock,
  parseHeaderBlock,
  headerNames,
  forwardedHeaders,
  forwardedRawHeaders,
} from './headers.js';
export { PeerNotices } from './peerNotices.js';
export { TransitDelays, toSentAt } from './transitDelays.js';
export { RequestDeduplicator } from './requestDeduplicator.js';
export { type PeerHandlers, PeerServer } from './peerServer.js';
export { type Decision, type DecisionSink, type Facts, DecisionTrace } from './decisionTrace.js';
export { DrainEnd } from './drainEnd.js';
export { ConnectionLoss } from './connectionLoss.js';
export { ProcessIdentity, UNKNOWN_PROCESS } from './processIdentity.js';
export { type Reachability, Peers } from './peers.js';
export { ReplayableBody } from './replayableBody.js';
export { type RequestId, RequestIdIssuer, parseRequestId } from './requestId.js';
export {
  type Retry,
  type TakenRetry,
  TokenBucketRetryBudget,
  type RetryBudget,
} from './tokenBucketRetryBudget.js';
export { RunningCall, RunningCalls, type RunningRequest } from './runningCalls.js';
export { AttemptRegistry } from './attemptRegistry.js';
export { type LocalUpstream } from './localUpstream.js';
export {
  NON_IDEMPOTENT_GRACE_MS,
  UpstreamDispatcher,
  type UpstreamDispatcherOptions,
} from './upstreamDispatcher.js';
export { isConnectFailure } from './connectFailure.js';
export { UpstreamConnections } from './upstreamConnections.js';
export { DelimiterHistory, MAX_CLOSE_DELIMITED_ROUTES } from './delimiterHistory.js';
export { isBodyless } from './responseDelimiter.js';
export { type ResponseDelimiter } from './responseDelimiter.js';
export { ResponseMismatch, type UpstreamResponse, type UpstreamRequest } from './upstreamExchange.js';
export {
  type UpstreamCrash,
  CrashDetector,
  type CrashDetectorOptions,
  receivedFingerprint,
} from './crashDetector.js';
export { type ResponseMeaning, type UpstreamDialect, defaultDialect } from './upstreamDialect.js';
export { type AgedUpstreamLoad, LatestUpstreamLoad } from './latestUpstreamLoad.js';
export { ForeignRuns, type OccupancyReport } from './foreignRuns.js';
export { type RequestProgress, UnqueuedRequest } from './requestProgress.js';
export {
  type CheckedRequests,
  type LoadCheck,
  type SentRequest,
  UnqueuedRequests,
} from './unqueuedRequests.js';
export { type UpstreamLoad, parseUpstreamLoad } from './upstreamLoad.js';
export { type FleetRetryBounds, FleetRetryBudget } from './fleetRetryBudget.js';
export { QuotaGate, type QuotaGateOptions } from './quotaGate.js';
export { Authenticator } from './authenticator.js';
export { Relay, type RelayOptions, type RelayedRequest } from './relay.js';
export { type CalledRoute, LearnedCalls } from './learnedCalls.js';
export { type EncodedHead, HeadDecoder, HeadEncoder, MAX_TEMPLATES, NO_HEAD } from './headCompression.js';
export { EMPTY_ITEM } from './flowControl.js';
export { LinkClient } from './linkClient.js';
export { LinkServer } from './linkServer.js';
export { FrameStream, type FrameStreamEvents } from './frameStream.js';
export { type RetryContext, type RetryDecision, decideRetry } from './decideRetry.js';
export { whenCancelled } from './runCancellation.js';
export { CallChains } from './callChains.js';
export { ChainAdmission } from './chainAdmission.js';
export { ChainOutlooks, type WasteCause } from './chainOutlooks.js';
export { CallResends } from './callResends.js';
export { callsAtRisk, retryOrder } from './retryValue.js';
export { StreamPacer } from './streamPacer.js';
export { RequestScheduler } from './requestScheduler.js';
export {
  INGRESS_UPLOAD_BYTES,
  UPLOAD_BUDGET_BYTES,
  UPSTREAM_UPLOAD_BYTES,
  UploadBudget,
  type UploadReservation,
} from './uploadBudget.js';
export { type RequestBody, type UploadableBody, type UploadSource } from './requestBody.js';
export { UploadBody, type UploadProgress } from './uploadBody.js';
export { Uploads } from './uploads.js';
export { refusalForFailure } from './decideUploadReplay.js';
export { withUploadIntake } from './uploadIntake.js';
export { LossAdmission, type RequestEnd } from './lossAdmission.js';
export { MIN_SERVER_ERROR_STATUS } from './recordOutcome.js';
