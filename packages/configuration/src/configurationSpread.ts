/** Brings new generations to this daemon: from the platform if it is one of the few readers, else from peers. */
import { type Clock, type Random } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { ConfigurationAnswer, type ConfigurationRequest } from '@cleatquay/protocol';
import { type Configuration } from './configuration.js';
import { type ConfigurationStore } from './configurationStore.js';

const READ_EVERY_MS = 1000;
const LONGEST_PAUSE_MS = 15_000;
const FETCH_RETRY_MS = 500;

/** What a peer says of its configuration. */
export interface HeardConfiguration {
  readonly generation: number;
  /** First half of the digest of its content; 0 if the peer doesn't tell. */
  readonly shortDigest: number;
}

/** What the spread needs of its daemon. */
export interface SpreadOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration<unknown>;
  /** Absent when the daemon's settings name no platform. */
  readonly store: ConfigurationStore | undefined;
  /** Whether this daemon is one of those of its failure domain that read the platform. */
  readonly isReader: () => boolean;
  /** Asks a peer for what this daemon lacks. */
  readonly fetch: (peer: string, question: ConfigurationRequest) => Promise<ConfigurationAnswer>;
  /** Whom to ask for what a peer says that it has. */
  readonly holderOf: (peer: string) => string;
  /** How long a source of this daemon's own has to bring what a peer has, before the peer is asked, ms. */
  readonly patienceMs: (peer: string) => number;
  /** Some other peer that may have it. */
  readonly otherPeer: () => string | undefined;
  /** Told that a peer has another content under the generation in force, which no read of the platform has confirmed here. */
  readonly onDoubt: (peer: string) => void;
}

/** Two tasks: one reads the platform, one fetches from peers what gossip says they have. */
export class ConfigurationSpread implements AsyncDisposable {
  readonly state = {
    platformReads: 0,
    platformFailures: 0,
    peerFetches: 0,
    peerFailures: 0,
    peerBytes: 0,
    lastError: '',
  };
  private readonly stopped = new AbortController();
  private reading: Promise<void> = Promise.resolve();
  private fetching: Promise<void> | undefined;
  private wanted = 0;
  /** The last generation of which a peer had another content. */
  private doubted = 0;

  constructor(private readonly options: SpreadOptions) {}

  /** Starts to read the platform, if there is one. */
  start(): void {
    const { store } = this.options;
    if (store) this.reading = this.readForever(store);
  }

  /** A peer says which configuration it has. */
  heard({ generation, shortDigest }: HeardConfiguration, peer: string): void {
    const { configuration, onDoubt } = this.options;
    const isOther = generation === configuration.generation && shortDigest !== configuration.shortDigest;
    if (isOther && shortDigest !== 0 && !configuration.isConfirmed && this.doubted !== generation) {
      this.doubted = generation;
      onDoubt(peer);
    }
    if (generation <= configuration.generation || generation <= this.wanted) return;
    this.wanted = generation;
    this.fetching ??= this.fetchUntilCaughtUp(peer).finally(() => {
      this.fetching = undefined;
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.reading;
    await this.fetching;
  }

  private async readForever(store: ConfigurationStore): Promise<void> {
    const { clock, random } = this.options;
    let pause = READ_EVERY_MS;
    while (!this.stopped.signal.aborted) {
      if (this.options.isReader() || this.isInDoubt)
        pause = (await this.readOnce(store)) ? READ_EVERY_MS : this.longer(pause);
      await clock.sleep(pause * (0.75 + random() / 2), this.stopped.signal);
    }
  }

  private get isInDoubt(): boolean {
    const { generation, isConfirmed } = this.options.configuration;
    return this.doubted === generation && !isConfirmed;
  }

  private longer(pause: number): number {
    return Math.min(LONGEST_PAUSE_MS, pause * 2);
  }

  private async readOnce(store: ConfigurationStore): Promise<boolean> {
    const { configuration } = this.options;
    this.state.platformReads++;
    try {
      const { generation, applyId } = await store.current();
      const isKnown = generation === configuration.generation && applyId === configuration.applyId;
      if (generation < configuration.generation || (isKnown && !this.isInDoubt)) return true;
      configuration.adopt(await store.read(), 'platform');
      return true;
    } catch (error) {
      this.state.platformFailures++;
      this.state.lastError = asFailure(error).describe();
      return false;
    }
  }

  private async fetchUntilCaughtUp(first: string): Promise<void> {
    const { configuration, clock } = this.options;
    await clock.sleep(this.options.patienceMs(first), this.stopped.signal);
    let peer: string | undefined = this.options.holderOf(first);
    while (configuration.generation < this.wanted && !this.stopped.signal.aborted) {
      if (peer !== undefined) await this.fetchOnce(peer);
      if (configuration.generation >= this.wanted) return;
      peer = this.options.otherPeer();
      await clock.sleep(FETCH_RETRY_MS, this.stopped.signal);
    }
  }

  private async fetchOnce(peer: string): Promise<void> {
    const { configuration } = this.options;
    this.state.peerFetches++;
    try {
      const answer = await this.options.fetch(peer, configuration.question());
      this.state.peerBytes += ConfigurationAnswer.encode(answer).finish().length;
      configuration.adoptAnswer(answer, peer);
    } catch (error) {
      this.state.peerFailures++;
      this.state.lastError = asFailure(error).describe();
    }
  }
}
