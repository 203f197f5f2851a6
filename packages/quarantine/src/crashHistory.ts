/**
 * Records which upstream crashes each request may have caused. A crash is keyed by the process start
 * of the upstream, so that reports of it by two daemons, and duplicate or late messages, count once. Adding
 * suspects and clearing them commute.
 */
import { type Clock } from '@cleatquay/clock';

/** Maximum number of retained crashes, more than a fleet has before a query of death is quarantined; the oldest is evicted. */
const MAX_CRASHES = 300;
/** How long a crash is retained. */
const RETENTION_MS = 3_600_000;

interface CrashRecord {
  /** Local time at which this daemon learned of the crash, ms. */
  readonly learnedAt: number;
  /** Fingerprints of the requests in flight, without those that are cleared. */
  readonly suspects: Set<string>;
  /** Fingerprints of requests that are known not to be the cause; this overrides later reports. */
  readonly cleared: Set<string>;
  /** The request that caused the crash, once it is known. */
  culprit: string | undefined;
}

/** A process start of an upstream that crashed, and the requests that may have caused the crash. */
export interface Crash {
  readonly start: string;
  readonly fingerprints: readonly string[];
}

/** Crashes of upstreams and the requests suspected of them. */
export class CrashHistory {
  private readonly records = new Map<string, CrashRecord>();
  private readonly startsByRequest = new Map<string, Set<string>>();

  constructor(private readonly clock: Clock) {}

  /** Number of requests that are suspected of at least one crash. */
  get suspectCount(): number {
    return this.startsByRequest.size;
  }

  /** Number of retained crashes. */
  get size(): number {
    return this.records.size;
  }

  /** Records the requests in flight when an upstream crashed; returns whether anything was new. */
  add(start: string, fingerprints: readonly string[]): boolean {
    this.removeExpired();
    const isKnown = this.records.has(start);
    const crash = this.recordOf(start);
    const added = fingerprints.filter(fingerprint => isNewSuspect(crash, fingerprint));
    for (const fingerprint of added) this.addSuspect(start, crash, fingerprint);
    return !isKnown || added.length > 0;
  }

  /** Clears a request that completed of these crashes; returns whether anything was new. */
  clear(fingerprint: string, starts: readonly string[]): boolean {
    const added = starts.filter(start => !this.recordOf(start).cleared.has(fingerprint));
    for (const start of added) {
      this.recordOf(start).cleared.add(fingerprint);
      this.removeSuspect(start, fingerprint);
    }
    return added.length > 0;
  }

  /** Attributes these crashes to one request, which clears all other requests of them. */
  attribute(fingerprint: string, starts: readonly string[]): void {
    for (const start of starts) {
      const crash = this.recordOf(start);
      crash.culprit = fingerprint;
      for (const other of [...crash.suspects]) if (other !== fingerprint) this.removeSuspect(start, other);
    }
  }

  /** Process starts that crashed with the request in flight, without those that it is cleared of. */
  crashedUnder(fingerprint: string): string[] {
    return [...(this.startsByRequest.get(fingerprint) ?? [])];
  }

  /** Local time at which this daemon learned of the latest crash in `crashedUnder`, ms. */
  lastCrashUnder(fingerprint: string): number {
    return Math.max(...this.crashedUnder(fingerprint).map(start => this.records.get(start)?.learnedAt ?? 0));
  }

  /** Requests suspected of at least `minCrashes` crashes. */
  withCrashes(minCrashes: number): string[] {
    return [...this.startsByRequest]
      .filter(([, starts]) => starts.size >= minCrashes)
      .map(([fingerprint]) => fingerprint);
  }

  /** A crash with its remaining suspects. */
  get(start: string): Crash | undefined {
    const crash = this.records.get(start);
    return crash && { start, fingerprints: [...crash.suspects] };
  }

  private recordOf(start: string): CrashRecord {
    let crash = this.records.get(start);
    if (crash) return crash;
    crash = { learnedAt: this.clock.now(), suspects: new Set(), cleared: new Set(), culprit: undefined };
    this.records.set(start, crash);
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_CRASHES && oldest !== undefined) this.remove(oldest);
    return crash;
  }

  private addSuspect(start: string, crash: CrashRecord, fingerprint: string): void {
    crash.suspects.add(fingerprint);
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
    for (const [start, { learnedAt }] of this.records) {
      if (learnedAt >= oldest) return;
      this.remove(start);
    }
  }

  private remove(start: string): void {
    for (const fingerprint of [...(this.records.get(start)?.suspects ?? [])])
      this.removeSuspect(start, fingerprint);
    this.records.delete(start);
  }
}

function isNewSuspect({ suspects, cleared, culprit }: CrashRecord, fingerprint: string): boolean {
  if (culprit !== undefined && culprit !== fingerprint) return false;
  return !suspects.has(fingerprint) && !cleared.has(fingerprint);
}
