/**
 * Which requests are held back. Each is held or released under a number that rises with every change of it, and the highest counts, so that
 * all daemons come to the same whatever they hear first.
 */
import { crc32 } from 'node:zlib';

/**
 * Verdicts that are kept: each takes several ends of upstreams, so that nobody fills the memory with names. They take up to half of the 64 KiB of a
 * row.
 */
const MOST_VERDICTS = 120;

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
export function isHeld({ revision }: Pick<Verdict, 'revision'>): boolean {
  return revision % 2 === 1;
}

/** Verdicts by fingerprint. */
export class Verdicts {
  private readonly known = new Map<string, Verdict>();
  private sum = 0;
  private heldCount = 0;

  /** The same for two daemons that know the same; 0 for nothing. */
  get digest(): number {
    return this.sum;
  }

  /** Requests that are held back. */
  get held(): number {
    return this.heldCount;
  }

  get all(): Verdict[] {
    return [...this.known.values()];
  }

  get(fingerprint: string): Verdict | undefined {
    return this.known.get(fingerprint);
  }

  isHeld(fingerprint: string): boolean {
    const verdict = this.known.get(fingerprint);
    return verdict !== undefined && isHeld(verdict);
  }

  isReleased(fingerprint: string): boolean {
    const verdict = this.known.get(fingerprint);
    return verdict !== undefined && !isHeld(verdict);
  }

  /** Takes a verdict if it is newer than what is known. Says whether it was. */
  put(verdict: Verdict): boolean {
    const known = this.known.get(verdict.fingerprint);
    if (known && known.revision >= verdict.revision) return this.describe(known, verdict);
    if (!known && this.known.size >= MOST_VERDICTS && !this.makeRoom()) return false;
    this.toggle(known);
    this.toggle(verdict);
    const asks = verdict.asks === '' ? (known?.asks ?? '') : verdict.asks;
    this.known.set(verdict.fingerprint, { ...verdict, asks });
    this.heldCount += Number(isHeld(verdict)) - Number(known !== undefined && isHeld(known));
    return true;
  }

  /** Forgets a request that was released: the same at all daemons, as they know the same. */
  private makeRoom(): boolean {
    const released = this.all.filter(verdict => !isHeld(verdict)).map(({ fingerprint }) => fingerprint);
    const [first] = released.sort();
    if (first === undefined) return false;
    this.toggle(this.known.get(first));
    return this.known.delete(first);
  }

  /** A verdict that was heard from another daemon doesn't say what its request asks; the record does. */
  private describe(known: Verdict, { revision, asks }: Verdict): false {
    if (known.revision === revision && known.asks === '')
      this.known.set(known.fingerprint, { ...known, asks });
    return false;
  }

  private toggle(verdict: Verdict | undefined): void {
    if (verdict) this.sum = (this.sum ^ crc32(`${verdict.fingerprint} ${String(verdict.revision)}`)) >>> 0;
  }
}
