/** Why work was given up. Shared objects: making an error for each abort costs more than most calls do. */

/** The one who asked is gone. */
export const CALLER_LEFT = new Error('The caller left.');
/** The answer would come too late. */
export const DEADLINE_PASSED = new Error('The deadline passed.');
/** Nothing waits for it any more. */
export const NOT_NEEDED = new Error('Not needed any more.');
