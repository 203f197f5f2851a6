/** How requests and answers between a daemon and its upstream are marked: what differs between installations. */
import { type CallContext } from '@cleatquay/protocol';
import { type IncomingHttpHeaders } from 'node:http';
import { type AnswerNotice, answerNotice } from './answerNotice.js';
import { OWN_HEADERS, headerNames } from './headers.js';

/** What an answer of an upstream says of the request: `other-instance` did not run it either. */
export type AnswerMeaning = 'answer' | 'not-run' | 'other-instance';

/** The marks on requests and answers. */
export interface UpstreamDialect {
  /** Headers that the daemon sets on a request, beside those of the caller: names and values by turns. */
  readonly requestHeaders: (context: CallContext, instanceId: string) => string[];
  /** Names, in lower case, of answer headers that are not passed on. */
  readonly dropped: ReadonlySet<string>;
  /** Whether an answer with these headers is one to the request. */
  readonly isOwnAnswer: (status: number, headers: IncomingHttpHeaders, context: CallContext) => boolean;
  /** The instance that an answer to a health check names; undefined if it names none. */
  readonly instanceOf: (headers: IncomingHttpHeaders) => string | undefined;
  /** Whether the upstream ran the request or says that it didn't. */
  readonly meaningOf: (status: number, headers: IncomingHttpHeaders) => AnswerMeaning;
  /** What an answer says of the upstream itself. */
  readonly noticeOf: (headers: IncomingHttpHeaders) => AnswerNotice;
}

const SHED_STATUSES = [429, 503];

/** The project's own marks. */
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
