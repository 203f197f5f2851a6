/** Enforces the quotas of organisations before their requests use a slot or a retry anywhere, and counts how the requests end. */
import { type Clock } from '@cleatquay/clock';
import { resultCodes } from '@cleatquay/errors';
import {
  type Organisation,
  type OrganisationCounts,
  type Quota,
  type Quotas,
  type RequestDisposition,
  type QuotaDecision,
} from '@cleatquay/organisations';
import { type CallContext, type Refusal, refusalPart, createRefusal } from '@cleatquay/protocol';
import { type CallResponse, singlePartResponse } from './callHandler.js';
import { type DecisionTrace } from './decisionTrace.js';
import { MIN_SERVER_ERROR_STATUS, recordOutcome } from './recordOutcome.js';

/** No quota coordinator responded in time; if it has failed, another daemon replaces it within a second. */
const QUOTA_UNREACHABLE_RETRY_AFTER_MS = 500;

/** Dependencies on the daemon. */
export interface QuotaGateOptions {
  readonly clock: Clock;
  readonly decisionTrace: DecisionTrace;
  readonly quotas: () => Pick<Quotas, 'acquire' | 'refund'>;
  readonly counts: OrganisationCounts;
  /** Age of the freshness proof of the active configuration, ms. */
  readonly proofAgeMs: () => number;
}

/** Forwards a request with the given context. */
export type ForwardRequest = (context: CallContext) => Promise<CallResponse>;

/** The quota enforcement of one daemon. */
export class QuotaGate {
  constructor(private readonly options: QuotaGateOptions) {}

  /** Forwards a request of an organisation, or refuses it if the quota is exhausted or no coordinator responds. */
  async forwardWithinQuota(
    organisation: Organisation,
    context: CallContext,
    forward: ForwardRequest,
  ): Promise<CallResponse> {
    const { name, quota } = organisation;
    const response = await (quota ? this.withinQuota(name, quota, context, forward) : forward(context));
    this.options.counts.record(name, dispositionOf(response));
    return response;
  }

  /** The facts that the decision trace records about a request of an organisation. */
  factsOf(organisation: string): { organisation: string; proofAgeMs: number } {
    return { organisation, proofAgeMs: Math.round(this.options.proofAgeMs()) };
  }

  /** Acquires a token of the quota, and refunds it if the request did not run. */
  private async withinQuota(
    organisation: string,
    quota: Quota,
    context: CallContext,
    forward: ForwardRequest,
  ): Promise<CallResponse> {
    const { clock, quotas } = this.options;
    const startedAt = clock.now();
    const decision = await quotas().acquire(organisation, quota);
    if (decision.kind !== 'taken') return this.refuse(context, organisation, quota, decision);
    const remainingMs = Math.max(1, Math.floor(context.remainingMs - (clock.now() - startedAt)));
    const response = await forward({ ...context, remainingMs });
    if (response.first.refusal?.outcome === 'not-run') quotas().refund(organisation, decision.at);
    return response;
  }

  private refuse(
    { requestId, retryTokens }: CallContext,
    organisation: string,
    quota: Quota,
    decision: Exclude<QuotaDecision, { kind: 'taken' }>,
  ): CallResponse {
    const { decisionTrace } = this.options;
    const facts = { ...this.factsOf(organisation), ...quota, ...decision };
    decisionTrace.record(
      requestId,
      'Refused: no token of the quota of its organisation was acquired.',
      facts,
    );
    const response = singlePartResponse(refusalPart(refusalFor(organisation, decision), retryTokens));
    recordOutcome(decisionTrace, requestId, response, 0);
    return response;
  }
}

function refusalFor(organisation: string, decision: Exclude<QuotaDecision, { kind: 'taken' }>): Refusal {
  if (decision.kind === 'unknown')
    return createRefusal('quotaUnreachable', 'No quota coordinator responded in time.', {
      retryAfterMs: QUOTA_UNREACHABLE_RETRY_AFTER_MS,
    });
  return createRefusal('quotaExceeded', `${organisation} has used up its quota.`, {
    retryAfterMs: Math.max(1, Math.round(decision.retryAfterMs)),
  });
}

function dispositionOf({ first: { refusal, head } }: CallResponse): RequestDisposition {
  if (refusal?.code === resultCodes.quotaExceeded.code) return 'over-quota';
  if (refusal) return refusal.outcome === 'not-run' ? 'refused' : 'failed';
  return (head?.status ?? 0) < MIN_SERVER_ERROR_STATUS ? 'answered' : 'failed';
}
