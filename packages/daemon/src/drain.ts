/** How a daemon that shuts down waits for its requests in flight. */
import { DrainEnd } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';

/** Interval at which requests in flight are checked, ms. */
const POLL_MS = 25;
/** Ratio of the grace period that the drain may take; the rest is for closing before the process is killed. */
const GRACE_RATIO = 0.85;

/** Requests that a daemon has not responded to. */
export interface Outstanding {
  /** Of its callers. */
  readonly inFlight: number;
  /** At its local upstreams. */
  readonly running: number;
}

/** Dependencies of a drain. */
export interface DrainOptions {
  readonly clock: Clock;
  /** Time from the signal to shut down until the process is killed, ms. */
  readonly graceMs: number;
  readonly outstanding: () => Outstanding;
  readonly log: (message: string, facts: object) => void;
}

/**
 * Why a daemon shuts down. In a planned stop it serves new requests for as long as callers are still sent to it; after a failure of its code it begins
 * no work any more.
 */
export type DrainReason = 'planned' | 'failure';

/** The drain of one daemon. */
export class Drain {
  /** Tells the requests that are still in flight at the end of the drain. */
  readonly end = new DrainEnd();
  /** Monotonic time, ms; undefined before the drain. */
  private startedAt: number | undefined;
  /** Monotonic time at which the drain stops waiting for requests in flight, ms; after the drain, the time at which it ended. */
  private deadline = Number.POSITIVE_INFINITY;
  private reason: DrainReason = 'planned';

  constructor(private readonly options: DrainOptions) {}

  get hasStarted(): boolean {
    return this.startedAt !== undefined;
  }

  /** Time that a request which arrives now may take, ms; infinite before the drain, at most 0 after it. */
  get timeLeftMs(): number {
    return this.deadline - this.options.clock.now();
  }

  /** Whether new requests are refused, other than the calls of requests in flight. */
  get refusesRequests(): boolean {
    return this.hasStarted && this.reason === 'failure';
  }

  start(reason: DrainReason): void {
    const { clock, graceMs } = this.options;
    this.reason = reason;
    this.startedAt = clock.now();
    this.deadline = this.startedAt + graceMs * GRACE_RATIO;
  }

  /** Gives requests in flight the whole grace period from now on, if the drain still waits for them: the daemon is told to stop. */
  extend(): void {
    const { clock, graceMs } = this.options;
    if (this.timeLeftMs > 0) this.deadline = clock.now() + graceMs * GRACE_RATIO;
  }

  /** Waits until no request is in flight, or the time is over. From then on none has time left: callers use open connections until these are closed. */
  async waitUntilIdle(): Promise<void> {
    const { clock } = this.options;
    while (!this.isIdle() && this.timeLeftMs > 0) await clock.sleep(POLL_MS);
    this.deadline = Math.min(this.deadline, clock.now());
    this.log('Daemon: Stopped waiting for requests in flight.');
    this.end.reach();
  }

  /** Logs a step of the shutdown with the requests that are outstanding. */
  log(message: string): void {
    const { clock, outstanding, log } = this.options;
    const leavingForMs = Math.round(clock.now() - (this.startedAt ?? clock.now()));
    log(message, { leavingForMs, ...outstanding() });
  }

  private isIdle(): boolean {
    const { inFlight, running } = this.options.outstanding();
    return inFlight === 0 && running === 0;
  }
}
