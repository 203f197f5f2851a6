/** Fetches new generations for this daemon: from the platform if it is one of the few platform readers, otherwise from peers. */
import { type Clock, type Random } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { ConfigurationAnswer, type ConfigurationRequest } from '@cleatquay/protocol';
import { type Configuration } from './configuration.js';
import { type Freshness } from './freshness.js';
import { RecentTexts } from './recentTexts.js';
import { type ConfigurationStore } from './configurationStore.js';

const READ_INTERVAL_MS = 1000;
const MAX_READ_INTERVAL_MS = 15_000;
/** Delay before a failed round of requests to peers is repeated, ms: two rounds fit into the 2 s within which a change has to be active. */
const PEER_RETRY_DELAY_MS = 300;
/** How long to wait for a response before the request goes to the next peer, ms: ten round trips over the longest distance. */
const PEER_TIMEOUT_MS = 250;

/**
 * A daemon that has known of a version for this time and still lacks it reads the platform itself, ms: three rounds of
 * requests to peers, and less than the 2 s within which a change must be active.
 */
const OVERDUE_AFTER_MS = 1000;

/** The configuration that a peer announces. */
export interface AnnouncedConfiguration {
  readonly generation: number;
  /** First half of the digest of its content; 0 if the peer does not report one. */
  readonly shortDigest: number;
}

/** A generation above the active one that peers have announced. */
interface MissingVersion {
  readonly generation: number;
  /** The active generation when `since` was taken. */
  readonly active: number;
  /** Monotonic time since when a generation above the active one is known, ms. */
  readonly since: number;
}

/** Options of `ConfigurationDistribution`. */
export interface DistributionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration<unknown>;
  /** Absent if the daemon's settings have no platform. */
  readonly store: ConfigurationStore | undefined;
  /** Receives the freshness proof of each read. */
  readonly freshness: Freshness;
  /** Whether this daemon is one of the platform readers of its failure domain. */
  readonly isReader: () => boolean;
  /** Called after each read with whether the platform is reachable. */
  readonly onReachability: (isReachable: boolean) => void;
  /** Fetches what this daemon lacks from a peer. */
  readonly fetch: (peer: string, request: ConfigurationRequest) => Promise<ConfigurationAnswer>;
  /** The peers to fetch from, in order, given those that have announced a higher generation. */
  readonly fetchOrder: (candidates: readonly string[]) => readonly string[];
  /** Delay before a version is fetched from a peer, ms, in which this daemon's own source may provide it. */
  readonly fetchDelayMs: (peer: string) => number;
  /** Called if a peer has other content under the active generation, and no read of the platform has confirmed this daemon's content. */
  readonly onDigestMismatch: (peer: string) => void;
  /** Called when a peer is the first to announce a generation above the active one, and all known ones. */
  readonly onAnnounced?: (generation: number, peer: string) => void;
  /** Called if a fetch from a peer failed. */
  readonly onPeerFailure: (peer: string, reason: string) => void;
}

/** Refusals of invalid responses that are remembered: a peer repeats its response whenever it is asked, and each is reported once. */
const MAX_REMEMBERED_REFUSALS = 100;

/** Two tasks: one reads the platform, the other fetches the versions that peers announce by gossip. */
export class ConfigurationDistribution implements AsyncDisposable {
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
  /** Generations higher than the active one, by the peers that announced them; a peer is removed when a fetch from it fails. */
  private readonly generationsByPeer = new Map<string, number>();
  /** The last generation for which a peer had other content. */
  private mismatchedGeneration = 0;
  private isUnreachable = false;
  private readonly refusals = new RecentTexts(MAX_REMEMBERED_REFUSALS);
  private missing: MissingVersion | undefined;
  private lastAnnounced = 0;

  constructor(private readonly options: DistributionOptions) {}

  /** How long a generation above the active one has been known, without any newer one becoming active, ms; 0 if none is known. */
  get behindMs(): number {
    const { missing } = this;
    const { clock, configuration } = this.options;
    return missing && missing.generation > configuration.generation ? clock.now() - missing.since : 0;
  }

  /** Whether peers have a newer version that can't be fetched from them in time, so that the platform has to be read for it. */
  get isOverdue(): boolean {
    return this.behindMs > OVERDUE_AFTER_MS;
  }

  /** How long ago a peer first announced a generation, or an earlier one that was then missing, ms; undefined if none did. */
  announcedForMs(generation: number): number | undefined {
    const { missing } = this;
    return missing && missing.generation >= generation ? this.options.clock.now() - missing.since : undefined;
  }

  /** Starts to read the platform, if the daemon has one. */
  start(): void {
    const { store } = this.options;
    if (store) this.reading = this.readForever(store);
  }

