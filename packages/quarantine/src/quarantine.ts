/**
 * Quarantines queries of death: requests that crash one upstream after another. Daemons broadcast which
 * requests were in flight when an upstream crashed. A request that was in flight at three crashes and completed
 * nowhere is quarantined, that is, refused by all daemons until an operator releases it.
 *
 * Several rules protect harmless requests, since a wrong quarantine lasts until somebody notices: a request is
 * cleared of a crash as soon as it completes anywhere, or if it completed recently; a crash that is attributed
 * to one request no longer counts against others; and suspects run next to few other suspects or none
 * (`suspectSemaphore.ts`).
 */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { type Finding } from '@cleatquay/protocol';
import { CrashHistory } from './crashHistory.js';
import { type FingerprintHead } from './fingerprint.js';
import {
  MAX_ASKS_CHARS,
  clearanceFindings,
  findingOf,
  findingOfVerdict,
  fingerprintsIn,
  isValidFinding,
} from './findings.js';
import { type QuarantineRow, type QuarantineTable } from './quarantineTable.js';
import { RecentResponses } from './recentResponses.js';
import { QuarantinePersistence } from './quarantinePersistence.js';
import { type Verdict, Verdicts, isQuarantined } from './verdicts.js';

/** Crashes until a request is quarantined: one can be a coincidence, two can be due to another request. */
const QUARANTINE_CRASHES = 3;
/** Crashes until a request runs without any other suspect. */
const STRONG_SUSPECT_CRASHES = 2;
/** Delay of a verdict, so that two rounds of gossip can deliver what clears the request; until then it is refused already. */
const DECISION_DELAY_MS = 250;
/** Retries of a quarantined request are harmless but futile, so responses name a long delay. */
const QUARANTINED_RETRY_AFTER_MS = 60_000;
const UNDECIDED_RETRY_AFTER_MS = 2 * DECISION_DELAY_MS;
/** Number of requests whose method and path are kept for display. */
const MAX_DESCRIPTIONS = 500;
/** Number of crashed process starts that a verdict names. */
const MAX_VERDICT_STARTS = 4;

/** Whether a request may run: without restrictions, next to few other suspects, next to none, or not at all. */
export type QuarantineStatus = 'free' | 'suspect' | 'strong-suspect' | 'held';

/** A request that was in flight when an upstream crashed. */
export interface SuspectRequest extends Pick<FingerprintHead, 'method' | 'path'> {
  readonly fingerprint: string;
}

/** A request with enough crashes for a quarantine. */
interface Attribution {
  readonly fingerprint: string;
  readonly starts: readonly string[];
}

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: QuarantineTable;
  /** Service of the local upstream. */
  readonly service: string;
  /** Sends the finding to all other daemons. */
  readonly broadcast: (finding: Finding) => void;
  readonly log: (message: string, facts: object) => void;
}

/** The queries of death and suspects that one daemon knows. */
export class Quarantine implements AsyncDisposable {
  private readonly crashes: CrashHistory;
  private readonly verdicts = new Verdicts();
  private readonly responses: RecentResponses;
  private readonly persistence: QuarantinePersistence;
  private readonly descriptions = new Map<string, string>();
  private decisionTimer: Timer | undefined;

  constructor(private readonly options: QuarantineOptions) {
    const { clock, random, table, service, log } = options;
    this.crashes = new CrashHistory(clock);
    this.responses = new RecentResponses(clock);
    this.persistence = new QuarantinePersistence({
      clock,
      random,
      table,
      service,
      log,
      crashOf: start => this.crashes.get(start),
      verdicts: () => this.verdicts.all,
      onRow: row => this.applyRow(row),
    });
  }

  /** Starts to read the stored rows. */
  start(): void {
    this.persistence.start();
  }

  /** Resolves when the stored rows are loaded or the maximum wait is over; undefined from then on. */
  get loaded(): Promise<void> | undefined {
    return this.persistence.loaded;
  }

  /** Whether no request is quarantined or suspected, so that fingerprints aren't needed. */
  get isEmpty(): boolean {
    return this.verdicts.quarantinedCount === 0 && this.crashes.suspectCount === 0;
  }

  /** Digest of the verdicts, which differs between daemons with different verdicts; 0 for none. */
  get digest(): number {
    return this.verdicts.digest;
  }

  /** All verdicts, to send to a daemon whose digest differs. */
  get findings(): Finding[] {
    return this.verdicts.all.map(findingOfVerdict);
  }

  /** Verdicts, for operators. */
  get report(): readonly (Verdict & { readonly isHeld: boolean })[] {
    return this.verdicts.all.map(verdict => ({ ...verdict, isHeld: isQuarantined(verdict) }));
  }

