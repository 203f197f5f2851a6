/**
 * Watches a source of configurations, and adopts each new version. Only a few daemons in each failure domain do so, and the others receive
 * versions from them, so that the number of daemons that read the source does not grow with the fleet.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Failure, asFailure } from '@cleatquay/errors';
import { type Configuration } from './configuration.js';
import { type Freshness, type Moment } from './freshness.js';
import { PeerWatch } from './peerWatch.js';
import { RecentTexts } from './recentTexts.js';
import { type Sections } from './sections.js';

/** Mean interval at which a daemon that does not read the source checks whether it has to, ms; at most half a second. */
const CHECK_INTERVAL_MS = 400;
/** A daemon that leaves the source to others still reads it after so long, ms, in case all platform readers fail in a way that it can't detect. */
const FALLBACK_READ_MS = 60_000;

/**
 * A daemon whose reads failed, and which therefore leaves the source to others, retries after so long, ms; after a success it can be a
 * platform reader again. These are the readers and fallback readers of a failure domain, at most six (`platformReaders.ts`), and, as an
 * outage lasts, the daemons whose read after `FALLBACK_READ_MS`, or in isolation, has failed.
 */
const UNREACHABLE_READ_MS = 5000;
/** Minimum pause after a failed read, ms: a read that times out lasts longer than most intervals. */
const MIN_PAUSE_MS = 100;
/** Number of refusals that are remembered, so that each is logged once however often the version is read. */
const MAX_REMEMBERED_REFUSALS = 100;

/** A version as returned by a source. */
export interface SourcedVersion {
  readonly generation: number;
  readonly sections: Sections;
}

/** A source of configurations. Calls reject if the source is unreachable, or the content is invalid. */
export interface ConfigurationSource {
  /** The newest version; undefined before the first. */
  readonly read: (signal: AbortSignal) => Promise<SourcedVersion | undefined>;
  /**
   * The newest version as soon as it differs from that of the last call of either kind; undefined if there was none within `waitMs`. Rejects
   * soon after that time if the source is unresponsive.
   */
  readonly next: (waitMs: number, signal: AbortSignal) => Promise<SourcedVersion | undefined>;
}

/** Options of `ConfigurationWatcher`. */
export interface ConfigurationWatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration<unknown>;
  readonly source: ConfigurationSource;
  /** Receives the freshness proof of each call. */
  readonly freshness: Freshness;
  /** Whether this daemon has to read the source itself at present. */
  readonly mustReadPlatform: () => boolean;
  /** Maximum wait for the next version, ms; `isFirst` if the last call returned one. */
  readonly waitMs: (isFirst: boolean) => number;
  /** Interval of reads that don't wait for a change, ms; undefined to wait. A wait is a proof as of its beginning, which is old when it ends. */
  readonly readIntervalMs: () => number | undefined;
  /**
   * Number of daemons nearby that have lost the source. If it rises during a wait, the source is read at once: the wait may be on a connection that
   * gets no responses, either, and the others rely on this daemon.
   */
  readonly lostPeers: () => number;
  /** Mean interval between the beginnings of reads that fail, ms. */
  readonly retryIntervalMs: () => number;
  /** Called with whether the source is reachable, after each successful call and each failed read. */
  readonly onReachability: (isReachable: boolean) => void;
  readonly log: (message: string, facts: object) => void;
}

