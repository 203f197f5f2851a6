/** Time and randomness as interfaces, so that tests and seeded simulations can provide their own. */
export { ElapsedTime } from './elapsedTime.js';
export { type Clock, MACHINE_TIME, SystemClock, type TimeSources, type Timer } from './clock.js';
export {
  type EventKind,
  NO_METER,
  WORK_RESULTS,
  type WorkKind,
  type WorkMeter,
  type WorkResult,
} from './measuredWork.js';
export { SendTime } from './sendTime.js';
export { TimeLimit } from './timeLimit.js';
export { ManualClock } from './manualClock.js';
export { type Random, seededRandom } from './random.js';
export { CALLER_DISCONNECTED, DEADLINE_PASSED, NO_LONGER_NEEDED } from './abortReason.js';
export { type CancelSignal, Cancellation, NEVER_CANCELLED } from './cancellation.js';
export { SharedTimeout, type SharingTimer } from './sharedTimeout.js';
