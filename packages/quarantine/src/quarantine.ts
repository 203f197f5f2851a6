/**
 * Requests under which one upstream after another ends. What ran where an upstream ended is told to all daemons; a request under which three
 * have ended, and that has ended well nowhere, is held back everywhere until an operator releases it.
 *
 * A request that is held back without reason is refused until somebody notices, so that much speaks for it: it is cleared of an end as soon as it
 * ends well anywhere, or if it did of late; once an end is another's, it counts against nobody else; and suspects run beside few others or none
 * (`isolation.ts`).
 */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { type Finding } from '@cleatquay/protocol';
import { CrashHistory } from './evidence.js';
import { type FingerprintHead } from './fingerprint.js';
import {
  MAX_ASKS_CHARS,
  findingOf,
  findingOfVerdict,
  clearanceFindings,
  fingerprintsIn,
  isValidFinding,
} from './findings.js';
import { type QuarantineRow, type QuarantineTable } from './quarantineTable.js';
import { RecentResponses } from './recentAnswers.js';
import { QuarantinePersistence } from './recordKeeper.js';
import { type Verdict, Verdicts, isQuarantined } from './verdicts.js';

/** Ends under one request after which it is held back. One may be chance, and two may be beside another's. */
const QUARANTINE_CRASHES = 3;
/** Ends under one request after which it runs beside no other suspect. */
const STRONG_SUSPECT_CRASHES = 2;
/** A verdict waits so long for what clears the request, ms: word of it takes two rounds of gossip. Until then it is held back all the same. */
const DECISION_DELAY_MS = 250;
/** A request that is held back may come again as often as it likes, and is told not to come soon, ms. */
const QUARANTINED_RETRY_AFTER_MS = 60_000;
const UNDECIDED_RETRY_AFTER_MS = 2 * DECISION_DELAY_MS;
/** Requests of which it is remembered what they ask, for people. */
const MAX_DESCRIPTIONS = 500;
/** Starts that a verdict names, of those that ended under its request. */
const MAX_VERDICT_STARTS = 4;

/** Whether a request may run: as any other, beside few other suspects, beside none of them, or not at all. */
export type Standing = 'free' | 'suspect' | 'strong-suspect' | 'held';

/** A request that ran where an upstream ended. */
export interface SuspectRequest extends Pick<FingerprintHead, 'method' | 'path'> {
  readonly fingerprint: string;
}

/** A request under which so many upstreams ended that it is held back. */
interface Attribution {
  readonly fingerprint: string;
  readonly starts: readonly string[];
}

/** What a quarantine needs of its daemon. */
export interface QuarantineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: QuarantineTable;
  /** Service of the upstream beside this daemon. */
  readonly service: string;
  /** Tells all other daemons. */
  readonly spread: (finding: Finding) => void;
  readonly log: (message: string, facts: object) => void;
}

