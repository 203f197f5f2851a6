/** The kinds of work that a process measures the time of; see `ProcessorTime` in the daemon. */

/** Requests and calls, refusals that are sent to callers, frames of links, and timers. */
export type WorkKind = 'calls' | 'refusals' | 'links' | 'timers';

/** Runs `work`, and attributes its time to `kind`. Work inside other work is attributed to its own kind only. */
export type MeasureWork = (kind: WorkKind, work: () => void) => void;

/** Runs work without measuring it. */
export const runUnmeasured: MeasureWork = (_kind, work) => work();