/** One task that waits for the next version, for as long as the daemon runs. */
export class ConfigurationWatcher implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private watching: Promise<void> = Promise.resolve();
  private isUnreachable = false;
  /** Whether to read, or to wait for what comes after the last call: after one that brought a version, or after one that didn't. */
  private nextCall: 'read' | 'wait-after-version' | 'wait' = 'read';
  private mismatchedGeneration = 0;
  /** During a wait. */
  private peerWatch: PeerWatch | undefined;
  /** Ends the pause after a failed read. */
  private pauseAborter = new AbortController();
  private checkedAt = Number.NEGATIVE_INFINITY;
  private readonly refusals = new RecentTexts(MAX_REMEMBERED_REFUSALS);

  constructor(private readonly options: ConfigurationWatcherOptions) {}

  start(): void {
    this.watching = this.watch();
  }

  /**
   * A peer has other content under the active generation. Only the source can tell which is right: this daemon reads it until that
   * confirms the generation, even if other daemons read it, too.
   */
  onDigestMismatch(): void {
    this.mismatchedGeneration = this.options.configuration.generation;
  }

  /** Another call of this daemon has reached the source: a read that waits for its turn after a failure is due now. */
  onSourceReachable(): void {
    this.pauseAborter.abort();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    this.pauseAborter.abort();
    this.peerWatch?.end();
    await this.watching;
  }

  private async watch(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      if (!this.mayCallSource()) {
        this.nextCall = 'read';
        await this.options.clock.sleep(this.spread(CHECK_INTERVAL_MS), signal);
        continue;
      }
      this.checkedAt = this.options.clock.now();
      // A wait may have failed only because its connection was stale: the source is read at once on another one.
      const wasWait = this.nextCall !== 'read';
      const startedAt = this.checkedAt;
      const hasSucceeded = await this.runNextCall(signal);
      if (hasSucceeded) await this.waitForInterval(startedAt, signal);
      if (hasSucceeded || wasWait) continue;
      await this.pause(startedAt);
    }
  }

  /** Waits until the next read is due after a failed one that began at `startedAt`. Ends at once if the source turns out to be reachable. */
  private async pause(startedAt: number): Promise<void> {
    if (this.stopped.signal.aborted) return;
    const { clock, retryIntervalMs } = this.options;
    const leftMs = startedAt + this.spread(retryIntervalMs()) - clock.now();
    this.pauseAborter = new AbortController();
    await clock.sleep(Math.max(leftMs, this.spread(MIN_PAUSE_MS)), this.pauseAborter.signal);
  }

  /** What fails at several daemons at once must not be repeated by them in step. */
  private spread(ms: number): number {
    return ms * (0.75 + this.options.random() / 2);
  }

  private async waitForInterval(startedAt: number, signal: AbortSignal): Promise<void> {
    const { clock, readIntervalMs } = this.options;
    const leftMs = startedAt + (readIntervalMs() ?? 0) - clock.now();
    if (leftMs > 0) await clock.sleep(leftMs, signal);
  }

  /** A daemon without a configuration always reads the source itself. */
  private mayCallSource(): boolean {
    const { clock, configuration, mustReadPlatform } = this.options;
    const { generation, isConfirmed } = configuration;
    if (generation === 0 || mustReadPlatform() || (generation === this.mismatchedGeneration && !isConfirmed))
      return true;
    return clock.now() - this.checkedAt > (this.isUnreachable ? UNREACHABLE_READ_MS : FALLBACK_READ_MS);
  }

  private async runNextCall(signal: AbortSignal): Promise<boolean> {
    const { configuration, freshness } = this.options;
    const isRead = this.nextCall === 'read';
    const startedAt = freshness.moment();
    const peers = isRead ? undefined : this.watchPeers();
    this.peerWatch = peers;
    try {
      const version = await this.callSource(peers?.signal ?? signal);
      this.nextCall = version ? 'wait-after-version' : 'wait';
      this.onSourceReached();
      if (version) configuration.adoptContent(version.generation, version.sections, 'platform');
      freshness.confirm(startedAt);
      return true;
    } catch (error) {
      const failure = asFailure(error);
      if (signal.aborted) return false;
      if (failure.result === 'configurationInvalid') return this.onInvalidVersion(failure, startedAt);
      this.nextCall = 'read';
      if (peers?.signal.aborted === true) return false;
      this.onSourceFailure(failure, isRead);
      return false;
    } finally {
      peers?.[Symbol.dispose]();
    }
  }

  private watchPeers(): PeerWatch {
    const { clock, lostPeers } = this.options;
    return new PeerWatch({ clock, lostPeers, intervalMs: () => this.spread(CHECK_INTERVAL_MS) });
  }

  private callSource(signal: AbortSignal): Promise<SourcedVersion | undefined> {
    const { source, waitMs, readIntervalMs } = this.options;
    if (this.nextCall === 'read') return source.read(signal);
    const hasReadInterval = readIntervalMs() !== undefined;
    return source.next(hasReadInterval ? 0 : waitMs(this.nextCall === 'wait-after-version'), signal);
  }

  /**
   * The source is reachable, so that there is nothing to retry until it has another version. After an invalid version the previous one stays
   * active, and counts as the newest valid one.
   */
  private onInvalidVersion(failure: Failure, startedAt: Moment): boolean {
    this.options.freshness.confirm(startedAt);
    this.nextCall = 'wait';
    this.onSourceReached();
    const reason = failure.describe();
    if (this.refusals.add(reason)) this.options.log('A version was refused.', { reason });
    return true;
  }

  private onSourceReached(): void {
    if (this.isUnreachable) this.options.log('The source is reachable again.', {});
    this.isUnreachable = false;
    this.options.onReachability(true);
  }

  /** Only a failed read is reported: a wait may have failed only because its connection was stale. */
  private onSourceFailure(failure: Failure, isRead: boolean): void {
    if (!this.isUnreachable) this.options.log('The source is unreachable.', { reason: failure.describe() });
    this.isUnreachable = true;
    if (isRead) this.options.onReachability(false);
  }
}
