/** What outlives all daemons: a row for each service in the platform's table. */
import { type Crash } from './evidence.js';
import { type Verdict } from './verdicts.js';

/** An end as it is kept. */
export interface RecordedCrash extends Crash {
  /** When it was written, Unix ms. */
  readonly at: number;
}

/** What a row holds: ends of a service's upstreams, and verdicts. */
export interface QuarantineRow {
  readonly ends: readonly RecordedCrash[];
  readonly verdicts: readonly Verdict[];
}

/** A row as the table has it. */
export interface ListedQuarantineRow extends QuarantineRow {
  readonly service: string;
  readonly version: number;
}

/** How a conditional write went: done, or the row that was there instead, if any. */
export interface QuarantineWrite {
  readonly isDone: boolean;
  /** Version of the row that is there now; 0 for none. */
  readonly version: number;
  readonly found: QuarantineRow | undefined;
}

/** The table. Every call may fail, also after it took effect. */
export interface QuarantineTable {
  readonly list: (signal: AbortSignal) => Promise<readonly ListedQuarantineRow[]>;
  /** Has the listener told of rows that are read together with others: soon after the start, and now and then. */
  readonly watch: (listener: (rows: readonly ListedQuarantineRow[]) => void) => void;
  /** Writes the row of a service in place of that of the version, 0 for none. */
  readonly write: (
    service: string,
    row: QuarantineRow,
    version: number,
    signal: AbortSignal,
  ) => Promise<QuarantineWrite>;
}

/** Stands for a table where there is none: what is known lasts as long as some daemon runs. */
export const NO_TABLE: QuarantineTable = {
  list: () => Promise.resolve([]),
  watch: listener => listener([]),
  write: () => Promise.resolve({ isDone: true, version: 0, found: undefined }),
};
