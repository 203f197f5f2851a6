/** Interfaces of the platform. Any call may fail with `platformDown`, possibly after it took effect. */

/** A row of the table. */
export interface Row {
  readonly key: string;
  readonly value: string;
  /** Starts at 1, and increases by one with each write of the row. */
  readonly version: number;
}

/** The version that a row must have for a write to succeed; 0 if it must be absent. */
export type Precondition = number;

/** One write of a transaction. */
export interface RowWrite {
  readonly key: string;
  readonly value: string;
  readonly ifVersion: Precondition;
}

/** Either all writes were committed, or none; then `conflict` is the key of the first whose precondition failed. */
export type CommitResult =
  { readonly committed: true } | { readonly committed: false; readonly conflict: string };

/** The transactional table service. */
export interface Table {
  read(key: string): Promise<Row | undefined>;
  commit(writes: readonly RowWrite[]): Promise<CommitResult>;
}

/** The object store. Objects are immutable. */
export interface ObjectStore {
  get(name: string): Promise<string | undefined>;
  /** Writing the same content again is allowed. */
  put(name: string, content: string): Promise<void>;
}
