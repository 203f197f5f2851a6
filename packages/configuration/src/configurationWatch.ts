/** Follows a source of configurations that every daemon can watch, and puts each new version in force. */
import { type Clock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { type Configuration } from './configuration.js';
import { type Sections } from './sections.js';

/** First pause after the source failed, ms; doubles up to the longest. */
const FIRST_PAUSE_MS = 200;
/** Longest pause, ms: well below the 2 s within which a change has to be in force after the source is back. */
const LONGEST_PAUSE_MS = 800;

/** A version as a source gives it. */
export interface SourcedVersion {
  readonly generation: number;
  readonly sections: Sections;
}

/** Where configurations come from. */
export interface ConfigurationSource {
  /**
   * The newest version once it is above `generation`; undefined when none came for a while. Fails when the source can't
   * be reached, or for content that can't be read.
   */
  readonly next: (generation: number, signal: AbortSignal) => Promise<SourcedVersion | undefined>;
}

/** What a watch needs of its daemon. */
export interface ConfigurationWatchOptions {
  readonly clock: Clock;
  readonly configuration: Configuration<unknown>;
  readonly source: ConfigurationSource;
  readonly log: (message: string, facts: object) => void;
}

/** One task that waits for the next version, for as long as the daemon runs. */
export class ConfigurationWatch implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private watching: Promise<void> = Promise.resolve();
  private isLost = false;

  constructor(private readonly options: ConfigurationWatchOptions) {}

  /** Starts to watch. */
  start(): void {
    this.watching = this.watch();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.watching;
  }

  private async watch(): Promise<void> {
    const { signal } = this.stopped;
    let pause = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      if (await this.takeNext(signal)) {
        pause = FIRST_PAUSE_MS;
        continue;
      }
      await this.options.clock.sleep(pause, signal);
      pause = Math.min(LONGEST_PAUSE_MS, pause * 2);
    }
  }

  private async takeNext(signal: AbortSignal): Promise<boolean> {
    const { configuration, source, log } = this.options;
    try {
      const version = await source.next(configuration.generation, signal);
      if (this.isLost) log('The source is back.', {});
      this.isLost = false;
      if (version && configuration.adoptWhole(version.generation, version.sections))
        log('A version is in force.', { generation: version.generation, sections: version.sections.size });
      return true;
    } catch (error) {
      if (!this.isLost && !signal.aborted)
        log('The source is lost.', { reason: asFailure(error).describe() });
      this.isLost = true;
      return false;
    }
  }
}
