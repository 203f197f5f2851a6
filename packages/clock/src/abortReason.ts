/** Abort reasons. Shared instances, since creating an error for each abort costs more than most calls. */

export const CALLER_DISCONNECTED = new Error('The caller disconnected.');
/** A response would come after the deadline. */
export const DEADLINE_PASSED = new Error('The deadline passed.');
/** Nothing awaits the result any more. */
export const NO_LONGER_NEEDED = new Error('The result is no longer needed.');
