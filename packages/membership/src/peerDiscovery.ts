/**
 * Peer discovery for daemons without seeds: each keeps one row about itself in a shared table. The rows only list
 * candidates for gossip; liveness is decided by gossip alone.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { Failure, asFailure } from '@cleatquay/errors';
import { type Membership } from './membership.js';

/**
 * Delay after a failed round of a daemon that has to write its row, ms: two rounds fit into the 2 s in which daemons have to recover after
 * an outage.
 */
const RETRY_DELAY_MS = 700;
/** Interval of rounds while no other member is alive, ms. */
const ALONE_INTERVAL_MS = 1000;
/** Interval of rounds of daemons for which `maintainsTable` holds, ms. Gossip finds new daemons much sooner; a round costs a read. */
const MAINTENANCE_INTERVAL_MS = 15_000;
/** Interval of rounds of the other daemons, ms: they mainly check that their own row is still there. */
const OWN_ROW_INTERVAL_MS = 60_000;
/** The row of a member is removed after gossip has seen it DEAD or LEFT for so long, ms. */
const REMOVE_AFTER_MS = 60_000;
/** Attempts of one write, each conditional on the version that the previous one found. Other daemons rarely write this row. */
const MAX_WRITE_ATTEMPTS = 3;
/** Timeout of a write that records a departure, ms; the upstream that announces it waits a second for the response. */
const RECORD_TIMEOUT_MS = 400;

/** Last known state of an upstream. */
export interface KnownUpstream {
  readonly service: string;
  /** ip:port */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  /** Identifies the instance; another process start may have the same id. */
  readonly instanceId: string;
  /** When its process started, Unix ms; 0 if it does not report that. */
  readonly born: number;
}

/** A process start of an upstream that has announced that it is shutting down. */
export type Departure = Pick<KnownUpstream, 'instanceId' | 'born'>;

/** The row that a daemon keeps about itself. */
export interface DiscoveryRow {
  /** ip:port of the peer protocol, the key of the row. */
  readonly address: string;
  /** ip:port for gossip datagrams. */
  readonly gossipAddress: string;
  /** Empty in rows of builds that did not write it. */
  readonly failureDomain: string;
  /** Upstreams that have announced to this daemon that they are shutting down. */
  readonly departures: readonly Departure[];
  /** The local upstreams, so that a restarted daemon need not wait for their next heartbeats. */
  readonly upstreams: readonly KnownUpstream[];
  /** Services whose local upstreams have sent responses with a length or in chunks: another response of theirs may be truncated. */
  readonly delimitingServices: readonly string[];
  /** Routes on which their responses have neither, by service and name of the route. */
  readonly closeDelimitedRoutes: readonly { readonly service: string; readonly route: string }[];
}

/** The part of a row that a later process of the daemon restores. */
export type PersistedState = Omit<DiscoveryRow, 'address' | 'gossipAddress' | 'failureDomain'>;

/** A row with its version in the table. */
export interface ListedRow extends DiscoveryRow {
  /** Changes with each write of the row. */
  readonly version: number;
}

/** The shared table. A call that fails may have taken effect, or may take effect later. */
export interface DiscoveryTable {
  /** Creates the row if it is absent; otherwise returns the version of the existing one, and its content if that can be parsed. */
  readonly create: (row: DiscoveryRow, signal: AbortSignal) => Promise<CreateResult>;
  readonly list: (signal: AbortSignal) => Promise<readonly ListedRow[]>;
  /** Replaces the row if it has this version (0: absent); otherwise returns the existing version. */
  readonly put: (row: DiscoveryRow, version: number, signal: AbortSignal) => Promise<PutResult>;
  readonly remove: (address: string, signal: AbortSignal) => Promise<void>;
}

/** Whether the row was written, and its present version. */
export interface PutResult {
  readonly isDone: boolean;
  readonly version: number;
}

/** Whether the row was created, and otherwise the existing one; undefined if that can't be parsed. */
export interface CreateResult extends PutResult {
  readonly recorded: DiscoveryRow | undefined;
}

