/**
 * Where daemons that were given no seeds learn of each other: each keeps one row about itself in a shared table. The
 * rows only say whom to gossip with; who is alive is what the gossip finds.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { Failure, asFailure } from '@cleatquay/errors';
import { type Membership } from './membership.js';

/**
 * Pause after a failed round of a daemon that has something to write, or knows nobody, ms: two rounds fit into the 2 s in which the living
 * have to be back after an outage.
 */
const RETRY_DELAY_MS = 700;
/** Pause while nobody else is known, ms. */
const ALONE_INTERVAL_MS = 1000;
/** Pause between rounds of a daemon that tends the table, ms. Gossip brings newcomers much sooner; a round costs a read. */
const MAINTENANCE_INTERVAL_MS = 15_000;
/** Pause between rounds of the others, ms: all that they look after is their own row, which nobody else should remove. */
const OWN_ROW_INTERVAL_MS = 60_000;
/** A row of a member that gossip has taken for gone is removed when it has not changed for so long, ms. */
const REMOVE_AFTER_MS = 60_000;
/** Tries of one write, each in place of the version that the one before found: no one but this daemon writes its row often. */
const MAX_WRITE_ATTEMPTS = 3;
/** How long a departure may wait for the table, ms; its upstream waits a second for the answer. */
const RECORD_TIMEOUT_MS = 400;

/** An upstream as its daemon last knew it. */
export interface KnownUpstream {
  readonly service: string;
  /** ip:port */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  /** Names the upstream; another start may have the same id. */
  readonly instanceId: string;
  /** When it was started, Unix ms; 0 if it doesn't tell. */
  readonly born: number;
}

/** A start of an upstream that said that it leaves. */
export type Departure = Pick<KnownUpstream, 'instanceId' | 'born'>;

/** What a daemon keeps about itself. */
export interface MeetingRow {
  /** ip:port of the inner protocol, the key of the row. */
  readonly address: string;
  /** ip:port of membership datagrams. */
  readonly gossipAddress: string;
  /** Instances of upstreams that announced to this daemon that they leave. */
  readonly departures: readonly Departure[];
  /** The upstreams beside the daemon, so that a restarted one need not wait for their next heartbeat. */
  readonly upstreams: readonly KnownUpstream[];
}

/** What of a row outlives the process that wrote it. */
export type KeptState = Pick<MeetingRow, 'departures' | 'upstreams'>;

/** A row as the table has it. */
export interface ListedRow extends MeetingRow {
  /** Told apart from earlier writes of the row by this number. */
  readonly version: number;
}

/** The shared table. Every call may fail, also after it took effect, or before it takes effect. */
export interface MeetingTable {
  /** Puts a row where there is none yet; otherwise gives the address of the row that is there, and what is in it if that can be read. */
  readonly create: (row: MeetingRow, signal: AbortSignal) => Promise<Created>;
  readonly list: (signal: AbortSignal) => Promise<readonly ListedRow[]>;
  /** Puts a row in place of that of the version, 0 for none; otherwise gives the version that is there. */
  readonly put: (row: MeetingRow, version: number, signal: AbortSignal) => Promise<Put>;
  readonly remove: (address: string, signal: AbortSignal) => Promise<void>;
}

/** Whether a row was put, and the version that is there. */
export interface Put {
  readonly isDone: boolean;
  readonly version: number;
}

/** Whether a row was put where there was none, and if not, the one that is there; undefined where that can't be read. */
export interface Created extends Put {
  readonly former: MeetingRow | undefined;
}

/** What a meeting needs of its daemon. */
export interface MeetingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: MeetingTable;
  readonly membership: Membership;
  /** Whether this daemon looks after the table for its failure domain. */
  readonly isTender: () => boolean;
  /** What is to be kept in this daemon's row. */
  readonly kept: () => KeptState;
  /** Told once what an earlier process of this daemon had recorded. */
  readonly onFormer: (former: KeptState) => void;
  readonly log: (message: string, facts: object) => void;
}

