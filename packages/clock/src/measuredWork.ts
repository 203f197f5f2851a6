/** The kinds of work that a process measures the time of; see `ProcessorTime` in the daemon. */

/** Work that begins with an event: requests of callers, frames of links, timers. */
export type EventKind = 'requests' | 'links' | 'timers';

/** Also the work that is done in the course of such an event: calls that frames bring or answer, refusals that are sent to callers. */
export type WorkKind = EventKind | 'calls' | 'refusals';

/** Runs `work`, and attributes its time to `kind`. Work inside other work is attributed to its own kind only. */
export type MeasureWork = (kind: WorkKind, work: () => void) => void;

/** Runs work without measuring it. */
export const runUnmeasured: MeasureWork = (_kind, work) => work();
