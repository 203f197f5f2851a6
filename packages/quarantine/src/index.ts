/** Requests under which upstreams end: what is known of them, and which are held back. */
export { Evidence, type KnownEnd } from './evidence.js';
export { type AskedHead, FINGERPRINT_DIGITS, fingerprintOf } from './fingerprint.js';
export { findingOf, fingerprintsIn } from './findings.js';
export { Isolation, type Room } from './isolation.js';
export { Quarantine, type QuarantineOptions, type Standing, type SuspectRequest } from './quarantine.js';
export {
  type KeptEnd,
  type ListedQuarantineRow,
  NO_TABLE,
  type QuarantineRow,
  type QuarantineTable,
  type QuarantineWrite,
} from './quarantineTable.js';
export { RecentAnswers } from './recentAnswers.js';
export { type Verdict, Verdicts, isHeld } from './verdicts.js';
