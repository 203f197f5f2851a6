/** Tells the log what an upstream says of itself in its answers, when that changes. */
import { type AnswerNotice, NOTHING_SAID } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';

/** Pause between two lines on one upstream, ms: it may name another rate in each answer. */
const PAUSE_MS = 1000;

/** Follows the answers of one start of an upstream. */
export class NoticeLog {
  private logged: AnswerNotice = NOTHING_SAID;
  private loggedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private readonly log: (message: string, facts: object) => void,
  ) {}

  /** Takes what one answer says. */
  heard(notice: AnswerNotice, facts: object): void {
    const { rateLimit, isLeaving } = this.logged;
    if (notice.rateLimit === rateLimit && notice.isLeaving === isLeaving) return;
    const now = this.clock.now();
    if (now - this.loggedAt < PAUSE_MS) return;
    this.loggedAt = now;
    this.logged = notice;
    if (notice.isLeaving && !isLeaving) this.log('An upstream says in its answers that it leaves.', facts);
    if (notice.rateLimit !== rateLimit) this.logRate(notice.rateLimit, { ...facts, before: rateLimit });
  }

  private logRate(rateLimit: AnswerNotice['rateLimit'], facts: object): void {
    if (rateLimit === 'none') return this.log('An upstream names no rate limit any more.', facts);
    if (rateLimit !== 'unclear')
      return this.log('An upstream names a rate limit.', { ...facts, requestsPerSecond: rateLimit });
    const failure = new Failure('An upstream names a rate limit that is no number.', {
      result: 'noticeInvalid',
      field: 'rateLimit',
    });
    this.log(failure.describe(), { ...facts, code: failure.row.code });
  }
}