/** What one daemon knows of such requests. */
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

  /** Starts to read what was recorded. */
  start(): void {
    this.persistence.start();
  }

  /** Resolves when what was recorded is known; undefined once it is, or nobody should wait for it any more. */
  get known(): Promise<void> | undefined {
    return this.persistence.loaded;
  }

  /** Whether no request is held back or suspected, so that none needs to be told apart. */
  get isEmpty(): boolean {
    return this.verdicts.quarantinedCount === 0 && this.crashes.suspectCount === 0;
  }

  /** Digest of the verdicts, which tells whether another daemon knows the same; 0 for none. */
  get digest(): number {
    return this.verdicts.digest;
  }

  /** All verdicts, as they are told to a daemon that has others. */
  get findings(): Finding[] {
    return this.verdicts.all.map(findingOfVerdict);
  }

  /** Verdicts, for operators. */
  get report(): readonly (Verdict & { readonly isHeld: boolean })[] {
    return this.verdicts.all.map(verdict => ({ ...verdict, isHeld: isQuarantined(verdict) }));
  }

  /** How many requests are held back, and how many are suspected; ends of upstreams that are kept in mind. */
  get counts(): { readonly held: number; readonly suspects: number; readonly ends: number } {
    return {
      held: this.verdicts.quarantinedCount,
      suspects: this.crashes.suspectCount,
      ends: this.crashes.size,
    };
  }

  standingOf(fingerprint: string): Standing {
    if (this.verdicts.isQuarantined(fingerprint)) return 'held';
    const ends = this.crashes.startsCrashedUnder(fingerprint).length;
    if (ends >= QUARANTINE_CRASHES) return 'held';
    if (ends >= STRONG_SUSPECT_CRASHES) return 'strong-suspect';
    return ends > 0 ? 'suspect' : 'free';
  }

  /** When a request that is held back may come again, ms: soon while there is no verdict, since it may be cleared. */
  retryAfterMs(fingerprint: string): number {
    return this.verdicts.isQuarantined(fingerprint) ? QUARANTINED_RETRY_AFTER_MS : UNDECIDED_RETRY_AFTER_MS;
  }

  /** The upstream beside this daemon ended while these ran there. Resolves when what others know of them is known, or doesn't come soon. */
  async upstreamEnded(start: string, requests: readonly SuspectRequest[]): Promise<void> {
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

  /** Starts that ended while the request ran there, as far as is known here; for the daemon that it is sent to. */
  startsUnder(fingerprint: string): string[] {
    return this.crashes.startsCrashedUnder(fingerprint);
  }

  /** A call that this daemon sent ran where an upstream ended; the daemon there may be gone before it can tell others. */
  endedUnder({ fingerprint, method, path }: SuspectRequest, start: string): void {
    this.setDescription(fingerprint, `${method} ${path}`);
    this.publish(findingOf('ENDED', [start], [fingerprint]));
  }

  /** An upstream gave a whole answer to the request. `fingerprint` makes its fingerprint if it is needed. */
  answered(head: FingerprintHead, body: Uint8Array, fingerprint: () => string): void {
    this.responses.add(head, body);
    if (this.crashes.suspectCount > 0) this.clearFromKnownCrashes(fingerprint());
  }

  /** Takes what another daemon found out. Says whether it was news, which is then passed on. */
  heard(finding: Finding): boolean {
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

  /** Lets a request run again, everywhere. Says whether it was held back; fails if that can't be recorded. */
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
    if (this.heard(finding)) this.options.spread(finding);
  }

  private addCrash(start: string, fingerprints: readonly string[]): boolean {
    const isNews = this.crashes.add(start, fingerprints);
    if (!isNews) return false;
    this.attributeToQuarantined(start, fingerprints);
    for (const answered of this.responses.answeredAmong(fingerprints)) this.clearFromKnownCrashes(answered);
    this.scheduleDecision();
    return true;
  }

  /** An end while a request ran that is held back anyway is due to that one: nothing else is suspected of it. */
  private attributeToQuarantined(start: string, fingerprints: readonly string[]): void {
    const held = fingerprints.find(fingerprint => this.verdicts.isQuarantined(fingerprint));
    if (held !== undefined) this.crashes.attribute(held, [start]);
  }

  /** The request ended well: it is cleared of all ends that are known so far. */
  private clearFromKnownCrashes(fingerprint: string): void {
    const starts = this.crashes.startsCrashedUnder(fingerprint);
    for (const finding of clearanceFindings(fingerprint, starts)) this.publish(finding);
  }

  private clear(fingerprint: string, starts: readonly string[]): boolean {
    const isNews = this.crashes.clear(fingerprint, starts);
    if (isNews) this.persistence.onChange(starts);
    return isNews;
  }

  private decide(): void {
    this.decisionTimer = undefined;
    // Two that ran beside each other each time can't be told apart: both are held back.
    const attributed: Attribution[] = this.crashes
      .withCrashes(QUARANTINE_CRASHES)
      .filter(fingerprint => !this.verdicts.isQuarantined(fingerprint))
      .map(fingerprint => ({ fingerprint, starts: this.crashes.startsCrashedUnder(fingerprint) }));
    const isDue = ({ fingerprint }: Attribution) => this.decidableAt(fingerprint) <= this.options.clock.now();
    for (const one of attributed) if (isDue(one)) this.quarantine(one);
    if (!attributed.every(isDue)) this.scheduleDecision();
  }

  /** When a request may be decided on; first by daemons that know what it asks, so that all are told. */
  private decidableAt(fingerprint: string): number {
    const wait = this.descriptions.has(fingerprint) ? DECISION_DELAY_MS : 2 * DECISION_DELAY_MS;
    return this.crashes.lastCrashUnder(fingerprint) + wait;
  }

  private scheduleDecision(): void {
    this.decisionTimer ??= this.options.clock.after(DECISION_DELAY_MS, () => this.decide());
  }

  private quarantine({ fingerprint, starts }: Attribution): void {
    const revision = (this.verdicts.get(fingerprint)?.revision ?? 0) + 1;
    const since = this.options.clock.date().getTime();
    const asks = this.descriptions.get(fingerprint) ?? '';
    this.publishVerdict({ fingerprint, revision, starts, since, asks }, 'its ends');
  }

  private publishVerdict(verdict: Verdict, from: 'its ends' | 'an operator'): void {
    if (this.applyVerdict(verdict, from)) this.options.spread(findingOfVerdict(verdict));
  }

  /** Those that saw ends of the request record its verdict. One that is released starts anew: the ends under it are its own no more. */
  private applyVerdict(
    verdict: Verdict,
    from: 'its ends' | 'an operator' | 'another daemon' | 'the record',
  ): boolean {
    const { fingerprint, starts } = verdict;
    const asks = this.descriptions.get(fingerprint) ?? verdict.asks;
    if (!this.verdicts.put({ ...verdict, starts: starts.slice(0, MAX_VERDICT_STARTS), asks })) return false;
    const all = [...starts, ...this.crashes.startsCrashedUnder(fingerprint)];
    if (isQuarantined(verdict)) this.crashes.attribute(fingerprint, all);
    else this.crashes.clear(fingerprint, all);
    const message = isQuarantined(verdict) ? 'A request is held back.' : 'A request is released.';
    this.options.log(message, { fingerprint, asks, starts, from });
    if (from !== 'the record' && this.persistence.sawAnyOf(starts))
      void this.persistence.write().catch(() => undefined);
    return true;
  }

  private applyRow({ ends, verdicts }: QuarantineRow): void {
    for (const verdict of verdicts) {
      if (verdict.asks !== '') this.setDescription(verdict.fingerprint, verdict.asks);
      if (this.applyVerdict(verdict, 'the record')) this.options.spread(findingOfVerdict(verdict));
    }
    for (const { start, fingerprints } of ends) this.applyCrash(start, fingerprints);
  }

  /** A request that was released starts anew, also for a daemon that learns of its ends from the record. */
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
