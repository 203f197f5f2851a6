/** The end of a daemon process: a stop that the platform asks for, or one after a failure of its code, whichever comes first. */
import { type DrainReason } from './drain.js';

/** Exit codes: a process that was told to stop ends with 0; the platform starts anew one that ends with 1. */
export type ExitCode = 0 | 1;

/** Dependencies of the stop. */
export interface ProcessStopOptions {
  /** Drains the daemon and closes everything, within the grace period. */
  readonly run: (reason: DrainReason) => Promise<void>;
  /** Called when the process is told to stop while it stops after a failure: its grace period begins then. */
  readonly extend: () => void;
  readonly exit: (code: ExitCode) => void;
  /** Ends the process when `run` has failed. */
  readonly fail: (error: unknown) => void;
}

/** Stops one process, once. */
export class ProcessStop {
  private isStopping = false;
  private isPlanned = false;

  constructor(private readonly options: ProcessStopOptions) {}

  /** Begins to stop. A stop that has begun for another reason continues; one that was asked for ends with its own code nevertheless. */
  begin(reason: DrainReason): void {
    const isFirstSignal = reason === 'planned' && !this.isPlanned;
    this.isPlanned ||= reason === 'planned';
    if (this.isStopping) {
      if (isFirstSignal) this.options.extend();
      return;
    }
    this.isStopping = true;
    const { run, exit, fail } = this.options;
    run(reason).then(() => exit(this.exitCode), fail);
  }

  get exitCode(): ExitCode {
    return this.isPlanned ? 0 : 1;
  }
}
