/**
 * Which requests are held back. Each is held or released under a number that rises with every change of it, and the highest counts, so that
 * all daemons come to the same whatever they hear first.
 */
import { crc32 } from 'node:zlib';

/**
 * Verdicts that are kept: each takes several ends of upstreams, so that nobody fills the memory with names. They take up to half of the 64 KiB of a
 * row.
 */
const MAX_VERDICTS = 120;

/** What is known of one request. */
export interface Verdict {
  readonly fingerprint: string;
  /** Odd while it is held back, even once it is released. */
  readonly revision: number;
  /** Starts of upstreams that ended under it. */
  readonly starts: readonly string[];
  /** When it was held or released, Unix ms. */
  readonly since: number;
  /** What it asks, as far as it is known: method and path, for people. */
  readonly asks: string;
}

/** Whether the request is held back. */
export function isQuarantined({ revision }: Pick<Verdict, 'revision'>): boolean {
  return revision % 2 === 1;
}

/** Verdicts by fingerprint. */
export class Verdicts {
  private readonly byFingerprint = new Map<string, Verdict>();
  private digestBits = 0;
  private quarantined = 0;

  /** The same for two daemons that know the same; 0 for nothing. */
  get digest(): number {
    return this.digestBits;
  }

  /** Requests that are held back. */
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

  /** Takes a verdict if it is newer than what is known. Says whether it was. */
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

  /** Forgets a request that was released: the same at all daemons, as they know the same. */
  private evictReleased(): boolean {
    const released = this.all
      .filter(verdict => !isQuarantined(verdict))
      .map(({ fingerprint }) => fingerprint);
    const [first] = released.sort();
    if (first === undefined) return false;
    this.toggleInDigest(this.byFingerprint.get(first));
    return this.byFingerprint.delete(first);
  }

  /** A verdict that was heard from another daemon doesn't say what its request asks; the record does. */
  private addDescription(known: Verdict, { revision, asks }: Verdict): false {
    if (known.revision === revision && known.asks === '')
      this.byFingerprint.set(known.fingerprint, { ...known, asks });
    return false;
  }

  private toggleInDigest(verdict: Verdict | undefined): void {
    if (verdict)
      this.digestBits = (this.digestBits ^ crc32(`${verdict.fingerprint} ${String(verdict.revision)}`)) >>> 0;
  }
}
