/** Time and randomness as interfaces, so that tests and seeded simulations can provide their own. */
export { ForwardTime } from './forwardTime.js';
export { type Clock, MACHINE_TIME, SystemClock, type TimeSources, type Timer } from './clock.js';
export { SendTime } from './sendTime.js';
export { TimeLimit } from './timeLimit.js';
export { ManualClock } from './manualClock.js';
export { type Random, seededRandom } from './random.js';
export { CALLER_LEFT, DEADLINE_PASSED, NOT_NEEDED } from './abortReason.js';
export { type CancelSignal, Cancellation, NEVER_CANCELLED } from './cancellation.js';
