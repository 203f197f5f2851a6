/**
 * Follows a source of configurations, and puts each new version in force. All daemons could; a few in each failure domain do, and the
 * others hear from them, so that the source is asked by a number of daemons that doesn't grow with the fleet.
 */
import { type Clock } from '@cleatquay/clock';
import { type Failure, asFailure } from '@cleatquay/errors';
import { type Configuration } from './configuration.js';
import { type Freshness, type Moment } from './freshness.js';
import { type Sections } from './sections.js';

/** How often a daemon that leaves the source to others looks whether it should follow it itself, ms. */
const CHECK_INTERVAL_MS = 500;
/**
 * A daemon that leaves the source to others looks itself after so long, ms: what it would miss if all who follow the source for it had
 * failed in a way that it can't see.
 */
const FALLBACK_READ_INTERVAL_MS = 60_000;

/**
 * A daemon whose reads failed, and for which others now read, looks after so long whether they still do, ms: after it, it may read for others
 * again. Of a failure domain at most six do so (`readers.ts`).
 */
const UNREACHABLE_READ_INTERVAL_MS = 5000;

/** A version as a source gives it. */
export interface SourcedVersion {
  readonly generation: number;
  readonly sections: Sections;
}

/** Where configurations come from. Calls fail when the source can't be reached, or for content that can't be read. */
export interface ConfigurationSource {
  /** The newest version; undefined before the first. */
  readonly read: (signal: AbortSignal) => Promise<SourcedVersion | undefined>;
  /**
   * The newest version if there is another than at the last call of either kind; undefined when there was none for `waitMs`. Fails soon after
   * that time where the source has fallen silent.
   */
  readonly next: (waitMs: number, signal: AbortSignal) => Promise<SourcedVersion | undefined>;
}

/** What a watch needs of its daemon. */
export interface ConfigurationWatchOptions {
  readonly clock: Clock;
  readonly configuration: Configuration<unknown>;
  readonly source: ConfigurationSource;
  /** Told what each read proves. */
  readonly freshness: Freshness;
  /** Whether this daemon has to follow the source itself just now. */
  readonly isOnDuty: () => boolean;
  /** How long to wait for the next version, ms; `isFirst` where the last call brought one. */
  readonly waitMs: (isFirst: boolean) => number;
  /** How often to read without waiting for a change, ms; undefined to wait. A wait proves how things stood when it was begun, so that it is old when it ends. */
  readonly paceMs: () => number | undefined;
  /** How long to pause after a read that failed, ms. */
  readonly pauseMs: () => number;
  /** Told after each call whether the source can be reached. */
  readonly onReach: (isReached: boolean) => void;
  readonly log: (message: string, facts: object) => void;
}

/** One task that waits for the next version, for as long as the daemon runs. */
export class ConfigurationWatch implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private watching: Promise<void> = Promise.resolve();
  private isUnreachable = false;
  /** Whether to read, or to wait for what comes after the last call: after one that brought a version, or after one that didn't. */
  private nextCall: 'read' | 'wait-after-version' | 'wait' = 'read';
  private mismatchedGeneration = 0;
  private checkedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ConfigurationWatchOptions) {}

  /** Starts to watch. */
  start(): void {
    this.watching = this.watch();
  }

  /**
   * A peer has another content under the generation in force. Only the source can tell which is right; it is read, whoever else does,
   * until it has told.
   */
  doubt(): void {
    this.mismatchedGeneration = this.options.configuration.generation;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.watching;
  }

  private async watch(): Promise<void> {
    const { signal } = this.stopped;
    while (!signal.aborted) {
      if (!this.mayCallSource()) {
        this.nextCall = 'read';
        await this.options.clock.sleep(CHECK_INTERVAL_MS, signal);
        continue;
      }
      this.checkedAt = this.options.clock.now();
      // A wait that failed says little: its connection may have been old. The source is read at once on another one.
      const hasWaited = this.nextCall !== 'read';
      const begunAt = this.checkedAt;
      const hasWorked = await this.runNextCall(signal);
      if (hasWorked) await this.waitForInterval(begunAt, signal);
      if (hasWorked || hasWaited) continue;
      await this.options.clock.sleep(this.options.pauseMs(), signal);
    }
  }

  private async waitForInterval(begunAt: number, signal: AbortSignal): Promise<void> {
    const { clock, paceMs } = this.options;
    const leftMs = begunAt + (paceMs() ?? 0) - clock.now();
    if (leftMs > 0) await clock.sleep(leftMs, signal);
  }

  /** A daemon without any configuration looks, whoever else does. */
  private mayCallSource(): boolean {
    const { clock, configuration, isOnDuty } = this.options;
    const { generation, isConfirmed } = configuration;
    if (generation === 0 || isOnDuty() || (generation === this.mismatchedGeneration && !isConfirmed))
      return true;
    return (
      clock.now() - this.checkedAt >
      (this.isUnreachable ? UNREACHABLE_READ_INTERVAL_MS : FALLBACK_READ_INTERVAL_MS)
    );
  }

  private async runNextCall(signal: AbortSignal): Promise<boolean> {
    const { configuration, freshness } = this.options;
    const hasRead = this.nextCall === 'read';
    const begun = freshness.moment();
    try {
      const version = await this.callSource(signal);
      this.nextCall = version ? 'wait-after-version' : 'wait';
      this.onSourceReached();
      if (version) configuration.adoptWhole(version.generation, version.sections, 'platform');
      freshness.confirmed(begun);
      return true;
    } catch (error) {
      const failure = asFailure(error);
      if (signal.aborted) return false;
      if (failure.result === 'configurationInvalid') return this.onRejectedVersion(failure, begun);
      this.nextCall = 'read';
      this.onSourceFailure(failure, hasRead);
      return false;
    }
  }

  private callSource(signal: AbortSignal): Promise<SourcedVersion | undefined> {
    const { source, waitMs, paceMs } = this.options;
    if (this.nextCall === 'read') return source.read(signal);
    const isPaced = paceMs() !== undefined;
    return source.next(isPaced ? 0 : waitMs(this.nextCall === 'wait-after-version'), signal);
  }

  /**
   * The source answers, so that there is nothing to repeat until it has another version. What makes no sense takes nothing away: the version before
   * stays in force, and is the newest that may be.
   */
  private onRejectedVersion(failure: Failure, begun: Moment): boolean {
    this.options.freshness.confirmed(begun);
    this.nextCall = 'wait';
    this.onSourceReached();
    this.options.log('A version was refused.', { reason: failure.describe() });
    return true;
  }

  private onSourceReached(): void {
    if (this.isUnreachable) this.options.log('The source is back.', {});
    this.isUnreachable = false;
    this.options.onReach(true);
  }

  /** Others are told after a read: a wait may have failed for the age of its connection alone. */
  private onSourceFailure(failure: Failure, hasRead: boolean): void {
    if (!this.isUnreachable) this.options.log('The source is lost.', { reason: failure.describe() });
    this.isUnreachable = true;
    if (hasRead) this.options.onReach(false);
  }
}
