/**
 * Which starts of upstreams ended while a request ran there. An end is known by the start that has ended, so that two daemons that saw it, or a
 * word that comes twice or late, count it once. Adding and excusing give the same result in any order.
 */
import { type Clock } from '@cleatquay/clock';

/** Ends that are kept in mind: more than a fleet has while it takes notice of a request; the oldest makes room. */
const MAX_CRASHES = 300;
/** How long an end is kept in mind, ms. */
const RETENTION_MS = 3_600_000;

interface CrashRecord {
  /** Clock time at which it was learned of, ms. */
  readonly learnedAt: number;
  /** Fingerprints of requests that ran there, less those that are cleared. */
  readonly suspects: Set<string>;
  /** Fingerprints of requests that it did not end under, whatever is said later. */
  readonly cleared: Set<string>;
  /** The request that it ended under, once that is known. */
  culprit: string | undefined;
}

/** A start that has ended, and the requests that it may have ended under. */
export interface Crash {
  readonly start: string;
  readonly fingerprints: readonly string[];
}

/** Ends of upstreams, and the requests that they may be due to. */
export class CrashHistory {
  private readonly records = new Map<string, CrashRecord>();
  private readonly startsByRequest = new Map<string, Set<string>>();

  constructor(private readonly clock: Clock) {}

  /** Requests that some end may be due to. */
  get suspectCount(): number {
    return this.startsByRequest.size;
  }

  /** Ends that are kept in mind. */
  get size(): number {
    return this.records.size;
  }

  /** An upstream ended while these ran there. Says whether that was news. */
  add(start: string, fingerprints: readonly string[]): boolean {
    this.removeExpired();
    const isKnown = this.records.has(start);
    const end = this.recordOf(start);
    const news = fingerprints.filter(fingerprint => isNewSuspect(end, fingerprint));
    for (const fingerprint of news) this.addSuspect(start, end, fingerprint);
    return !isKnown || news.length > 0;
  }

  /** A request ended well, so that these starts did not end under it. Says whether that was news. */
  clear(fingerprint: string, starts: readonly string[]): boolean {
    const news = starts.filter(start => !this.recordOf(start).cleared.has(fingerprint));
    for (const start of news) {
      this.recordOf(start).cleared.add(fingerprint);
      this.removeSuspect(start, fingerprint);
    }
    return news.length > 0;
  }

  /** The request that these starts ended under is known: all others that ran there are cleared of it. */
  attribute(fingerprint: string, starts: readonly string[]): void {
    for (const start of starts) {
      const end = this.recordOf(start);
      end.culprit = fingerprint;
      for (const other of [...end.suspects]) if (other !== fingerprint) this.removeSuspect(start, other);
    }
  }

  /** Starts that ended while the request ran there, and that it is not cleared from. */
  startsCrashedUnder(fingerprint: string): string[] {
    return [...(this.startsByRequest.get(fingerprint) ?? [])];
  }

  /** Clock time at which the latest of those ends was learned of, ms. */
  lastCrashUnder(fingerprint: string): number {
    return Math.max(
      ...this.startsCrashedUnder(fingerprint).map(start => this.records.get(start)?.learnedAt ?? 0),
    );
  }

  /** Requests under which so many starts ended or more. */
  withCrashes(ends: number): string[] {
    return [...this.startsByRequest]
      .filter(([, starts]) => starts.size >= ends)
      .map(([fingerprint]) => fingerprint);
  }

  /** An end as it is known. */
  get(start: string): Crash | undefined {
    const end = this.records.get(start);
    return end && { start, fingerprints: [...end.suspects] };
  }

  private recordOf(start: string): CrashRecord {
    let end = this.records.get(start);
    if (end) return end;
    end = { learnedAt: this.clock.now(), suspects: new Set(), cleared: new Set(), culprit: undefined };
    this.records.set(start, end);
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_CRASHES && oldest !== undefined) this.remove(oldest);
    return end;
  }

  private addSuspect(start: string, end: CrashRecord, fingerprint: string): void {
    end.suspects.add(fingerprint);
    const starts = this.startsByRequest.get(fingerprint) ?? new Set();
    this.startsByRequest.set(fingerprint, starts.add(start));
  }

  private removeSuspect(start: string, fingerprint: string): void {
    this.records.get(start)?.suspects.delete(fingerprint);
    const starts = this.startsByRequest.get(fingerprint);
    starts?.delete(start);
    if (starts?.size === 0) this.startsByRequest.delete(fingerprint);
  }

  private removeExpired(): void {
    const oldest = this.clock.now() - RETENTION_MS;
    for (const [start, { learnedAt: at }] of this.records) {
      if (at >= oldest) return;
      this.remove(start);
    }
  }

  private remove(start: string): void {
    for (const fingerprint of [...(this.records.get(start)?.suspects ?? [])])
      this.removeSuspect(start, fingerprint);
    this.records.delete(start);
  }
}

function isNewSuspect({ suspects, cleared, culprit: cause }: CrashRecord, fingerprint: string): boolean {
  if (cause !== undefined && cause !== fingerprint) return false;
  return !suspects.has(fingerprint) && !cleared.has(fingerprint);
}
