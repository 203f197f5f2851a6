/**
 * Keeps what is known of requests under which upstreams end in the platform's table. That is what a fleet knows that was killed as a whole; and
 * a failure domain that is cut off from the others learns there what ended at them, since its next end brings its daemon there.
 */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type ListedQuarantineRow, type QuarantineRow, type QuarantineTable } from './quarantineTable.js';
import { type Crash } from './evidence.js';
import { type Verdict } from './verdicts.js';

/** Requests wait so long from the start of the daemon for the first rows, ms: some ten times what they take on a calm platform. */
const MAX_LOAD_WAIT_MS = 500;
/** A daemon that sees an end waits so long for what others have seen before it tells its callers, ms. */
const MAX_READ_WAIT_MS = 100;
/**
 * Most of what ran beside a request that ends its upstream has ended well elsewhere after about so long, ms, and need not be written. A half more
 * or less by chance: upstreams of a service that end together would all have the row written at one moment.
 */
const WRITE_DELAY_MS = 1000;
const REWRITE_DELAY_MS = 2000;
/** Pause after a write that failed, ms: an outage of the platform is nothing to ask about. */
const WRITE_RETRY_DELAY_MS = 5000;
const MAX_WRITE_ATTEMPTS = 3;
/** Ends of a row, at most; the oldest make room. With 64 requests each they take less than half of the 64 KiB that a row may have. */
const MAX_RECORDED_CRASHES = 20;
/** How long an end is kept in a row, ms by the time of day of whoever writes. */
const RETENTION_MS = 3_600_000;

/** What a keeper needs of its daemon. */
export interface QuarantinePersistenceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: QuarantineTable;
  /** Service of the upstream beside this daemon, whose row it writes. */
  readonly service: string;
  /** What this daemon knows now of an end. */
  readonly crashOf: (start: string) => Crash | undefined;
  readonly verdicts: () => readonly Verdict[];
  /** Told what a row holds. */
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
  /** Resolves once the rows were read, or when requests need not wait for that any more; then it is undefined. */
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

  /** An upstream beside this daemon ended: resolves when what others have written is known, or doesn't come soon. */
  async recordCrash(start: string): Promise<void> {
    const { clock } = this.options;
    this.ownStarts.add(start);
    const [first] = this.ownStarts;
    if (this.ownStarts.size > MAX_RECORDED_CRASHES && first !== undefined) this.ownStarts.delete(first);
    this.scheduleWrite(WRITE_DELAY_MS);
    await Promise.race([this.read(), clock.sleep(MAX_READ_WAIT_MS, this.stopped.signal)]);
  }

  /** What was written of these starts is no longer so. */
  onChange(starts: readonly string[]): void {
    if (starts.some(start => this.ownStarts.has(start))) this.scheduleWrite(REWRITE_DELAY_MS);
  }

  /** Writes now, so that a verdict outlasts this process. Fails if it can't be written. */
  write(): Promise<void> {
    this.writeTimer?.[Symbol.dispose]();
    this.writeTimer = undefined;
    const written = this.lastWrite.then(() => this.writeRow());
    this.lastWrite = written.catch((error: unknown) => {
      this.logFailure('The record was not written; it is tried again.', error);
      this.scheduleWrite(WRITE_RETRY_DELAY_MS);
    });
    return written;
  }

  /** Whether this daemon saw one of these ends. */
  sawAnyOf(starts: readonly string[]): boolean {
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
      this.logFailure('The record was not read.', error);
    }
  }

  private apply(rows: readonly ListedQuarantineRow[]): void {
    const { clock, service, onRow } = this.options;
    const own = rows.find(row => row.service === service);
    this.version = own?.version ?? 0;
    const oldest = clock.date().getTime() - RETENTION_MS;
    for (const row of rows) onRow({ ...row, ends: row.ends.filter(({ at }) => at > oldest) });
    this.rememberTimes(own);
  }

  private scheduleWrite(ms: number): void {
    if (this.stopped.signal.aborted) return;
    const { clock, random } = this.options;
    this.writeTimer ??= clock.after(ms * (0.5 + random()), () => void this.write().catch(() => undefined));
  }

  /** In place of the version that is known; where there is another one, what it holds is taken over first. */
  private async writeRow(): Promise<void> {
    const { table, service, onRow } = this.options;
    for (let left = MAX_WRITE_ATTEMPTS; left > 0; left--) {
      const row = this.buildRow();
      const { isDone, version, found } = await table.write(service, row, this.version, this.stopped.signal);
      this.version = version;
      if (isDone) return this.rememberTimes(row);
      if (found) onRow(found);
      this.rememberTimes(found);
      if (found && coversRow(found, row)) return;
    }
    throw new Error('The row changes all the time.');
  }

  private buildRow(): QuarantineRow {
    const { crashOf: endOf, verdicts, clock } = this.options;
    const now = clock.date().getTime();
    const ends = [...new Set([...this.recordedAt.keys(), ...this.ownStarts])]
      .flatMap(start => endOf(start) ?? [])
      .filter(({ fingerprints }) => fingerprints.length > 0)
      .map(end => ({ ...end, at: this.recordedAt.get(end.start) ?? now }))
      .filter(({ at }) => Math.abs(now - at) < RETENTION_MS)
      .sort((a, b) => a.at - b.at)
      .slice(-MAX_RECORDED_CRASHES);
    return { ends, verdicts: verdicts() };
  }

  private rememberTimes(row: QuarantineRow | undefined): void {
    this.recordedAt.clear();
    for (const { start, at } of row?.ends ?? []) this.recordedAt.set(start, at);
  }

  private logFailure(message: string, error: unknown): void {
    if (!this.stopped.signal.aborted) this.options.log(message, { reason: asFailure(error).describe() });
  }
}

/** Whether a row that somebody else wrote leaves out nothing of ours. */
function coversRow(found: QuarantineRow, { ends, verdicts }: QuarantineRow): boolean {
  const starts = new Set(found.ends.map(({ start }) => start));
  const revisions = new Map(found.verdicts.map(({ fingerprint, revision }) => [fingerprint, revision]));
  const hasVerdicts = verdicts.every(
    ({ fingerprint, revision }) => (revisions.get(fingerprint) ?? 0) >= revision,
  );
  return hasVerdicts && ends.every(({ start }) => starts.has(start));
}
