/**
 * Keeps the configuration of a daemon for unmodified callers up to date: from the platform if the daemon is one of the few platform readers,
 * otherwise from its peers. What peers deliver is never the only way: a daemon that hears nothing from its sources, or can't get a version that
 * it knows of, reads the platform itself in time for the change.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import {
  type Configuration,
  ConfigurationDistribution,
  type ConfigurationSource,
  ConfigurationWatcher,
  type Freshness,
} from '@cleatquay/configuration';
import { type KnownConfiguration, type Membership } from '@cleatquay/membership';
import { type ConfigurationAnswer, type ConfigurationRequest } from '@cleatquay/protocol';
import { type Logger } from 'pino';
import { logAnnouncement, logDigestMismatch, logPeerFetchFailure } from './adoptionLog.js';
import { type PlatformContact } from './platformContact.js';
import { PlatformReaders } from './platformReaders.js';
import { type ProofRenewer } from './proofRenewer.js';
import { SourceContact } from './sourceContact.js';

/** Dependencies of the updater. */
export interface ConfigurationUpdaterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: Configuration<unknown>;
  readonly freshness: Freshness;
  readonly source: ConfigurationSource;
  readonly membership: Membership;
  readonly contact: PlatformContact;
  readonly failureDomain: string;
  /** Undefined if no API keys depend on recent proofs. */
  readonly proofRenewer: ProofRenewer | undefined;
  /** Fetches from a peer what the configuration of this daemon lacks. */
  readonly fetch: (peer: string, request: ConfigurationRequest) => Promise<ConfigurationAnswer>;
  readonly log: Logger;
}

/** Why a daemon reads the platform, if it does. */
type ReadReason = 'none' | 'reader' | 'uninformed' | 'overdue';

/** Adopts each new version until disposed of. */
export class ConfigurationUpdater implements AsyncDisposable {
  readonly readers: PlatformReaders;
  private readonly sourceContact: SourceContact;
  private readonly watcher: ConfigurationWatcher;
  private readonly distribution: ConfigurationDistribution;
  private lastReadReason: ReadReason = 'none';

  constructor(private readonly options: ConfigurationUpdaterOptions) {
    const { clock, random, membership, failureDomain } = options;
    const readers = new PlatformReaders(clock, membership, failureDomain);
    this.readers = readers;
    this.sourceContact = new SourceContact({ clock, random, readers, membership });
    this.watcher = this.createWatcher();
    this.distribution = this.createDistribution();
  }

  /** Starts to read the platform, once the membership has started. */
  start(): void {
    this.watcher.start();
    this.sourceContact.start();
  }

  /** Handles a peer's announcement of its configuration. */
  handleAnnouncement(announced: KnownConfiguration, peer: string): void {
    this.distribution.handleAnnouncement(announced, peer);
  }

  /** Handles the first successful call to the platform, of any task, after an outage. */
  onPlatformReached(): void {
    this.watcher.onSourceReachable();
  }

  /** How long a version that is not active here has been known, ms; 0 if none is known. */
  get behindMs(): number {
    return this.distribution.behindMs;
  }

  /** How long ago a peer first announced a generation, ms; undefined if none did. */
  announcedForMs(generation: number): number | undefined {
    return this.distribution.announcedForMs(generation);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.sourceContact[Symbol.asyncDispose]();
    await this.watcher[Symbol.asyncDispose]();
    await this.distribution[Symbol.asyncDispose]();
  }

  private mustReadPlatform(): boolean {
    const reason = this.readReason;
    const isUnexpected = reason === 'uninformed' || reason === 'overdue';
    if (isUnexpected && reason !== this.lastReadReason) {
      const facts = { reason, behindMs: this.behindMs, sourceSilenceMs: this.readers.sourceSilenceMs };
      this.options.log.info(
        facts,
        'Configuration: Reading the platform, since peers may not deliver a change.',
      );
    }
    this.lastReadReason = reason;
    return reason !== 'none';
  }

  private get readReason(): ReadReason {
    if (this.distribution.isOverdue) return 'overdue';
    if (!this.readers.mustReadPlatform) return 'none';
    return this.readers.isReader ? 'reader' : 'uninformed';
  }

  private createWatcher(): ConfigurationWatcher {
    const { clock, random, configuration, source, freshness } = this.options;
    const { membership, contact, proofRenewer, log } = this.options;
    return new ConfigurationWatcher({
      clock,
      random,
      configuration,
      source,
      freshness,
      mustReadPlatform: () => this.mustReadPlatform(),
      waitMs: isFirst =>
        Math.min(this.readers.waitMs(isFirst), proofRenewer?.maxWaitMs ?? Number.POSITIVE_INFINITY),
      readIntervalMs: () => proofRenewer?.readIntervalMs,
      lostPeers: () => this.readers.lostPeers,
      retryIntervalMs: () => this.readers.retryIntervalMs,
      onReachability: isReachable => {
        contact.record(isReachable);
        membership.setPlatformLost(!isReachable);
      },
      log: (message, facts) => log.info({ ...facts, platform: contact.facts }, `Configuration: ${message}`),
    });
  }

  private createDistribution(): ConfigurationDistribution {
    const { clock, random, configuration, freshness, contact, fetch, log } = this.options;
    return new ConfigurationDistribution({
      clock,
      random,
      configuration,
      freshness,
      store: undefined,
      isReader: () => false,
      onReachability: () => undefined,
      fetchDelayMs: peer => this.readers.fetchDelayMs(peer, configuration.generation > 0),
      fetch,
      fetchOrder: candidates => this.readers.fetchOrder(candidates),
      onAnnounced: (generation, peer) =>
        logAnnouncement(log, { generation, active: configuration.generation, peer }, contact.facts),
      onPeerFailure: (peer, reason) => logPeerFetchFailure(log, peer, reason),
      onDigestMismatch: peer => {
        logDigestMismatch(log, configuration, peer);
        this.watcher.onDigestMismatch();
      },
    });
  }
}
