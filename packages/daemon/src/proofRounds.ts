/**
 * Keeps the proof young that the configuration in force is the newest: asks those that read the platform for this failure domain, and where they don't
 * help, anybody. Says when keys can't be honoured any more, and when they can again.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Freshness } from '@cleatquay/configuration';
import { type Membership } from '@cleatquay/membership';
import { type Readers } from './readers.js';

/** Parts of the bound: how often a daemon asks, how often one of each failure domain reads the platform, and how long others wait there for changes. */
const ASK_PART = 1 / 12;
const READ_PART = 1 / 4;
const WAIT_PART = 1 / 2;
/** A proof of this part of the bound means that those who were asked don't help. */
const OLD_PART = 1 / 2;
/** Part of the bound after which a proof holds no more: clocks of two VMs may differ by some hundredths. */
const TRUSTED_PART = 0.96;

/** What the rounds need of their daemon. */
export interface ProofRoundsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly freshness: Freshness;
  readonly readers: Pick<Readers, 'provers' | 'isReader' | 'isFirstReader'>;
  readonly membership: Pick<Membership, 'ask' | 'randomAlive' | 'table'>;
  /** How long after it was taken away a key may still be honoured, ms. */
  readonly boundMs: number;
  /** Whether requests need keys. */
  readonly needsKeys: () => boolean;
  readonly log: (message: string, facts: object) => void;
}

/** One task that asks for as long as the daemon runs. */
export class ProofRounds implements AsyncDisposable {
  private readonly stopped = new AbortController();
  private running: Promise<void> = Promise.resolve();
  private wasProven = false;

  constructor(private readonly options: ProofRoundsOptions) {}

  /** Starts to ask. */
  start(): void {
    this.running = this.askForever();
  }

  /** Whether keys may be honoured now. */
  get isProven(): boolean {
    return this.options.freshness.ageMs < this.options.boundMs * TRUSTED_PART;
  }

  /**
   * How often this daemon reads the platform to prove for others, ms; undefined for one that leaves it to the first reader of its failure domain. Another reader
   * does in its place where nothing is heard of that.
   */
  get paceMs(): number | undefined {
    const { boundMs, readers, freshness, needsKeys } = this.options;
    const paceMs = boundMs * READ_PART;
    if (!needsKeys()) return undefined;
    const isMissing = readers.isReader && freshness.ageMs > 2 * paceMs;
    return readers.isFirstReader || isMissing ? paceMs : undefined;
  }

  /** How long a reader of the platform may wait for a change before it looks whether it should prove instead, ms. */
  get longestWaitMs(): number {
    return this.options.needsKeys() ? this.options.boundMs * WAIT_PART : Number.POSITIVE_INFINITY;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    await this.running;
  }

  private async askForever(): Promise<void> {
    const { clock, boundMs, needsKeys } = this.options;
    while (!this.stopped.signal.aborted) {
      if (needsKeys()) this.round();
      await clock.sleep(boundMs * ASK_PART, this.stopped.signal);
    }
  }

  private round(): void {
    const { freshness, boundMs, readers, random, membership } = this.options;
    const { ageMs } = freshness;
    this.noteChange(ageMs);
    if (ageMs < boundMs * ASK_PART) return;
    const { provers } = readers;
    const prover = provers[Math.floor(random() * provers.length)];
    const near = membership.table.get(prover ?? '')?.gossipAddress;
    if (near !== undefined) membership.ask(near);
    if (ageMs < boundMs * OLD_PART) return;
    for (const { gossipAddress } of membership.randomAlive(1)) membership.ask(gossipAddress);
  }

  private noteChange(ageMs: number): void {
    const { isProven } = this;
    if (isProven === this.wasProven) return;
    this.wasProven = isProven;
    const message = isProven
      ? 'Keys are honoured.'
      : 'Keys are not honoured: nothing shows that none was taken away.';
    this.options.log(message, { proofAgeMs: Math.round(ageMs) });
  }
}
