/**
 * Decisions to quarantine or release requests. Each change increments the request's revision, and the highest
 * revision wins, so that all daemons converge in whatever order they receive the changes.
 */
import { crc32 } from 'node:zlib';

/**
 * Maximum number of verdicts, which take up to half of the row's 64 KiB. Each verdict takes several crashes, so that no
 * caller can fill the memory with verdicts.
 */
const MAX_VERDICTS = 120;
/** Highest revision that is accepted from elsewhere: far beyond what operators reach, and far from where adding one has no effect. */
export const MAX_REVISION = 1_000_000;

/** The decision on one request. */
export interface Verdict {
  readonly fingerprint: string;
  /** Odd while the request is quarantined, even after it was released. */
  readonly revision: number;
  /** Process starts of upstreams that crashed with the request in flight. */
  readonly starts: readonly string[];
  /** When it was quarantined or released, Unix ms. */
  readonly since: number;
  /** Method and path for display, if known. */
  readonly asks: string;
}

/** Whether the request is quarantined. */
export function isQuarantined({ revision }: Pick<Verdict, 'revision'>): boolean {
  return revision % 2 === 1;
}

/** Verdicts by fingerprint. */
export class Verdicts {
  private readonly byFingerprint = new Map<string, Verdict>();
  private xorDigest = 0;
  private quarantined = 0;

  /** Equal for daemons with the same verdicts; 0 for none. */
  get digest(): number {
    return this.xorDigest;
  }

  /** Number of quarantined requests. */
  get quarantinedCount(): number {
    return this.quarantined;
  }

  get all(): Verdict[] {
    return [...this.byFingerprint.values()];
  }

  get(fingerprint: string): Verdict | undefined {
    return this.byFingerprint.get(fingerprint);
  }

  isQuarantined(fingerprint: string): boolean {
    const verdict = this.byFingerprint.get(fingerprint);
    return verdict !== undefined && isQuarantined(verdict);
  }

  isReleased(fingerprint: string): boolean {
    const verdict = this.byFingerprint.get(fingerprint);
    return verdict !== undefined && !isQuarantined(verdict);
  }

  /** Stores a verdict if its revision is newer; returns whether it was. */
  put(verdict: Verdict): boolean {
    const known = this.byFingerprint.get(verdict.fingerprint);
    if (known && known.revision >= verdict.revision) return this.addDescription(known, verdict);
    if (!known && this.byFingerprint.size >= MAX_VERDICTS && !this.evictReleased()) return false;
    this.toggleInDigest(known);
    this.toggleInDigest(verdict);
    const asks = verdict.asks === '' ? (known?.asks ?? '') : verdict.asks;
    this.byFingerprint.set(verdict.fingerprint, { ...verdict, asks });
    this.quarantined += Number(isQuarantined(verdict)) - Number(known !== undefined && isQuarantined(known));
    return true;
  }

  /** Evicts a released request. The choice is deterministic, so daemons with the same verdicts evict the same one. */
  private evictReleased(): boolean {
    const released = this.all
      .filter(verdict => !isQuarantined(verdict))
      .map(({ fingerprint }) => fingerprint);
    const [evicted] = released.sort();
    if (evicted === undefined) return false;
    this.toggleInDigest(this.byFingerprint.get(evicted));
    return this.byFingerprint.delete(evicted);
  }

  /** Verdicts received from another daemon may lack method and path; the stored rows have them. */
  private addDescription(known: Verdict, { revision, asks }: Verdict): false {
    if (known.revision === revision && known.asks === '')
      this.byFingerprint.set(known.fingerprint, { ...known, asks });
    return false;
  }

  private toggleInDigest(verdict: Verdict | undefined): void {
    if (verdict)
      this.xorDigest = (this.xorDigest ^ crc32(`${verdict.fingerprint} ${String(verdict.revision)}`)) >>> 0;
  }
}
