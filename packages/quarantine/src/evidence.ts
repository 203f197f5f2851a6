/**
 * Which starts of upstreams ended while a request ran there. An end is known by the start that has ended, so that two daemons that saw it, or a
 * word that comes twice or late, count it once. Adding and excusing give the same result in any order.
 */
import { type Clock } from '@cleatquay/clock';

/** Ends that are kept in mind: more than a fleet has while it takes notice of a request; the oldest makes room. */
const MOST_ENDS = 300;
/** How long an end is kept in mind, ms. */
const KEPT_MS = 3_600_000;

interface End {
  /** Clock time at which it was learned of, ms. */
  readonly at: number;
  /** Fingerprints of requests that ran there, less those that are cleared. */
  readonly suspects: Set<string>;
  /** Fingerprints of requests that it did not end under, whatever is said later. */
  readonly cleared: Set<string>;
  /** The request that it ended under, once that is known. */
  cause: string | undefined;
}

/** A start that has ended, and the requests that it may have ended under. */
export interface KnownEnd {
  readonly start: string;
  readonly fingerprints: readonly string[];
}

/** Ends of upstreams, and the requests that they may be due to. */
export class Evidence {
  private readonly ends = new Map<string, End>();
  private readonly startsOf = new Map<string, Set<string>>();

  constructor(private readonly clock: Clock) {}

  /** Requests that some end may be due to. */
  get suspects(): number {
    return this.startsOf.size;
  }

  /** Ends that are kept in mind. */
  get size(): number {
    return this.ends.size;
  }

  /** An upstream ended while these ran there. Says whether that was news. */
  add(start: string, fingerprints: readonly string[]): boolean {
    this.forgetOld();
    const isKnown = this.ends.has(start);
    const end = this.endOf(start);
    const news = fingerprints.filter(fingerprint => isNews(end, fingerprint));
    for (const fingerprint of news) this.suspect(start, end, fingerprint);
    return !isKnown || news.length > 0;
  }

  /** A request ended well, so that these starts did not end under it. Says whether that was news. */
  clearOf(fingerprint: string, starts: readonly string[]): boolean {
    const news = starts.filter(start => !this.endOf(start).cleared.has(fingerprint));
    for (const start of news) {
      this.endOf(start).cleared.add(fingerprint);
      this.unlink(start, fingerprint);
    }
    return news.length > 0;
  }

  /** The request that these starts ended under is known: all others that ran there are cleared of it. */
  attribute(fingerprint: string, starts: readonly string[]): void {
    for (const start of starts) {
      const end = this.endOf(start);
      end.cause = fingerprint;
      for (const other of [...end.suspects]) if (other !== fingerprint) this.unlink(start, other);
    }
  }

  /** Starts that ended while the request ran there, and that it is not cleared from. */
  startsUnder(fingerprint: string): string[] {
    return [...(this.startsOf.get(fingerprint) ?? [])];
  }

  /** Clock time at which the latest of those ends was learned of, ms. */
  lastEndUnder(fingerprint: string): number {
    return Math.max(...this.startsUnder(fingerprint).map(start => this.ends.get(start)?.at ?? 0));
  }

  /** Requests under which so many starts ended or more. */
  under(ends: number): string[] {
    return [...this.startsOf].filter(([, starts]) => starts.size >= ends).map(([fingerprint]) => fingerprint);
  }

  /** An end as it is known. */
  get(start: string): KnownEnd | undefined {
    const end = this.ends.get(start);
    return end && { start, fingerprints: [...end.suspects] };
  }

  private endOf(start: string): End {
    let end = this.ends.get(start);
    if (end) return end;
    end = { at: this.clock.now(), suspects: new Set(), cleared: new Set(), cause: undefined };
    this.ends.set(start, end);
    const [oldest] = this.ends.keys();
    if (this.ends.size > MOST_ENDS && oldest !== undefined) this.forget(oldest);
    return end;
  }

  private suspect(start: string, end: End, fingerprint: string): void {
    end.suspects.add(fingerprint);
    const starts = this.startsOf.get(fingerprint) ?? new Set();
    this.startsOf.set(fingerprint, starts.add(start));
  }

  private unlink(start: string, fingerprint: string): void {
    this.ends.get(start)?.suspects.delete(fingerprint);
    const starts = this.startsOf.get(fingerprint);
    starts?.delete(start);
    if (starts?.size === 0) this.startsOf.delete(fingerprint);
  }

  private forgetOld(): void {
    const oldest = this.clock.now() - KEPT_MS;
    for (const [start, { at }] of this.ends) {
      if (at >= oldest) return;
      this.forget(start);
    }
  }

  private forget(start: string): void {
    for (const fingerprint of [...(this.ends.get(start)?.suspects ?? [])]) this.unlink(start, fingerprint);
    this.ends.delete(start);
  }
}

function isNews({ suspects, cleared, cause }: End, fingerprint: string): boolean {
  if (cause !== undefined && cause !== fingerprint) return false;
  return !suspects.has(fingerprint) && !cleared.has(fingerprint);
}
