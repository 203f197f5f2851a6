/** The kinds of work that a process measures the time of; see `ProcessorTime` in the daemon. */

/** Work that begins with an event: requests of callers, frames of links, timers. */
export type EventKind = 'requests' | 'links' | 'timers';

/** Also the work that is done in the course of such an event: calls that frames bring or answer, refusals that are sent to callers. */
export type WorkKind = EventKind | 'calls' | 'refusals';

/** Measures work between `enter` and `leave`, and attributes its time to a kind. Work inside other work is attributed to its own kind only. */
export interface WorkMeter {
  /** Whether the work is measured, so that `leave` has to be called at its end. */
  enter(kind: WorkKind): boolean;
  leave(): void;
}

/** Measures nothing. */
export const NO_METER: WorkMeter = { enter: () => false, leave: () => undefined };
