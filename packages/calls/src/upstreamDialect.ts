/** The header names and status codes that a daemon and its upstream use, which differ between platforms. */
import { type CallContext } from '@cleatquay/protocol';
import { type IncomingHttpHeaders } from 'node:http';
import { type ResponseNotice, parseNotice } from './responseNotice.js';
import { type UpstreamLoad, parseUpstreamLoad } from './upstreamLoad.js';
import { STRIPPED_HEADERS, headerNames } from './headers.js';

/**
 * What a response of an upstream means for the request: it ran, it was not run, or another instance now responds at the
 * address, which has not run it either.
 */
export type ResponseMeaning = 'answer' | 'not-run' | 'other-instance';

export interface UpstreamDialect {
  /** Headers that the daemon adds to those of the caller, as alternating names and values. */
  readonly requestHeaders: (context: CallContext, instanceId: string) => string[];
  /** Response headers that are not forwarded; lower case. */
  readonly strippedHeaders: ReadonlySet<string>;
  /** Whether a response with these headers belongs to the request. `isFirst`: its connection has carried no other one. */
  readonly isOwnResponse: (
    status: number,
    headers: IncomingHttpHeaders,
    context: CallContext,
    isFirst: boolean,
  ) => boolean;
  /** The instance id in a response to a health check; undefined if there is none. */
  readonly instanceOf: (headers: IncomingHttpHeaders) => string | undefined;
  /** Whether the upstream ran the request or reports that it did not. */
  readonly meaningOf: (status: number, headers: IncomingHttpHeaders) => ResponseMeaning;
  /** What a response reports of the upstream itself. */
  readonly noticeOf: (headers: IncomingHttpHeaders) => ResponseNotice;
  /** The response header with the load of the upstream; lower case. */
  readonly loadHeader: string;
  /** The load that a response reports; undefined if it reports none, or figures that make no sense. */
  readonly loadOf: (headers: IncomingHttpHeaders) => UpstreamLoad | undefined;
}

const OVERLOAD_STATUSES = [429, 503];

/** The dialect of cleatquay's own headers. */
export const defaultDialect: UpstreamDialect = {
  requestHeaders: ({ requestId, remainingMs, organisation }) => [
    headerNames.requestId,
    requestId,
    headerNames.timeoutMs,
    String(remainingMs),
    ...(organisation === '' ? [] : [headerNames.organisation, organisation]),
  ],
  strippedHeaders: STRIPPED_HEADERS,
  isOwnResponse: () => true,
  instanceOf: () => undefined,
  meaningOf: (status, headers) =>
    OVERLOAD_STATUSES.includes(status) && headers[headerNames.notRun] !== undefined ? 'not-run' : 'answer',
  noticeOf: headers => parseNotice(headers[headerNames.rateLimit], headers[headerNames.leaving]),
  loadHeader: headerNames.load,
  loadOf: headers => parseUpstreamLoad(headers[headerNames.load]),
};
