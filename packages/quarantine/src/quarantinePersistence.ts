/**
 * Stores crashes and verdicts in the platform's table, so that they survive a restart of the whole fleet. A
 * failure domain that is partitioned from the others also learns of their crashes there, since a daemon reads
 * the table after each crash of its upstream.
 */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import {
  type ListedQuarantineRow,
  type QuarantineRow,
  type QuarantineTable,
  type RecordedCrash,
} from './quarantineTable.js';
import { type Crash } from './crashHistory.js';
import { type Verdict } from './verdicts.js';

/** Maximum wait of requests for the first read after a daemon's start, about ten times the usual duration. */
const MAX_LOAD_WAIT_MS = 500;
/** Maximum wait for the other daemons' crashes before a daemon responds to the callers of a crashed upstream. */
const MAX_READ_WAIT_MS = 100;
/**
 * After this delay, most requests that were in flight at a crash have completed elsewhere and need not be
 * stored. Randomised by ±50 %, since upstreams of a service that crash together would all cause writes of the
 * same row at once.
 */
const WRITE_DELAY_MS = 1000;
const REWRITE_DELAY_MS = 2000;
/** Delay after a failed write, which spares a platform that is down. */
const WRITE_RETRY_DELAY_MS = 5000;
const MAX_WRITE_ATTEMPTS = 3;
/** Maximum number of crashes in a row; the oldest are removed. With 64 requests each they take less than half of the row's 64 KiB. */
const MAX_RECORDED_CRASHES = 20;
/** How long a crash is kept in a row, by the writer's wall clock. */
const RETENTION_MS = 3_600_000;

/** Dependencies of the persistence. */
export interface QuarantinePersistenceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: QuarantineTable;
  /** Service of the local upstream, whose row is written. */
  readonly service: string;
  /** What this daemon knows of a crash. */
  readonly crashOf: (start: string) => Crash | undefined;
  readonly verdicts: () => readonly Verdict[];
  /** Called with the contents of each row. */
  readonly onRow: (row: QuarantineRow) => void;
  readonly log: (message: string, facts: object) => void;
}

/** Reads and writes the rows. */
export class QuarantinePersistence implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly ownStarts = new Set<string>();
  private readonly recordedAt = new Map<string, number>();
  private version = 0;
  private writeTimer: Timer | undefined;
  private lastWrite: Promise<void> = Promise.resolve();
  /** Resolves when the rows are loaded or the maximum wait is over; undefined from then on. */
  loaded: Promise<void> | undefined;

  constructor(private readonly options: QuarantinePersistenceOptions) {}

  /** Starts to wait for the first rows. */
  start(): void {
    const { clock, table } = this.options;
    const first = new Promise<void>(resolve => {
      table.watch(rows => {
        this.apply(rows);
        resolve();
      });
    });
    this.loaded = Promise.race([first, clock.sleep(MAX_LOAD_WAIT_MS, this.stopped.signal)]).then(() => {
      this.loaded = undefined;
    });
  }

  /** Handles a crash of the local upstream. Resolves when the rows are loaded or the maximum wait is over. */
  async recordCrash(start: string): Promise<void> {
    const { clock } = this.options;
    this.ownStarts.add(start);
    const [oldest] = this.ownStarts;
    if (this.ownStarts.size > MAX_RECORDED_CRASHES && oldest !== undefined) this.ownStarts.delete(oldest);
    this.scheduleWrite(WRITE_DELAY_MS);
    await Promise.race([this.read(), clock.sleep(MAX_READ_WAIT_MS, this.stopped.signal)]);
  }

  /** Schedules a write if the suspects of a crash of the local upstream changed. */
  onChange(starts: readonly string[]): void {
    if (starts.some(start => this.ownStarts.has(start))) this.scheduleWrite(REWRITE_DELAY_MS);
  }

  /** Writes now, so that a verdict outlives this process. Rejects if the write fails. */
  write(): Promise<void> {
    this.writeTimer?.[Symbol.dispose]();
    this.writeTimer = undefined;
    const written = this.lastWrite.then(() => this.writeRow());
    this.lastWrite = written.catch((error: unknown) => {
      this.logFailure('The row could not be written and will be retried.', error);
      this.scheduleWrite(WRITE_RETRY_DELAY_MS);
    });
    return written;
  }

  /** Whether the local upstream crashed in one of these process starts. */
  includesLocalCrash(starts: readonly string[]): boolean {
    return starts.some(start => this.ownStarts.has(start));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    this.writeTimer?.[Symbol.dispose]();
    await this.lastWrite;
  }

  private async read(): Promise<void> {
    try {
      this.apply(await this.options.table.list(this.stopped.signal));
    } catch (error) {
      this.logFailure('The rows could not be read.', error);
    }
  }

  private apply(rows: readonly ListedQuarantineRow[]): void {
    const { clock, service, onRow } = this.options;
    const own = rows.find(row => row.service === service);
    this.version = own?.version ?? 0;
    const now = clock.date().getTime();
    const isRecent = ({ at }: RecordedCrash) => Math.abs(now - at) < RETENTION_MS;
    for (const row of rows) onRow({ ...row, ends: row.ends.filter(isRecent) });
    this.setRecordedTimes(own);
  }

  private scheduleWrite(ms: number): void {
    if (this.stopped.signal.aborted) return;
    const { clock, random } = this.options;
    this.writeTimer ??= clock.after(ms * (0.5 + random()), () => void this.write().catch(() => undefined));
  }

  /** Writes over the known version; if there is another one, merges its contents first. */
  private async writeRow(): Promise<void> {
    const { table, service, onRow } = this.options;
    for (let left = MAX_WRITE_ATTEMPTS; left > 0; left--) {
      const row = this.buildRow();
      const { isDone, version, found } = await table.write(service, row, this.version, this.stopped.signal);
      this.version = version;
      if (isDone) return this.setRecordedTimes(row);
      if (found) onRow(found);
      this.setRecordedTimes(found);
      if (found && coversRow(found, row)) return;
    }
    throw new Error('Other daemons changed the row during each attempt to write it.');
  }

  private buildRow(): QuarantineRow {
    const { crashOf, verdicts, clock } = this.options;
    const now = clock.date().getTime();
    const ends = [...new Set([...this.recordedAt.keys(), ...this.ownStarts])]
      .flatMap(start => crashOf(start) ?? [])
      .filter(({ fingerprints }) => fingerprints.length > 0)
      .map(crash => ({ ...crash, at: this.recordedAt.get(crash.start) ?? now }))
      .filter(({ at }) => Math.abs(now - at) < RETENTION_MS)
      .sort((a, b) => a.at - b.at)
      .slice(-MAX_RECORDED_CRASHES);
    return { ends, verdicts: verdicts() };
  }

  private setRecordedTimes(row: QuarantineRow | undefined): void {
    this.recordedAt.clear();
    for (const { start, at } of row?.ends ?? []) this.recordedAt.set(start, at);
  }

  private logFailure(message: string, error: unknown): void {
    if (!this.stopped.signal.aborted) this.options.log(message, { reason: asFailure(error).describe() });
  }
}

/** Whether another daemon's row contains everything that ours would. */
function coversRow(found: QuarantineRow, { ends, verdicts }: QuarantineRow): boolean {
  const starts = new Set(found.ends.map(({ start }) => start));
  const revisions = new Map(found.verdicts.map(({ fingerprint, revision }) => [fingerprint, revision]));
  const hasVerdicts = verdicts.every(
    ({ fingerprint, revision }) => (revisions.get(fingerprint) ?? 0) >= revision,
  );
  return hasVerdicts && ends.every(({ start }) => starts.has(start));
}
