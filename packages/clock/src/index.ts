/** Time and randomness as interfaces, so that tests and long seeded runs can hand in their own. */
export { type Clock, type Timer, SystemClock } from './clock.js';
export { ManualClock } from './manualClock.js';
export { type Random, seededRandom } from './random.js';
