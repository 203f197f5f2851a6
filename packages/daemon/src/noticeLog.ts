/** Logs changes in what an upstream reports of itself in its response headers. */
import { type ResponseNotice, EMPTY_NOTICE } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';

/** Minimum time between two log entries for one upstream, ms: it may report a different rate in each response. */
const MIN_LOG_INTERVAL_MS = 1000;

/** Tracks the responses of one start of an upstream. */
export class NoticeLog {
  private lastNotice: ResponseNotice = EMPTY_NOTICE;
  private lastLoggedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly log: (message: string, facts: object) => void,
  ) {}

  /** Logs the notice of a response if it differs from the last one logged, at most once per interval. */
  update(notice: ResponseNotice, facts: object): void {
    const { rateLimit, isLeaving } = this.lastNotice;
    if (notice.rateLimit === rateLimit && notice.isLeaving === isLeaving) return;
    const now = this.clock.now();
    if (now - this.lastLoggedAt < MIN_LOG_INTERVAL_MS) return;
    this.lastLoggedAt = now;
    this.lastNotice = notice;
    if (notice.isLeaving && !isLeaving)
      this.log('An upstream reports in its responses that it is shutting down.', facts);
    if (notice.rateLimit !== rateLimit) this.logRateLimit(notice.rateLimit, { ...facts, before: rateLimit });
  }

  private logRateLimit(rateLimit: ResponseNotice['rateLimit'], facts: object): void {
    if (rateLimit === 'none') return this.log('An upstream no longer reports a rate limit.', facts);
    if (rateLimit !== 'unclear')
      return this.log('An upstream reports a rate limit.', { ...facts, requestsPerSecond: rateLimit });
    const failure = new Failure('An upstream reports a rate limit that is not a number.', {
      result: 'noticeInvalid',
      field: 'rateLimit',
    });
    this.log(failure.describe(), { ...facts, code: failure.row.code });
  }
}
