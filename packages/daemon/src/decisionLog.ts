/** Writes decisions about requests to the log, at a bounded rate. */
import { type Decision } from '@cleatquay/calls';
import { type Clock, type Timer } from '@cleatquay/clock';
import { type Logger } from 'pino';

/**
 * Lines that a daemon writes of requests in one second, at most: half a hundredth of a core.
 */
const LINES_A_SECOND = 250;
const SECOND_MS = 1000;

/** One second's share of lines; requests beyond it are counted, and the count is written. */
export class DecisionLog {
  private lines = 0;
  private leftOut = 0;
  private second: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** All decisions about one request, or none of them. */
  readonly write = (requestId: string, decisions: readonly Decision[]): void => {
    this.second ??= this.clock.after(SECOND_MS, () => this.endSecond());
    if (this.lines + decisions.length > LINES_A_SECOND) {
      this.leftOut++;
      return;
    }
    this.lines += decisions.length;
    for (const { at, what, facts } of decisions)
      this.log.info({ request: requestId, at, ...facts }, `Request: ${what}`);
  };

  private endSecond(): void {
    if (this.leftOut > 0) this.log.warn({ requests: this.leftOut }, 'Request: Lines of these were left out.');
    this.lines = 0;
    this.leftOut = 0;
    this.second = undefined;
  }
}
