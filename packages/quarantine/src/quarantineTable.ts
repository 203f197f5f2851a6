/** Storage that outlives all daemons: one row per service in the platform's table. */
import { type Crash } from './crashHistory.js';
import { type Verdict } from './verdicts.js';

/** A crash as it is stored. */
export interface RecordedCrash extends Crash {
  /** When it was stored, Unix ms. */
  readonly at: number;
}

/** Contents of a row: crashes of a service's upstreams, and verdicts. */
export interface QuarantineRow {
  readonly ends: readonly RecordedCrash[];
  readonly verdicts: readonly Verdict[];
}

/** A row as listed by the table. */
export interface ListedQuarantineRow extends QuarantineRow {
  readonly service: string;
  readonly version: number;
}

/** Result of a conditional write: done, or the row that is there instead, if any. */
export interface QuarantineWrite {
  readonly isDone: boolean;
  /** Version of the current row; 0 for none. */
  readonly version: number;
  readonly found: QuarantineRow | undefined;
}

/** The table. Any call may fail, even after it took effect. */
export interface QuarantineTable {
  readonly list: (signal: AbortSignal) => Promise<readonly ListedQuarantineRow[]>;
  /** Subscribes to rows that are read as part of other reads: soon after the start, and occasionally afterwards. */
  readonly watch: (listener: (rows: readonly ListedQuarantineRow[]) => void) => void;
  /** Replaces the row of a service if its version is still `version`; 0 for no row. */
  readonly write: (
    service: string,
    row: QuarantineRow,
    version: number,
    signal: AbortSignal,
  ) => Promise<QuarantineWrite>;
}

/** Used where there is no table: the state lasts as long as at least one daemon runs. */
export const NO_TABLE: QuarantineTable = {
  list: () => Promise.resolve([]),
  watch: listener => listener([]),
  write: () => Promise.resolve({ isDone: true, version: 0, found: undefined }),
};
