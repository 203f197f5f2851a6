/** What daemons tell each other of requests under which upstreams end, between messages and what they mean. */
import { type Finding, type FindingKind } from '@cleatquay/protocol';
import { FINGERPRINT_DIGITS } from './fingerprint.js';
import { type Verdict, isQuarantined } from './verdicts.js';

const FINGERPRINT_BYTES = FINGERPRINT_DIGITS / 2;
/** Starts of one finding, at most: it has to fit into a datagram. */
const MAX_STARTS = 8;
const MAX_START_CHARS = 64;
/** Characters of what a request asks, as it is told. */
export const MAX_ASKS_CHARS = 100;

/** A finding about some requests and starts. */
export function findingOf(
  kind: FindingKind,
  starts: readonly string[],
  fingerprints: readonly string[],
  more: { readonly revision?: number; readonly asks?: string } = {},
): Finding {
  const bytes = Buffer.concat(fingerprints.map(fingerprint => Buffer.from(fingerprint, 'hex')));
  const { revision = 0, asks = '' } = more;
  return {
    kind,
    starts: starts.slice(0, MAX_STARTS),
    fingerprints: bytes,
    revision,
    asks: asks.slice(0, MAX_ASKS_CHARS),
  };
}

/** What clears a request of starts: as many findings as these take. */
export function clearanceFindings(fingerprint: string, starts: readonly string[]): Finding[] {
  const count = Math.ceil(starts.length / MAX_STARTS);
  return Array.from({ length: count }, (_, i) =>
    findingOf('ENDED_WELL', starts.slice(i * MAX_STARTS, (i + 1) * MAX_STARTS), [fingerprint]),
  );
}

/** A verdict as it is told. */
export function findingOfVerdict(verdict: Verdict): Finding {
  const { starts, fingerprint, revision, asks } = verdict;
  return findingOf(isQuarantined(verdict) ? 'HELD' : 'RELEASED', starts, [fingerprint], { revision, asks });
}

/** The fingerprints that a finding is about. */
export function fingerprintsIn({ fingerprints }: Finding): string[] {
  const bytes = Buffer.from(fingerprints);
  const count = Math.floor(bytes.length / FINGERPRINT_BYTES);
  return Array.from({ length: count }, (_, i) =>
    bytes.toString('hex', i * FINGERPRINT_BYTES, (i + 1) * FINGERPRINT_BYTES),
  );
}

/** Whether a finding from a datagram can be taken. */
export function isValidFinding({ starts, fingerprints, asks }: Finding): boolean {
  const isWhole = fingerprints.length > 0 && fingerprints.length % FINGERPRINT_BYTES === 0;
  const isShort = starts.length <= MAX_STARTS && asks.length <= MAX_ASKS_CHARS;
  return isWhole && isShort && starts.every(start => start.length <= MAX_START_CHARS);
}
