/** Converts between the quarantine's state and the findings that daemons send each other. */
import { type Finding, type FindingKind } from '@cleatquay/protocol';
import { FINGERPRINT_DIGITS } from './fingerprint.js';
import { MAX_REVISION, type Verdict, isQuarantined } from './verdicts.js';

const FINGERPRINT_BYTES = FINGERPRINT_DIGITS / 2;
/** Maximum number of process starts in one finding, which has to fit into a datagram. */
const MAX_STARTS = 8;
const MAX_START_CHARS = 64;
/** Maximum length of the method and path in a finding. */
export const MAX_ASKS_CHARS = 100;

/** Creates a finding about requests and process starts of upstreams. */
export function findingOf(
  kind: FindingKind,
  starts: readonly string[],
  fingerprints: readonly string[],
  details: { readonly revision?: number; readonly asks?: string } = {},
): Finding {
  const bytes = Buffer.concat(fingerprints.map(fingerprint => Buffer.from(fingerprint, 'hex')));
  const { revision = 0, asks = '' } = details;
  return {
    kind,
    starts: starts.slice(0, MAX_STARTS),
    fingerprints: bytes,
    revision,
    asks: asks.slice(0, MAX_ASKS_CHARS),
  };
}

/** Findings that clear a request of crashes, as many as the size limit requires. */
export function clearanceFindings(fingerprint: string, starts: readonly string[]): Finding[] {
  const count = Math.ceil(starts.length / MAX_STARTS);
  return Array.from({ length: count }, (_, i) =>
    findingOf('ENDED_WELL', starts.slice(i * MAX_STARTS, (i + 1) * MAX_STARTS), [fingerprint]),
  );
}

/** The finding that announces a verdict. */
export function findingOfVerdict(verdict: Verdict): Finding {
  const { starts, fingerprint, revision, asks } = verdict;
  return findingOf(isQuarantined(verdict) ? 'HELD' : 'RELEASED', starts, [fingerprint], { revision, asks });
}

/** Splits a finding's bytes into fingerprints. */
export function fingerprintsIn({ fingerprints }: Finding): string[] {
  const bytes = Buffer.from(fingerprints);
  const count = Math.floor(bytes.length / FINGERPRINT_BYTES);
  return Array.from({ length: count }, (_, i) =>
    bytes.toString('hex', i * FINGERPRINT_BYTES, (i + 1) * FINGERPRINT_BYTES),
  );
}

/** Checks the sizes of a finding that was received in a datagram. */
export function isValidFinding({ starts, fingerprints, asks, revision }: Finding): boolean {
  const hasWholeFingerprints = fingerprints.length > 0 && fingerprints.length % FINGERPRINT_BYTES === 0;
  const isWithinLimits =
    starts.length <= MAX_STARTS && asks.length <= MAX_ASKS_CHARS && revision <= MAX_REVISION;
  return hasWholeFingerprints && isWithinLimits && starts.every(start => start.length <= MAX_START_CHARS);
}
