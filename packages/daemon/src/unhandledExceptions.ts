/**
 * What a daemon process does about exceptions and rejections that nothing handles. By default they end it, and with it every request in flight; the
 * process logs them instead, and ends once these have their responses, for a bounded time.
 */
import { type Clock, type Timer } from '@cleatquay/clock';
import { boundedLog } from './boundedLog.js';
import { type Outstanding } from './drain.js';

/** Upper bound of the message and of the stack in the log, characters: a message may quote what others sent. */
const MAX_TEXT = 4000;
/** Lines about exceptions after the first one: they may come with each timer, and the first one is likely to be their cause. */
const MAX_LATER_LINES = 4;

/** The events of a process by which Node.js reports what nothing handles; a rejection is reported as an exception, too. */
export interface ExceptionSource {
  on(event: 'uncaughtException', listener: (error: unknown, origin: string) => void): unknown;
}

/** A stream of the process, to which libraries may write. */
export interface OutputStream {
  on(event: 'error', listener: () => void): unknown;
}

/** What the first log line states of the process. */
export interface ProcessFacts extends Outstanding {
  /** Event-loop lag, ms. */
  readonly lagMs: number;
}

/** Dependencies of the handler. */
export interface UnhandledExceptionsOptions {
  readonly clock: Clock;
  readonly facts: () => ProcessFacts;
  readonly log: (message: string, facts: object) => void;
  /** Begins to drain the process and ends it then; called at the first exception only. */
  readonly stop: () => void;
  /** Time from the first exception after which the process ends in any case, ms. */
  readonly maxStopMs: number;
  /** Ends the process at once. */
  readonly exit: () => void;
}

/** Handles the exceptions of one process. */
export class UnhandledExceptions {
  /** Monotonic time of the first one, ms. */
  private firstAt: number | undefined;
  private limit: Timer | undefined;
  private readonly log: (message: string, facts: object) => void;

  constructor(private readonly options: UnhandledExceptionsOptions) {
    this.log = boundedLog(options.log, MAX_LATER_LINES + 1);
  }

  /** Handles what the process reports from now on. A failure of its output ends nothing: nobody needs the log to be served. */
  watch(source: ExceptionSource, outputs: readonly OutputStream[]): void {
    source.on('uncaughtException', (error, origin) => this.handle(error, origin));
    for (const output of outputs) output.on('error', () => undefined);
  }

  /** The process may take the whole time again, counted from now, if it ends after an exception. */
  extend(): void {
    if (this.firstAt === undefined) return;
    this.firstAt = this.options.clock.now();
    this.startLimit();
  }

  private startLimit(): void {
    const { clock, maxStopMs, exit } = this.options;
    this.limit?.[Symbol.dispose]();
    this.limit = clock.after(maxStopMs, exit);
  }

  private handle(error: unknown, origin: string): void {
    const { clock, maxStopMs, exit } = this.options;
    const now = clock.now();
    const isFirst = this.firstAt === undefined;
    this.firstAt ??= now;
    // An exception in this listener would end the process.
    ignoreExceptions(() => this.record(error, origin));
    if (isFirst) this.begin();
    else if (now - this.firstAt >= maxStopMs) exit();
  }

  private begin(): void {
    this.startLimit();
    ignoreExceptions(this.options.stop);
  }

  private record(error: unknown, origin: string): void {
    this.log('Daemon: Met an exception that nothing handles. Draining.', {
      origin,
      ...describe(error),
      ...this.options.facts(),
    });
  }
}

function describe(error: unknown): { error: string; stack?: string } {
  if (!(error instanceof Error)) return { error: String(error).slice(0, MAX_TEXT) };
  const { message, stack = '' } = error;
  return { error: message.slice(0, MAX_TEXT), stack: stack.slice(0, MAX_TEXT) };
}

function ignoreExceptions(action: () => void): void {
  try {
    action();
  } catch {
    // Whatever it could not do, the process has to end as if it had.
  }
}
