/** Brings new generations to this daemon: from the platform if it is one of the few readers, else from peers. */
import { type Clock, type Random } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { ConfigurationAnswer, type ConfigurationRequest } from '@cleatquay/protocol';
import { type Configuration } from './configuration.js';
import { type Freshness } from './freshness.js';
import { type ConfigurationStore } from './configurationStore.js';

const READ_INTERVAL_MS = 1000;
const MAX_READ_INTERVAL_MS = 15_000;
/** Pause before peers that did not help are asked once more, ms: two rounds fit into the 2 s in which a change has to be in force. */
const PEER_RETRY_DELAY_MS = 300;
/** A peer that has not answered for so long is not waited for before the next one is asked, ms: ten round trips between the farthest. */
const PEER_TIMEOUT_MS = 250;

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
  /** Told what each read proves. */
  readonly freshness: Freshness;
  /** Whether this daemon is one of those of its failure domain that read the platform. */
  readonly isReader: () => boolean;
  /** Told after each read whether the platform can be reached. */
  readonly onReach: (isReached: boolean) => void;
  /** Asks a peer for what this daemon lacks. */
  readonly fetch: (peer: string, question: ConfigurationRequest) => Promise<ConfigurationAnswer>;
  /** Whom to ask for what these peers say that they have, in order. */
  readonly inOrder: (holders: readonly string[]) => readonly string[];
  /** How long a source of this daemon's own has to bring what a peer has, before the peer is asked, ms. */
  readonly patienceMs: (peer: string) => number;
  /** Told that a peer has another content under the generation in force, which no read of the platform has confirmed here. */
  readonly onDoubt: (peer: string) => void;
  /** Told that a peer did not give what it was asked for. */
  readonly onPeerFailure: (peer: string, reason: string) => void;
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
  /** Peers by the higher generation that they said they have, until they fail to give it. */
  private readonly generationsByPeer = new Map<string, number>();
  /** The last generation of which a peer had another content. */
  private mismatchedGeneration = 0;
  private isUnreachable = false;

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
    if (
      isOther &&
      shortDigest !== 0 &&
      !configuration.isConfirmed &&
      this.mismatchedGeneration !== generation
    ) {
      this.mismatchedGeneration = generation;
      onDoubt(peer);
    }
    if (generation <= configuration.generation) return;
    this.generationsByPeer.set(peer, generation);
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
    let pause = READ_INTERVAL_MS;
    while (!this.stopped.signal.aborted) {
      if (this.mayRead) pause = (await this.readOnce(store)) ? READ_INTERVAL_MS : this.nextInterval(pause);
      await clock.sleep(pause * (0.75 + random() / 2), this.stopped.signal);
    }
  }

  private get hasMismatch(): boolean {
    const { generation, isConfirmed } = this.options.configuration;
    return this.mismatchedGeneration === generation && !isConfirmed;
  }

  /** A daemon whose reads fail goes on trying, so that it may read for others again. */
  private get mayRead(): boolean {
    return this.options.isReader() || this.hasMismatch || this.isUnreachable;
  }

  private nextInterval(pause: number): number {
    return Math.min(MAX_READ_INTERVAL_MS, pause * 2);
  }

  private async readOnce(store: ConfigurationStore): Promise<boolean> {
    this.isUnreachable = !(await this.attemptRead(store));
    this.options.onReach(!this.isUnreachable);
    return !this.isUnreachable;
  }

  private async attemptRead(store: ConfigurationStore): Promise<boolean> {
    const { configuration, freshness } = this.options;
    const begun = freshness.moment();
    this.state.platformReads++;
    try {
      const { generation, applyId } = await store.current();
      const isKnown = generation === configuration.generation && applyId === configuration.applyId;
      const isNew = generation >= configuration.generation && (!isKnown || this.hasMismatch);
      if (isNew) configuration.adopt(await store.read(), 'platform');
      freshness.confirmed(begun);
      return true;
    } catch (error) {
      this.state.platformFailures++;
      this.state.lastError = asFailure(error).describe();
      return false;
    }
  }

  /** Asks only peers that have what is missing, or may have it: of many daemons, few may have a version that is new. */
  private async fetchUntilCaughtUp(first: string): Promise<void> {
    const { clock, patienceMs } = this.options;
    const { signal } = this.stopped;
    await clock.sleep(patienceMs(first), signal);
    const asked = new Set<string>();
    for (
      let holders = this.peersAhead();
      holders.length > 0 && !signal.aborted;
      holders = this.peersAhead()
    ) {
      const peer = this.options.inOrder(holders).find(address => !asked.has(address));
      if (peer === undefined) {
        asked.clear();
        await clock.sleep(PEER_RETRY_DELAY_MS, signal);
        continue;
      }
      asked.add(peer);
      await this.fetchWithin(PEER_TIMEOUT_MS, peer);
    }
    this.generationsByPeer.clear();
  }

  /** Peers that have a higher generation than this daemon. */
  private peersAhead(): string[] {
    const { generation } = this.options.configuration;
    return [...this.generationsByPeer].filter(([, theirs]) => theirs > generation).map(([peer]) => peer);
  }

  /** Gives up waiting, not the question: an answer that comes later is taken all the same. */
  private async fetchWithin(ms: number, peer: string): Promise<void> {
    const { clock } = this.options;
    const answered = new AbortController();
    const late = clock.sleep(ms, answered.signal);
    await Promise.race([this.fetchOnce(peer), late]);
    answered.abort();
  }

  private async fetchOnce(peer: string): Promise<void> {
    const { configuration } = this.options;
    this.state.peerFetches++;
    try {
      const answer = await this.options.fetch(peer, configuration.question());
      this.state.peerBytes += ConfigurationAnswer.encode(answer).finish().length;
      configuration.adoptAnswer(answer, peer);
    } catch (error) {
      this.generationsByPeer.delete(peer);
      this.state.peerFailures++;
      this.state.lastError = asFailure(error).describe();
      this.options.onPeerFailure(peer, this.state.lastError);
    }
  }
}
