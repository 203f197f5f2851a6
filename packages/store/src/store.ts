/** Interfaces to the platform. Every call may fail with `platformDown`, also after it took effect. */

/** A row of the table. */
export interface Row {
  readonly key: string;
  readonly value: string;
  /** Rises by one with each write of the row, from 1. */
  readonly version: number;
}

/** What a row must be for a write to go through: its version, or 0 for absent. */
export type Precondition = number;

/** One write of a transaction. */
export interface RowWrite {
  readonly key: string;
  readonly value: string;
  readonly ifVersion: Precondition;
}

/** Either all writes went through, or none, and then the key of the first that didn't fit. */
export type CommitResult =
  { readonly committed: true } | { readonly committed: false; readonly conflict: string };

/** The transactional table service. */
export interface Table {
  read(key: string): Promise<Row | undefined>;
  commit(writes: readonly RowWrite[]): Promise<CommitResult>;
}

/** The object store; objects never change once written. */
export interface ObjectStore {
  get(name: string): Promise<string | undefined>;
  /** Writing the same content again is no error. */
  put(name: string, content: string): Promise<void>;
}
