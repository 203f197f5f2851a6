/** Logs decisions about requests at a bounded rate. */
import { type Decision } from '@cleatquay/calls';
import { type Clock, type Timer } from '@cleatquay/clock';
import { type Logger } from 'pino';

/** Upper bound of the lines per second about requests; writing so many takes 0.5 % of a core. */
const MAX_LINES_PER_WINDOW = 250;
const WINDOW_MS = 1000;

/** Logs a bounded number of lines per second, then counts the further requests and logs how many were dropped. */
export class DecisionLog {
  private writtenLines = 0;
  private droppedRequests = 0;
  private windowTimer: Timer | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
  ) {}

  /** Logs all decisions about a request, or none of them. */
  readonly write = (requestId: string, decisions: readonly Decision[]): void => {
    this.windowTimer ??= this.clock.after(WINDOW_MS, () => this.endWindow());
    if (this.writtenLines + decisions.length > MAX_LINES_PER_WINDOW) {
      this.droppedRequests++;
      return;
    }
    this.writtenLines += decisions.length;
    for (const { at, what, facts } of decisions)
      this.log.info({ request: requestId, at, ...facts }, `Request: ${what}`);
  };

  private endWindow(): void {
    if (this.droppedRequests > 0)
      this.log.warn(
        { requests: this.droppedRequests },
        'Request: Decisions about some requests were not logged, to bound the log rate.',
      );
    this.writtenLines = 0;
    this.droppedRequests = 0;
    this.windowTimer = undefined;
  }
}