  /** Numbers of quarantined requests, of suspects, and of retained crashes. */
  get counts(): { readonly held: number; readonly suspects: number; readonly ends: number } {
    return {
      held: this.verdicts.quarantinedCount,
      suspects: this.crashes.suspectCount,
      ends: this.crashes.size,
    };
  }

  statusOf(fingerprint: string): QuarantineStatus {
    if (this.verdicts.isQuarantined(fingerprint)) return 'held';
    const crashes = this.crashes.crashedUnder(fingerprint).length;
    if (crashes >= QUARANTINE_CRASHES) return 'held';
    if (crashes >= STRONG_SUSPECT_CRASHES) return 'strong-suspect';
    return crashes > 0 ? 'suspect' : 'free';
  }

  /** When a refused request may be retried, ms: soon while there is no verdict, since it may be cleared. */
  retryAfterMs(fingerprint: string): number {
    return this.verdicts.isQuarantined(fingerprint) ? QUARANTINED_RETRY_AFTER_MS : UNDECIDED_RETRY_AFTER_MS;
  }

  /**
   * Records and broadcasts that the local upstream crashed with these requests in flight. Resolves when the other
   * daemons' stored crashes are loaded, or the maximum wait is over.
   */
  async recordLocalCrash(start: string, requests: readonly SuspectRequest[]): Promise<void> {
    if (requests.length === 0) return;
    for (const { fingerprint, method, path } of requests)
      this.setDescription(fingerprint, `${method} ${path}`);
    this.publish(
      findingOf(
        'ENDED',
        [start],
        requests.map(({ fingerprint }) => fingerprint),
      ),
    );
    await this.persistence.recordCrash(start);
  }

  /** Process starts that crashed with the request in flight, to forward to the daemon that the request is sent to. */
  crashedUnder(fingerprint: string): string[] {
    return this.crashes.crashedUnder(fingerprint);
  }

  /**
   * Records and broadcasts that a request that this daemon sent was in flight when a remote upstream crashed, since
   * the daemon of that VM may fail before it does.
   */
  recordRemoteCrash({ fingerprint, method, path }: SuspectRequest, start: string): void {
    this.setDescription(fingerprint, `${method} ${path}`);
    this.publish(findingOf('ENDED', [start], [fingerprint]));
  }

  /** Records that an upstream sent a complete response. The fingerprint is only computed if there are suspects. */
  recordResponse(head: FingerprintHead, body: Uint8Array, fingerprint: () => string): void {
    this.responses.add(head, body);
    if (this.crashes.suspectCount > 0) this.clearFromKnownCrashes(fingerprint());
  }

  /** Handles a finding of another daemon; returns whether it was new, so that the caller forwards it. */
  handleFinding(finding: Finding): boolean {
    if (!isValidFinding(finding)) return false;
    const { kind, starts, revision, asks } = finding;
    const fingerprints = fingerprintsIn(finding);
    switch (kind) {
      case 'ENDED':
        return starts.filter(start => this.addCrash(start, fingerprints)).length > 0;
      case 'ENDED_WELL':
        return fingerprints.filter(fingerprint => this.clear(fingerprint, starts)).length > 0;
      case 'HELD':
      case 'RELEASED': {
        const since = this.options.clock.date().getTime();
        const verdicts = fingerprints.map(fingerprint => ({
          fingerprint,
          revision,
          starts,
          since,
          asks,
        }));
        return verdicts.filter(verdict => this.applyVerdict(verdict, 'another daemon')).length > 0;
      }
    }
  }

  /**
   * Releases a request from quarantine on all daemons. Returns whether it was quarantined; rejects if the
   * release can't be stored.
   */
  async release(fingerprint: string): Promise<boolean> {
    const verdict = this.verdicts.get(fingerprint);
    if (!verdict || !isQuarantined(verdict)) return false;
    const since = this.options.clock.date().getTime();
    this.publishVerdict({ ...verdict, revision: verdict.revision + 1, since }, 'an operator');
    await this.persistence.write();
    return true;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.decisionTimer?.[Symbol.dispose]();
    await this.persistence[Symbol.asyncDispose]();
  }

  private publish(finding: Finding): void {
    if (this.handleFinding(finding)) this.options.broadcast(finding);
  }

  private addCrash(start: string, fingerprints: readonly string[]): boolean {
    const isNew = this.crashes.add(start, fingerprints);
    if (!isNew) return false;
    this.attributeToQuarantined(start, fingerprints);
    for (const completed of this.responses.completedAmong(fingerprints))
      this.clearFromKnownCrashes(completed);
    this.scheduleDecision();
    return true;
  }

