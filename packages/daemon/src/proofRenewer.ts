/**
 * Keeps the freshness proof of the configuration recent. A proof shows that the active configuration was the newest one
 * at some moment. The daemon requests proofs from its sources (`platformReaders.ts`), and from any other daemon,
 * too, if these don't help. Logs when API keys are no longer accepted for lack of a proof, and when they are accepted again.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Freshness } from '@cleatquay/configuration';
import { type Membership } from '@cleatquay/membership';
import { type PlatformReaders } from './platformReaders.js';

/**
 * Fractions of the revocation time: how often a daemon requests a proof, how often one daemon of each failure domain
 * reads the platform, and how long the other readers wait there for a change.
 */
const REQUEST_INTERVAL_RATIO = 1 / 12;
const READ_INTERVAL_RATIO = 1 / 4;
const MAX_WAIT_RATIO = 1 / 2;
/** A proof as old as this fraction of the revocation time means that the sources don't help. */
const STALE_RATIO = 1 / 2;
/** Fraction of the revocation time for which a proof is valid: the clocks of two VMs may run a few percent apart. */
const VALID_RATIO = 0.96;

/** Dependencies of the renewer. */
export interface ProofRenewerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly freshness: Freshness;
  readonly readers: Pick<PlatformReaders, 'sources' | 'isReader' | 'isFirstReader'>;
  readonly membership: Pick<Membership, 'requestProof' | 'choice' | 'table'>;
  /** Longest time for which a key may be accepted after it was revoked, ms. */
  readonly revocationMs: number;
  /** Whether requests need keys. */
  readonly needsKeys: () => boolean;
  readonly log: (message: string, facts: object) => void;
}

/** Periodic task that renews the freshness proof while the daemon runs. */
export class ProofRenewer implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private hadValidProof = false;

  constructor(private readonly options: ProofRenewerOptions) {}

  /** Starts the task. */
  start(): void {
    this.running = this.renewPeriodically();
  }

  /** Whether the proof is recent enough to accept keys. */
  get hasValidProof(): boolean {
    return this.options.freshness.ageMs < this.options.revocationMs * VALID_RATIO;
  }

  /**
   * How often this daemon reads the platform to obtain proofs for its failure domain, ms; undefined if it leaves that to
   * the first reader of the failure domain. The other readers start to read when the proof has become so old that the
   * first reader seems to have failed.
   */
  get readIntervalMs(): number | undefined {
    const { revocationMs, readers, freshness, needsKeys } = this.options;
    const intervalMs = revocationMs * READ_INTERVAL_RATIO;
    if (!needsKeys()) return undefined;
    const isFirstReaderMissing = readers.isReader && freshness.ageMs > 2 * intervalMs;
    return readers.isFirstReader || isFirstReaderMissing ? intervalMs : undefined;
  }

  /** How long a platform reader may wait for a change before it checks whether to obtain proofs instead, ms. */
  get maxWaitMs(): number {
    return this.options.needsKeys() ? this.options.revocationMs * MAX_WAIT_RATIO : Number.POSITIVE_INFINITY;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  private async renewPeriodically(): Promise<void> {
    const { clock, revocationMs, needsKeys } = this.options;
    while (!this.stopped.signal.aborted) {
      if (needsKeys()) this.renew();
      await clock.sleep(revocationMs * REQUEST_INTERVAL_RATIO, this.stopped.signal);
    }
  }

  private renew(): void {
    const { freshness, revocationMs, readers, random, membership } = this.options;
    const { ageMs } = freshness;
    this.logTransition(ageMs);
    if (ageMs < revocationMs * REQUEST_INTERVAL_RATIO) return;
    const { sources } = readers;
    const source = sources[Math.floor(random() * sources.length)];
    const sourceAddress = membership.table.get(source ?? '')?.gossipAddress;
    if (sourceAddress !== undefined) membership.requestProof(sourceAddress);
    if (ageMs < revocationMs * STALE_RATIO) return;
    for (const { gossipAddress } of membership.choice.randomAlive(1)) membership.requestProof(gossipAddress);
  }

  private logTransition(ageMs: number): void {
    const { hasValidProof } = this;
    if (hasValidProof === this.hadValidProof) return;
    this.hadValidProof = hasValidProof;
    const message = hasValidProof
      ? 'API keys are accepted.'
      : 'API keys are not accepted: there is no recent proof that none was revoked.';
    this.options.log(message, { proofAgeMs: Math.round(ageMs) });
  }
}