/** Options of `PeerDiscovery`. */
export interface PeerDiscoveryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: DiscoveryTable;
  readonly membership: Membership;
  /** Whether this daemon is one of the few of its failure domain that run rounds at the shorter `MAINTENANCE_INTERVAL_MS`. */
  readonly maintainsTable: () => boolean;
  /** The state to persist in this daemon's row. */
  readonly persisted: () => PersistedState;
  /** Called once with the state that an earlier process of this daemon recorded, if there is any. */
  readonly onRestore: (recorded: PersistedState) => void;
  /** Called with all rows after each read of the table. */
  readonly onRows: (rows: readonly DiscoveryRow[]) => void;
  /** Called at the end of each round with whether the table is reachable. */
  readonly onReachability: (isReachable: boolean) => void;
  readonly log: (message: string, facts: object) => void;
}

/** A task that keeps this daemon's row, and contacts the daemons of the other rows. */
export class PeerDiscovery implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly goneSince = new Map<string, number>();
  private running: Promise<void> = Promise.resolve();
  /** Whether the own row is known to exist with the present gossip address. */
  private hasRow = false;
  private hasCreated = false;
  /** Last known version of the own row; 0 for none. */
  private version = 0;
  /** Number of changes of the state to persist, and how many of them are known to be written. */
  private changes = 0;
  private writtenChanges = 0;
  /** Ends the delay between two rounds. */
  private delayAborter = new AbortController();
  private isTableUnreachable = false;
  /** Whether this daemon had no row before, so that others that start at the same time may not have listed it, nor it them. */
  private isNew = false;
  private rounds = 0;
  private resolveFirstRound: () => void = () => undefined;
  /** Resolves after the first successful round. */
  readonly firstRoundDone = new Promise<void>(resolve => (this.resolveFirstRound = resolve));

  constructor(private readonly options: PeerDiscoveryOptions) {}

  /** Starts the rounds. */
  start(): void {
    this.running = this.runRounds();
  }

  /**
   * Writes the present state to the row, with a timeout; after a failure the next round writes it. Before the first round nothing is written,
   * since the row still has what an earlier process recorded; the round that restores it writes both.
   */
  async record(): Promise<void> {
    const { clock, log } = this.options;
    this.changes++;
    if (!this.hasCreated) return;
    const timeout = new AbortController();
    const timer = clock.after(RECORD_TIMEOUT_MS, () =>
      timeout.abort(new Error('The table did not respond in time.')),
    );
    try {
      await this.write(timeout.signal);
    } catch (error) {
      this.delayAborter.abort();
      log('Failed to write the own row; retrying.', { reason: asFailure(error).describe() });
    } finally {
      timer[Symbol.dispose]();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  private async runRounds(): Promise<void> {
    const { clock, random } = this.options;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      await this.runRound(signal);
      this.delayAborter = new AbortController();
      const wakeSignal = AbortSignal.any([signal, this.delayAborter.signal]);
      await clock.sleep(this.intervalMs() * (0.75 + random() / 2), wakeSignal);
    }
  }

  /** A daemon that has its row and knows other members does not poll faster during an outage of the table. */
  private intervalMs(): number {
    const { membership, maintainsTable } = this.options;
    if (this.mustWrite) return RETRY_DELAY_MS;
    if (membership.aliveCount() === 0 || !this.isListComplete) return ALONE_INTERVAL_MS;
    return maintainsTable() ? MAINTENANCE_INTERVAL_MS : OWN_ROW_INTERVAL_MS;
  }

  /** The own row is written before the list is read, so that of two daemons that start at the same time at least one sees the other. */
  private async runRound(signal: AbortSignal): Promise<void> {
    const { table, log } = this.options;
    try {
      if (!this.hasCreated) await this.create(signal);
      if (this.mustWrite) await this.write(signal);
      const rows = await table.list(signal);
      this.options.onRows(rows);
      const own = rows.find(({ address }) => address === this.self);
      this.version = own?.version ?? 0;
      this.hasRow = this.isOwn(own);
      this.options.membership.join(this.othersIn(rows));
      await this.removeGone(rows, signal);
      if (this.isTableUnreachable) log('The table is reachable again.', { rows: rows.length });
      this.isTableUnreachable = false;
      this.options.onReachability(true);
      this.rounds++;
      this.resolveFirstRound();
    } catch (error) {
      if (!this.isTableUnreachable && !signal.aborted)
        log('The table is unreachable.', { reason: asFailure(error).describe() });
      this.isTableUnreachable = true;
      if (!signal.aborted) this.options.onReachability(false);
    }
  }

  /** Creates the row only if it is absent, so as not to lose what an earlier process of this daemon recorded. */
  private async create(signal: AbortSignal): Promise<void> {
    const { table, onRestore } = this.options;
    const { changes } = this;
    const created = await table.create(this.row(), signal);
    const { isDone, recorded } = created;
    if (isDone) this.writtenChanges = changes;
    if (recorded) onRestore(recorded);
    this.hasCreated = true;
    this.version = created.version;
    this.isNew = isDone;
    this.hasRow = isDone || this.isOwn(recorded);
  }

  /**
   * Whether the last list has every daemon that could have started to use a share of anything: a daemon that had a row was listed by all that
   * started later, and has listed all that started before; a new one lists again once those that started with it have their rows.
   */
  get isListComplete(): boolean {
    return this.rounds >= (this.isNew ? 2 : 1);
  }

  /** Whether a row is that of this process's addresses. */
  private isOwn(row: DiscoveryRow | undefined): boolean {
    const { gossipAddress, failureDomain } = this.options.membership.me;
    return row?.gossipAddress === gossipAddress && row.failureDomain === failureDomain;
  }

  private get mustWrite(): boolean {
    return !this.hasRow || this.writtenChanges < this.changes;
  }

  /**
   * Writes are conditional on the known version: an unconditional write that timed out and takes effect seconds later would replace a newer
   * row by an older one. On a conflict the row of the version found is replaced at once.
   */
  private async write(signal: AbortSignal): Promise<void> {
    for (let left = MAX_WRITE_ATTEMPTS; left > 0; left--) {
      const { changes } = this;
      const put = await this.options.table.put(this.row(), this.version, signal);
      this.version = put.version;
      if (!put.isDone) continue;
      this.writtenChanges = Math.max(this.writtenChanges, changes);
      this.hasRow = true;
      return;
    }
    throw new Failure('The own row was changed concurrently at each write attempt.', {
      result: 'platformDown',
    });
  }

  private othersIn(rows: readonly DiscoveryRow[]): string[] {
    const own = this.options.membership.me.gossipAddress;
    return rows.map(row => row.gossipAddress).filter(address => address !== own);
  }

  /** Run by the daemon that is first by address among those alive; it is harmless if two daemons do it. */
  private async removeGone(rows: readonly DiscoveryRow[], signal: AbortSignal): Promise<void> {
    const { clock, membership, table, log } = this.options;
    const states = new Map(rows.map(row => [row.address, membership.table.get(row.address)?.state]));
    const firstAlive = [...states]
      .filter(([, state]) => state === 'ALIVE')
      .map(([address]) => address)
      .sort()[0];
    if (firstAlive !== this.self) return;
    for (const [address, state] of states) {
      const isGone = state === 'DEAD' || state === 'LEFT';
      if (!isGone) this.goneSince.delete(address);
      else if (!this.goneSince.has(address)) this.goneSince.set(address, clock.now());
      else if (clock.now() - (this.goneSince.get(address) ?? 0) > REMOVE_AFTER_MS) {
        await table.remove(address, signal);
        this.goneSince.delete(address);
        log('Removed the row of a daemon that is no longer a member.', { address });
      }
    }
  }

  private get self(): string {
    return this.options.membership.me.address;
  }

  private row(): DiscoveryRow {
    const { address, gossipAddress, failureDomain } = this.options.membership.me;
    return { address, gossipAddress, failureDomain, ...this.options.persisted() };
  }
}
