/** The header names and status codes that a daemon and its upstream use, which differ between platforms. */
import { type CallContext } from '@cleatquay/protocol';
import { type IncomingHttpHeaders } from 'node:http';
import { type AnswerNotice, answerNotice } from './answerNotice.js';
import { OWN_HEADERS, headerNames } from './headers.js';

/**
 * What a response of an upstream means for the request: it ran, it was not run, or another instance now responds at the
 * address, which has not run it either.
 */
export type AnswerMeaning = 'answer' | 'not-run' | 'other-instance';

export interface UpstreamDialect {
  /** Headers that the daemon adds to those of the caller, as alternating names and values. */
  readonly requestHeaders: (context: CallContext, instanceId: string) => string[];
  /** Response headers that are not forwarded; lower case. */
  readonly dropped: ReadonlySet<string>;
  /** Whether a response with these headers belongs to the request. */
  readonly isOwnAnswer: (status: number, headers: IncomingHttpHeaders, context: CallContext) => boolean;
  /** The instance id in a response to a health check; undefined if there is none. */
  readonly instanceOf: (headers: IncomingHttpHeaders) => string | undefined;
  /** Whether the upstream ran the request or reports that it did not. */
  readonly meaningOf: (status: number, headers: IncomingHttpHeaders) => AnswerMeaning;
  /** What a response reports of the upstream itself. */
  readonly noticeOf: (headers: IncomingHttpHeaders) => AnswerNotice;
}

const SHED_STATUSES = [429, 503];

/** The dialect of cleatquay's own headers. */
export const ownDialect: UpstreamDialect = {
  requestHeaders: ({ requestId, remainingMs, organisation }) => [
    headerNames.requestId,
    requestId,
    headerNames.timeoutMs,
    String(remainingMs),
    ...(organisation === '' ? [] : [headerNames.organisation, organisation]),
  ],
  dropped: OWN_HEADERS,
  isOwnAnswer: () => true,
  instanceOf: () => undefined,
  meaningOf: (status, headers) =>
    SHED_STATUSES.includes(status) && headers[headerNames.notRun] !== undefined ? 'not-run' : 'answer',
  noticeOf: headers => answerNotice(headers[headerNames.rateLimit], headers[headerNames.leaving]),
};
