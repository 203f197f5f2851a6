/** Detection and quarantine of queries of death: requests that crash the upstreams that process them. */
export { CrashHistory, type Crash } from './crashHistory.js';
export { type FingerprintHead, FINGERPRINT_DIGITS, FingerprintHash, fingerprintOf } from './fingerprint.js';
export { findingOf, fingerprintsIn } from './findings.js';
export { SuspectSemaphore, type Permits } from './suspectSemaphore.js';
export {
  Quarantine,
  type QuarantineOptions,
  type QuarantineStatus,
  type SuspectRequest,
} from './quarantine.js';
export {
  type RecordedCrash,
  type ListedQuarantineRow,
  NO_TABLE,
  type QuarantineRow,
  type QuarantineTable,
  type QuarantineWrite,
} from './quarantineTable.js';
export { RecentResponses } from './recentResponses.js';
export { MAX_REVISION, type Verdict, Verdicts, isQuarantined } from './verdicts.js';