  /** Attributes a crash to a quarantined request that was in flight, which clears the others. */
  private attributeToQuarantined(start: string, fingerprints: readonly string[]): void {
    const quarantined = fingerprints.find(fingerprint => this.verdicts.isQuarantined(fingerprint));
    if (quarantined !== undefined) this.crashes.attribute(quarantined, [start]);
  }

  /** Clears a completed request of all crashes known so far. */
  private clearFromKnownCrashes(fingerprint: string): void {
    const starts = this.crashes.crashedUnder(fingerprint);
    for (const finding of clearanceFindings(fingerprint, starts)) this.publish(finding);
  }

  private clear(fingerprint: string, starts: readonly string[]): boolean {
    const isNew = this.crashes.clear(fingerprint, starts);
    if (isNew) this.persistence.onChange(starts);
    return isNew;
  }

  private decide(): void {
    this.decisionTimer = undefined;
    // Requests that were always in flight together can't be told apart, so both are quarantined.
    const attributions: Attribution[] = this.crashes
      .withCrashes(QUARANTINE_CRASHES)
      .filter(fingerprint => !this.verdicts.isQuarantined(fingerprint))
      .map(fingerprint => ({ fingerprint, starts: this.crashes.crashedUnder(fingerprint) }));
    const isDue = ({ fingerprint }: Attribution) => this.decidableAt(fingerprint) <= this.options.clock.now();
    for (const attribution of attributions) if (isDue(attribution)) this.quarantine(attribution);
    if (!attributions.every(isDue)) this.scheduleDecision();
  }

  /** When a verdict may be made; first by daemons that know method and path, so that all others receive these. */
  private decidableAt(fingerprint: string): number {
    const delayMs = this.descriptions.has(fingerprint) ? DECISION_DELAY_MS : 2 * DECISION_DELAY_MS;
    return this.crashes.lastCrashUnder(fingerprint) + delayMs;
  }

  private scheduleDecision(): void {
    this.decisionTimer ??= this.options.clock.after(DECISION_DELAY_MS, () => this.decide());
  }

  private quarantine({ fingerprint, starts }: Attribution): void {
    const revision = (this.verdicts.get(fingerprint)?.revision ?? 0) + 1;
    const since = this.options.clock.date().getTime();
    const asks = this.descriptions.get(fingerprint) ?? '';
    this.publishVerdict({ fingerprint, revision, starts, since, asks }, 'its crashes');
  }

  private publishVerdict(verdict: Verdict, from: 'its crashes' | 'an operator'): void {
    if (this.applyVerdict(verdict, from)) this.options.broadcast(findingOfVerdict(verdict));
  }

  /** Applies a newer verdict; daemons whose local upstream had one of its crashes store it. A release clears the request of all crashes so far. */
  private applyVerdict(
    verdict: Verdict,
    from: 'its crashes' | 'an operator' | 'another daemon' | 'a stored row',
  ): boolean {
    const { fingerprint, starts } = verdict;
    const asks = this.descriptions.get(fingerprint) ?? verdict.asks;
    if (!this.verdicts.put({ ...verdict, starts: starts.slice(0, MAX_VERDICT_STARTS), asks })) return false;
    const allStarts = [...starts, ...this.crashes.crashedUnder(fingerprint)];
    if (isQuarantined(verdict)) this.crashes.attribute(fingerprint, allStarts);
    else this.crashes.clear(fingerprint, allStarts);
    const message = isQuarantined(verdict)
      ? 'A request is quarantined.'
      : 'A request is released from quarantine.';
    this.options.log(message, { fingerprint, asks, starts, from });
    if (from !== 'a stored row' && this.persistence.includesLocalCrash(starts))
      void this.persistence.write().catch(() => undefined);
    return true;
  }

  private applyRow({ ends, verdicts }: QuarantineRow): void {
    for (const verdict of verdicts) {
      if (verdict.asks !== '') this.setDescription(verdict.fingerprint, verdict.asks);
      if (this.applyVerdict(verdict, 'a stored row')) this.options.broadcast(findingOfVerdict(verdict));
    }
    for (const { start, fingerprints } of ends) this.applyCrash(start, fingerprints);
  }

  /** Stored crashes don't count against a request that was released since. */
  private applyCrash(start: string, fingerprints: readonly string[]): void {
    const suspects = fingerprints.filter(fingerprint => !this.verdicts.isReleased(fingerprint));
    this.crashes.add(start, suspects);
    this.attributeToQuarantined(start, suspects);
  }

  private setDescription(fingerprint: string, asks: string): void {
    this.descriptions.set(fingerprint, asks.slice(0, MAX_ASKS_CHARS));
    const [oldest] = this.descriptions.keys();
    if (this.descriptions.size > MAX_DESCRIPTIONS && oldest !== undefined) this.descriptions.delete(oldest);
  }
}