  /** Handles a peer's announcement of its configuration. */
  handleAnnouncement({ generation, shortDigest }: AnnouncedConfiguration, peer: string): void {
    const { configuration, onDigestMismatch } = this.options;
    const hasOtherContent =
      generation === configuration.generation && shortDigest !== configuration.shortDigest;
    if (
      hasOtherContent &&
      shortDigest !== 0 &&
      !configuration.isConfirmed &&
      this.mismatchedGeneration !== generation
    ) {
      this.mismatchedGeneration = generation;
      onDigestMismatch(peer);
    }
    if (generation <= configuration.generation) return;
    this.noteMissing(generation, peer);
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

  private noteMissing(generation: number, peer: string): void {
    const { clock, configuration, onAnnounced } = this.options;
    const { generation: active } = configuration;
    if (generation > this.lastAnnounced) onAnnounced?.(generation, peer);
    this.lastAnnounced = Math.max(this.lastAnnounced, generation);
    if (this.missing?.active !== active) this.missing = { generation, active, since: clock.now() };
    else if (generation > this.missing.generation) this.missing = { ...this.missing, generation };
  }

  private async readForever(store: ConfigurationStore): Promise<void> {
    const { clock, random } = this.options;
    let intervalMs = READ_INTERVAL_MS;
    while (!this.stopped.signal.aborted) {
      if (this.mayRead)
        intervalMs = (await this.readOnce(store)) ? READ_INTERVAL_MS : this.nextInterval(intervalMs);
      await clock.sleep(intervalMs * (0.75 + random() / 2), this.stopped.signal);
    }
  }

  private get hasMismatch(): boolean {
    const { generation, isConfirmed } = this.options.configuration;
    return this.mismatchedGeneration === generation && !isConfirmed;
  }

  /** A daemon whose reads fail keeps reading, so that it notices when it can be a platform reader again. */
  private get mayRead(): boolean {
    return this.options.isReader() || this.isOverdue || this.hasMismatch || this.isUnreachable;
  }

  private nextInterval(intervalMs: number): number {
    return Math.min(MAX_READ_INTERVAL_MS, intervalMs * 2);
  }

  private async readOnce(store: ConfigurationStore): Promise<boolean> {
    this.isUnreachable = !(await this.attemptRead(store));
    this.options.onReachability(!this.isUnreachable);
    return !this.isUnreachable;
  }

  private async attemptRead(store: ConfigurationStore): Promise<boolean> {
    const { configuration, freshness } = this.options;
    const readStartedAt = freshness.moment();
    this.state.platformReads++;
    try {
      const { generation, applyId } = await store.current();
      const isKnown = generation === configuration.generation && applyId === configuration.applyId;
      const isNew = generation >= configuration.generation && (!isKnown || this.hasMismatch);
      if (isNew) configuration.adopt(await store.read(), 'platform');
      freshness.confirm(readStartedAt);
      return true;
    } catch (error) {
      this.state.platformFailures++;
      this.state.lastError = asFailure(error).describe();
      return false;
    }
  }

  /** Fetches only from peers that have announced the missing version, or may have it: right after a change few daemons have it. */
  private async fetchUntilCaughtUp(first: string): Promise<void> {
    const { clock, fetchDelayMs } = this.options;
    const { signal } = this.stopped;
    await clock.sleep(fetchDelayMs(first), signal);
    const requestedPeers = new Set<string>();
    for (
      let candidates = this.peersAhead();
      candidates.length > 0 && !signal.aborted;
      candidates = this.peersAhead()
    ) {
      const peer = this.options.fetchOrder(candidates).find(address => !requestedPeers.has(address));
      if (peer === undefined) {
        requestedPeers.clear();
        await clock.sleep(PEER_RETRY_DELAY_MS, signal);
        continue;
      }
      requestedPeers.add(peer);
      await this.fetchWithin(PEER_TIMEOUT_MS, peer);
    }
    this.generationsByPeer.clear();
  }

  /** Peers that have announced a higher generation than the active one. */
  private peersAhead(): string[] {
    const { generation } = this.options.configuration;
    return [...this.generationsByPeer].filter(([, theirs]) => theirs > generation).map(([peer]) => peer);
  }

  /** Stops waiting after a timeout without cancelling the fetch: a later response is still adopted. */
  private async fetchWithin(ms: number, peer: string): Promise<void> {
    const { clock } = this.options;
    const settled = new AbortController();
    const timeout = clock.sleep(ms, settled.signal);
    await Promise.race([this.fetchOnce(peer), timeout]);
    settled.abort();
  }

  private async fetchOnce(peer: string): Promise<void> {
    const { configuration } = this.options;
    this.state.peerFetches++;
    try {
      const response = await this.options.fetch(peer, configuration.createRequest());
      this.state.peerBytes += ConfigurationAnswer.encode(response).finish().length;
      configuration.adoptResponse(response, peer);
    } catch (error) {
      this.generationsByPeer.delete(peer);
      this.state.peerFailures++;
      const failure = asFailure(error);
      const reason = failure.describe();
      this.state.lastError = reason;
      const isInvalid = failure.result === 'configurationInvalid' || failure.result === 'innerMessageInvalid';
      if (!isInvalid || this.refusals.add(`${peer} ${reason}`)) this.options.onPeerFailure(peer, reason);
    }
  }
}
