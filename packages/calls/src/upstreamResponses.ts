/** Judges the responses of the local upstreams: whether the request ran, and whether the response is whole as far as its end shows. */
import { type Clock } from '@cleatquay/clock';
import { type AnswerHead, type Load, type Refusal, createRefusal, refusalPart } from '@cleatquay/protocol';
import { type AttemptRegistry } from './attemptRegistry.js';
import { type CallResponse, singlePartResponse } from './callHandler.js';
import { refusesConnections } from './crashDetector.js';
import { type DelimiterHistory } from './delimiterHistory.js';
import { forwardedHeaders } from './headers.js';
import { type LocalUpstream } from './localUpstream.js';
import { toCallResponse } from './responses.js';
import { type UpstreamDialect } from './upstreamDialect.js';
import { type UpstreamResponse } from './upstreamExchange.js';
import { type AdmittedCall } from './upstreamFailures.js';

const OVERLOAD_STATUSES = [429, 503];

/** Dependencies on the daemon. */
export interface UpstreamResponsesOptions {
  readonly clock: Clock;
  readonly dialect: UpstreamDialect;
  readonly attempts: AttemptRegistry;
  readonly delimiters: DelimiterHistory;
  /** The load that is reported to the sender of a call. */
  readonly loadOf: (call: AdmittedCall) => Load;
}

/** Retries that a run may still use; its calls take and return them. */
interface RetryTokens {
  readonly retryTokens: number;
}

/** Turns the responses of upstreams into those of calls. */
export class UpstreamResponses {
  constructor(private readonly options: UpstreamResponsesOptions) {}

  /** The response of a call, or its refusal if the upstream did not run it or its response may be truncated. */
  toCallResponse(call: AdmittedCall, run: RetryTokens, response: UpstreamResponse): CallResponse {
    const { attempts, dialect } = this.options;
    const { head, context, route, upstream, permit } = call;
    const { status, headers, delimiter } = response;
    const refuse = (refusal: Refusal) =>
      singlePartResponse(refusalPart(refusal, run.retryTokens, this.options.loadOf(call)));
    const meaning = dialect.meaningOf(status, headers);
    if (meaning === 'other-instance') upstream.onReplaced();
    if (meaning !== 'answer') {
      permit.release('shed');
      if (!route.idempotent) attempts.markNotDispatched(context.requestId);
      return refuse(createRefusal('shedByUpstream', 'The upstream did not run the request.', SHED_DETAILS));
    }
    const process = { service: head.service, start: upstream.start };
    if (this.options.delimiters.isSuspect(process, route.name, status, delimiter)) {
      permit.release('failed');
      if (!route.idempotent) attempts.markEnded(context.requestId, undefined);
      return refuse(createRefusal('answerIncomplete', MAYBE_TRUNCATED, { elsewhereHelps: true }));
    }
    return this.pass(call, run, response);
  }

  /**
   * Throws if the upstream's process has ended with a close-delimited response: the kernel then closes the connection as if the response were
   * complete. Nothing distinguishes it from one that is shutting down and has only stopped listening.
   */
  async checkEnd({ delimiter }: UpstreamResponse, { address }: LocalUpstream): Promise<void> {
    if (delimiter !== 'close') return;
    if (await refusesConnections(this.options.clock, address))
      throw new Error('The upstream ended with the connection that delimits its response.');
  }

  private pass(
    call: AdmittedCall,
    run: RetryTokens,
    { status, headers, delimiter, start, rest }: UpstreamResponse,
  ): CallResponse {
    const { attempts, dialect, loadOf } = this.options;
    const { context, route, permit } = call;
    const head: AnswerHead = {
      unframed: delimiter === 'close',
      length: delimiter === 'length' ? Number(headers['content-length']) : undefined,
      status,
      headers: forwardedHeaders(headers, dialect.strippedHeaders),
    };
    const response = toCallResponse(head, start, rest, () => {
      permit.release(OVERLOAD_STATUSES.includes(status) ? 'shed' : 'answered');
      return { load: loadOf(call), unusedRetryTokens: run.retryTokens };
    });
    if (!route.idempotent && !response.rest)
      attempts.markEnded(context.requestId, { head, body: response.first.body });
    return response;
  }
}

const MAYBE_TRUNCATED =
  'The response is close-delimited, though the upstream otherwise sends lengths, so that it may be truncated.';

/** A full upstream takes about this long to clear its backlog. */
const SHED_DETAILS = { elsewhereHelps: true, retryAfterMs: 1000 };
