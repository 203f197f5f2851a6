/** The table of result codes. docs/RESULT-CODES.md lists the same rows for operators and callers. */

/** What a result means for the request: it has not run anywhere, it may have run, or it ran and failed. */
export type Outcome = 'not-run' | 'unknown' | 'failed';

/** One row of the table. */
export interface ResultCode {
  /** Never reused for another meaning. */
  readonly code: number;
  /** Status of the HTTP response. */
  readonly status: number;
  readonly outcome: Outcome;
  /** What the recipient should do next. */
  readonly advice: string;
}

const row = (code: number, status: number, outcome: Outcome, advice: string): ResultCode => ({
  code,
  status,
  outcome,
  advice,
});

/** 1xxx: input; 2xxx: not run; 3xxx: unknown; 4xxx: failed after running; 5xxx: platform; 6xxx: processes. */
export const resultCodes = {
  settingsInvalid: row(1001, 400, 'not-run', 'Correct the named field of the settings file.'),
  settingsUnreadable: row(1002, 400, 'not-run', 'Check the path and that the file holds JSON.'),
  configurationInvalid: row(1003, 400, 'not-run', 'Correct the named field; nothing was applied.'),
  callCycle: row(1004, 400, 'not-run', 'Break the cycle in "calls"; nothing was applied.'),
  idempotenceBroken: row(
    1005,
    400,
    'not-run',
    'An idempotent route may only call idempotent routes; nothing was applied.',
  ),
  announcementInvalid: row(
    1006,
    400,
    'not-run',
    'Correct the announcement; the upstream receives no requests.',
  ),
  announcementUnreachable: row(
    1007,
    400,
    'not-run',
    'Announce an address of this VM that accepts connections.',
  ),
  headerInvalid: row(1008, 400, 'not-run', 'Correct the named header.'),
  requestTooLarge: row(1009, 413, 'not-run', 'Send a smaller body.'),
  routeUnknown: row(1010, 404, 'not-run', 'Request a route that the configuration declares.'),
  callUndeclared: row(1011, 403, 'not-run', 'Declare the call in the configuration of the calling route.'),
  innerMessageInvalid: row(1012, 400, 'not-run', 'Check that all daemons run compatible versions.'),
  requestIdInvalid: row(1013, 400, 'not-run', 'Use an id that a daemon issued, unchanged.'),
  usageInvalid: row(1014, 400, 'not-run', 'See cleatquay --help.'),
  keyMissing: row(1015, 401, 'not-run', 'Send one key, as "Authorization: Bearer KEY".'),
  keyUnknown: row(
    1016,
    401,
    'not-run',
    'Request a key from the operators: this one belongs to no organisation.',
  ),
  noticeInvalid: row(
    1017,
    400,
    'not-run',
    'Correct what the upstream reports in its response headers; its earlier report stays in effect.',
  ),
  bodyIncomplete: row(
    1018,
    400,
    'unknown',
    'Send the complete body. The upstream may have received the beginning; its run was cancelled.',
  ),
  bodyTimedOut: row(1019, 408, 'not-run', 'Send the body without long pauses.'),
  overloaded: row(2001, 503, 'not-run', 'Retry after the time in Retry-After.'),
  refusedEarly: row(2002, 503, 'not-run', 'Retry after the time in Retry-After.'),
  draining: row(2003, 503, 'not-run', 'Send the request to another daemon; this one is shutting down.'),
  noUpstream: row(2004, 503, 'not-run', 'This daemon knows no upstream of the service; retry later.'),
  deadlineTooShort: row(
    2005,
    504,
    'not-run',
    'Allow more time: the request would have finished after its deadline.',
  ),
  otherEpoch: row(2006, 503, 'not-run', 'The daemon was restarted; the call may be sent to another one.'),
  sealed: row(2007, 503, 'not-run', 'The attempt was cancelled before it arrived.'),
  memoryFull: row(2008, 503, 'not-run', 'Retry later: the memory for non-idempotent requests is full.'),
  noConfiguration: row(2009, 503, 'not-run', 'Apply a configuration, or wait until this daemon has it.'),
  unreachable: row(2010, 503, 'not-run', "The upstream's daemon could not be reached; retry later."),
  parentEnded: row(
    2011,
    409,
    'not-run',
    'The request that this call belongs to has ended; stop processing it.',
  ),
  shedByUpstream: row(
    2012,
    503,
    'not-run',
    'The upstream has no capacity; retry after the time in Retry-After.',
  ),
  quarantined: row(
    2013,
    503,
    'not-run',
    'Upstreams crashed while they ran this request: correct the request, or have an operator release it.',
  ),
  keysUnproven: row(
    2014,
    503,
    'not-run',
    'Retry after the time in Retry-After, preferably at another daemon: this one cannot reach the platform.',
  ),
  quotaExceeded: row(
    2015,
    429,
    'not-run',
    'The organisation exceeds its quota; retry after the time in Retry-After.',
  ),
  quotaUnreachable: row(
    2016,
    503,
    'not-run',
    "The coordinators of the organisation's quota could not be reached; retry after the time in Retry-After.",
  ),
  uploadMemoryFull: row(
    2017,
    503,
    'not-run',
    'Retry after the time in Retry-After: the memory of the daemon for uploads is full.',
  ),
  requestTimedOut: row(
    3007,
    504,
    'unknown',
    "There was no response within the route's timeout; the request may still run.",
  ),
  claimsUnavailable: row(
    3006,
    503,
    'unknown',
    'This attempt did not run, an earlier one may have: retry later with the same Idempotency-Key.',
  ),
  contactLost: row(
    3001,
    504,
    'unknown',
    'Send the request again with the same request id to learn how it went.',
  ),
  homeUnreachable: row(3002, 504, 'unknown', 'Send the request again with the same request id, later.'),
  requestIdExpired: row(
    3003,
    410,
    'unknown',
    'The request id has expired, so the result is unknown; check with the service itself.',
  ),
  homeRestarted: row(
    3004,
    410,
    'unknown',
    'The daemon that issued the request id has restarted or is gone; check with the service itself.',
  ),
  deadlinePassed: row(
    3005,
    504,
    'unknown',
    'Send the request again with the same request id to learn how it went.',
  ),
  upstreamUnresponsive: row(
    3008,
    502,
    'unknown',
    'The upstream was full and never responded: send the request again if the route is idempotent.',
  ),
  upstreamBroke: row(
    4001,
    502,
    'failed',
    'The upstream returned no usable response; the request may have had an effect.',
  ),
  upstreamEnded: row(
    4004,
    502,
    'failed',
    'The upstream crashed during the request, which may have had an effect. A request that crashes more upstreams is quarantined.',
  ),
  upstreamShed: row(4002, 503, 'failed', 'The upstream itself refused the request; retry later.'),
  answerIncomplete: row(4003, 502, 'failed', 'The response was truncated; retry if the route is idempotent.'),
  responseUndelimited: row(
    4005,
    502,
    'failed',
    'Send such requests with HTTP/1.1: a caller of HTTP/1.0 can tell the end of a response only by its length.',
  ),
  platformDown: row(
    5001,
    503,
    'unknown',
    'Check the platform; daemons continue with their last known state.',
  ),
  platformAnswerInvalid: row(5002, 502, 'unknown', "Check the platform's version and address."),
  applyConflict: row(
    5003,
    409,
    'not-run',
    'Another operator applied a change first: check the difference and apply again.',
  ),
  objectMissing: row(5004, 404, 'not-run', "Check the generation and the platform's object store."),
  daemonUnreachable: row(6001, 503, 'unknown', "Check the daemon's operator address."),
  notInForce: row(6002, 504, 'unknown', 'Accepted, but not confirmed as active on the named daemons yet.'),
  linesMissing: row(
    6003,
    404,
    'unknown',
    'Add the logs of the other daemons, or query a daemon that still has the records.',
  ),
  notHeldBack: row(6005, 404, 'not-run', 'Take the fingerprint from cleatquay quarantine.'),
  addressTaken: row(6004, 503, 'not-run', 'Free the address, or set another one.'),
  internal: row(6999, 500, 'unknown', 'Report this with the log lines around it.'),
} as const;

/** The name of a result. */
export type ResultName = keyof typeof resultCodes;

const byCode = new Map<number, ResultName>(
  (Object.keys(resultCodes) as ResultName[]).map(name => [resultCodes[name].code, name]),
);

/** The name of a result code; `internal` for an unknown code. */
export function resultByCode(code: number): ResultName {
  return byCode.get(code) ?? 'internal';
}
