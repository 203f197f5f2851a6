/**
 * Where daemons that were given no seeds learn of each other: each keeps one row about itself in a shared table. The
 * rows only say whom to gossip with; who is alive is what the gossip finds.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type Membership } from './membership.js';

/** Pause after a failed round, ms: two rounds fit into the 2 s in which the living have to be back after an outage. */
const RETRY_MS = 700;
/** Pause while nobody else is known, ms. */
const ALONE_MS = 1000;
/** Pause between rounds that find nothing new, ms. Gossip brings newcomers much sooner; a round costs a read. */
const ROUND_MS = 15_000;
/** A row of a member that gossip has taken for gone is removed when it has not changed for so long, ms. */
const REMOVE_AFTER_MS = 60_000;
/** How long a departure may wait for the table, ms; its upstream waits a second for the answer. */
const RECORD_TIMEOUT_MS = 400;

/** An upstream as its daemon last knew it. */
export interface KnownUpstream {
  readonly service: string;
  /** ip:port */
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  /** Names this start of the upstream. */
  readonly instanceId: string;
}

/** What a daemon keeps about itself. */
export interface MeetingRow {
  /** ip:port of the inner protocol, the key of the row. */
  readonly address: string;
  /** ip:port of membership datagrams. */
  readonly gossipAddress: string;
  /** Instances of upstreams that announced to this daemon that they leave. */
  readonly departures: readonly string[];
  /** The upstreams beside the daemon, so that a restarted one need not wait for their next heartbeat. */
  readonly upstreams: readonly KnownUpstream[];
}

/** What of a row outlives the process that wrote it. */
export type KeptState = Pick<MeetingRow, 'departures' | 'upstreams'>;

/** The shared table. Every call may fail, also after it took effect. */
export interface MeetingTable {
  readonly list: (signal: AbortSignal) => Promise<readonly MeetingRow[]>;
  readonly put: (row: MeetingRow, signal: AbortSignal) => Promise<void>;
  readonly remove: (address: string, signal: AbortSignal) => Promise<void>;
}

/** What a meeting needs of its daemon. */
export interface MeetingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly table: MeetingTable;
  readonly membership: Membership;
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
  private hasRow = false;
  private hasRead = false;
  private isLost = false;
  private first: () => void = () => undefined;
  /** Resolves after the first round that worked. */
  readonly met = new Promise<void>(resolve => (this.first = resolve));

  constructor(private readonly options: MeetingOptions) {}

  /** Starts to keep the row. */
  start(): void {
    this.running = this.keep();
  }

  /**
   * Records what has changed about this daemon, if the table answers soon. Before the first read nothing is written,
   * since the row still has what an earlier process recorded; the round that reads it writes both.
   */
  async record(): Promise<void> {
    const { clock, log } = this.options;
    if (!this.hasRead) return;
    const limit = new AbortController();
    const timer = clock.after(RECORD_TIMEOUT_MS, () => limit.abort(new Error('The table took too long.')));
    try {
      await this.options.table.put(this.row(), limit.signal);
    } catch (error) {
      this.hasRow = false;
      log('The own row could not be written; it is tried again.', { reason: asFailure(error).describe() });
    } finally {
      timer[Symbol.dispose]();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  private async keep(): Promise<void> {
    const { clock, random, membership } = this.options;
    const { signal } = this.stopped;
    while (!signal.aborted) {
      const worked = await this.round(signal);
      const calm = membership.aliveCount() > 0 ? ROUND_MS : ALONE_MS;
      await clock.sleep((worked ? calm : RETRY_MS) * (0.75 + random() / 2), signal);
    }
  }

  /** Before its first row, a daemon reads: what an earlier process of it recorded must not be lost. */
  private async round(signal: AbortSignal): Promise<boolean> {
    const { table, log } = this.options;
    try {
      if (!this.hasRead) this.take(await table.list(signal));
      if (!this.hasRow) await table.put(this.row(), signal);
      this.hasRow = true;
      const rows = await table.list(signal);
      this.hasRow = rows.some(({ address }) => address === this.self);
      this.take(rows);
      await this.removeGone(rows, signal);
      if (this.isLost) log('The table is back.', { rows: rows.length });
      this.isLost = false;
      this.first();
      return this.hasRow;
    } catch (error) {
      if (!this.isLost && !signal.aborted) log('The table is lost.', { reason: asFailure(error).describe() });
      this.isLost = true;
      return false;
    }
  }

  private take(rows: readonly MeetingRow[]): void {
    const { membership, onFormer } = this.options;
    const own = rows.find(row => row.address === this.self);
    if (!this.hasRead && own) onFormer(own);
    this.hasRead = true;
    membership.meet(rows.map(row => row.gossipAddress).filter(a => a !== membership.me.gossipAddress));
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
