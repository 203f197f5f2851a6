/** The kinds of work that a process measures the time of; see `ProcessorTime` in the daemon. */

/** Work that begins with an event: requests of callers, frames of links, timers. */
export type EventKind = 'requests' | 'links' | 'timers';

/** Also the work that is done in the course of such an event: calls that frames bring or answer, refusals that are sent to callers. */
export type WorkKind = EventKind | 'calls' | 'refusals';

/**
 * What the work of an event led to for a request. At the daemon where it entered: a response of an upstream that is no failure (`served`), a refusal
 * before any run (`refused`), any other failure (`lost`), or an attempt that was sent to the daemon of an upstream (`sent`). At that daemon: an attempt
 * that was given to the upstream (`run`) or not admitted (`rejected`).
 */
export type WorkResult = 'served' | 'refused' | 'lost' | 'sent' | 'run' | 'rejected';

/** All results. */
export const WORK_RESULTS: readonly WorkResult[] = ['served', 'refused', 'lost', 'sent', 'run', 'rejected'];

/** Measures work between `enter` and `leave`, and attributes its time to a kind. Work inside other work is attributed to its own kind only. */
export interface WorkMeter {
  /** Whether the work is measured, so that `leave` has to be called at its end. */
  enter(kind: WorkKind): boolean;
  leave(): void;
  /** Counts a result of the current event, to which the time of the event is attributed. */
  recordResult(result: WorkResult): void;
}

/** Measures nothing. */
export const NO_METER: WorkMeter = {
  enter: () => false,
  leave: () => undefined,
  recordResult: () => undefined,
};