/** One task that keeps the own row, and reads those of the others. */
export class Meeting implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private readonly goneSince = new Map<string, number>();
  private running: Promise<void> = Promise.resolve();
  /** Whether the own row is there, as far as is known. */
  private hasRow = false;
  private hasCreated = false;
  /** Version of the own row, as far as is known; 0 for none. */
  private version = 0;
  /** Changes of what the row should say, and how many of them are known to be in it. */
  private changes = 0;
  private writtenChanges = 0;
  /** Ends the pause between two rounds. */
  private delayAborter = new AbortController();
  private isLost = false;
  private resolveFirstRound: () => void = () => undefined;
  /** Resolves after the first round that worked. */
  readonly met = new Promise<void>(resolve => (this.resolveFirstRound = resolve));

  constructor(private readonly options: MeetingOptions) {}

  /** Starts to keep the row. */
  start(): void {
    this.running = this.runRounds();
  }

  /**
   * Records what has changed about this daemon, if the table answers soon. Before the first round nothing is written,
   * since the row still has what an earlier process recorded; the round that finds it writes both.
   */
  async record(): Promise<void> {
    const { clock, log } = this.options;
    this.changes++;
    if (!this.hasCreated) return;
    const limit = new AbortController();
    const timer = clock.after(RECORD_TIMEOUT_MS, () => limit.abort(new Error('The table took too long.')));
    try {
      await this.write(limit.signal);
    } catch (error) {
      this.delayAborter.abort();
      log('The own row could not be written; it is tried again.', { reason: asFailure(error).describe() });
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
      const untilWoken = AbortSignal.any([signal, this.delayAborter.signal]);
      await clock.sleep(this.intervalMs() * (0.75 + random() / 2), untilWoken);
    }
  }

  /** An outage of the table is nothing to ask about for those who have their row and know others. */
  private intervalMs(): number {
    const { membership, isTender } = this.options;
    if (this.mustWrite) return RETRY_DELAY_MS;
    if (membership.aliveCount() === 0) return ALONE_INTERVAL_MS;
    return isTender() ? MAINTENANCE_INTERVAL_MS : OWN_ROW_INTERVAL_MS;
  }

  /** The row comes first, so that of two daemons that start at once one sees the other. */
  private async runRound(signal: AbortSignal): Promise<void> {
    const { table, log } = this.options;
    try {
      if (!this.hasCreated) await this.create(signal);
      if (this.mustWrite) await this.write(signal);
      const rows = await table.list(signal);
      const { gossipAddress } = this.options.membership.me;
      const own = rows.find(({ address }) => address === this.self);
      this.version = own?.version ?? 0;
      this.hasRow = own?.gossipAddress === gossipAddress;
      this.options.membership.meet(this.othersIn(rows));
      await this.removeGone(rows, signal);
      if (this.isLost) log('The table is back.', { rows: rows.length });
      this.isLost = false;
      this.resolveFirstRound();
    } catch (error) {
      if (!this.isLost && !signal.aborted) log('The table is lost.', { reason: asFailure(error).describe() });
      this.isLost = true;
    }
  }

  /** Writes the first row only where there is none: what an earlier process of this daemon recorded must not be lost. */
  private async create(signal: AbortSignal): Promise<void> {
    const { table, onFormer, membership } = this.options;
    const { changes } = this;
    const created = await table.create(this.row(), signal);
    const { isDone, former } = created;
    if (isDone) this.writtenChanges = changes;
    if (former) onFormer(former);
    this.hasCreated = true;
    this.version = created.version;
    this.hasRow = isDone || former?.gossipAddress === membership.me.gossipAddress;
  }

  private get mustWrite(): boolean {
    return !this.hasRow || this.writtenChanges < this.changes;
  }

  /**
   * Writes only in place of the version that it knows: a write that was given up, and takes effect seconds later, would put what the row said
   * then in place of what it says by now. Where there is another version, its place is taken at once.
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
    throw new Failure('The own row changes all the time.', { result: 'platformDown' });
  }

  private othersIn(rows: readonly MeetingRow[]): string[] {
    const own = this.options.membership.me.gossipAddress;
    return rows.map(row => row.gossipAddress).filter(address => address !== own);
  }

  /** The first living daemon in order of addresses tidies up; two that think so do no harm. */
  private async removeGone(rows: readonly MeetingRow[], signal: AbortSignal): Promise<void> {
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
        log('Removed the row of a daemon that is gone.', { address });
      }
    }
  }

  private get self(): string {
    return this.options.membership.me.address;
  }

  private row(): MeetingRow {
    const { address, gossipAddress } = this.options.membership.me;
    return { address, gossipAddress, ...this.options.kept() };
  }
}
