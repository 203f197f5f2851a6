/** What daemons tell each other of requests under which upstreams end, between messages and what they mean. */
import { type Finding, type FindingKind } from '@cleatquay/protocol';
import { FINGERPRINT_DIGITS } from './fingerprint.js';
import { type Verdict, isHeld } from './verdicts.js';

const FINGERPRINT_BYTES = FINGERPRINT_DIGITS / 2;
/** Starts of one finding, at most; further ones say nothing new. */
const MOST_STARTS = 16;
const LONGEST_START = 200;

/** A finding about some requests and starts. */
export function findingOf(
  kind: FindingKind,
  starts: readonly string[],
  fingerprints: readonly string[],
  revision = 0,
): Finding {
  const bytes = Buffer.concat(fingerprints.map(fingerprint => Buffer.from(fingerprint, 'hex')));
  return { kind, starts: starts.slice(0, MOST_STARTS), fingerprints: bytes, revision };
}

/** A verdict as it is told. */
export function findingOfVerdict(verdict: Verdict): Finding {
  const { starts, fingerprint, revision } = verdict;
  return findingOf(isHeld(verdict) ? 'HELD' : 'RELEASED', starts, [fingerprint], revision);
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
export function isUsableFinding({ starts, fingerprints }: Finding): boolean {
  const isWhole = fingerprints.length > 0 && fingerprints.length % FINGERPRINT_BYTES === 0;
  return isWhole && starts.length <= MOST_STARTS && starts.every(start => start.length <= LONGEST_START);
}
