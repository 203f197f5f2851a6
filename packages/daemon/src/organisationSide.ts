/** Keys and quotas of organisations as one daemon keeps them: the parts, wired together. */
import { type Journal, QuotaGate, Senders } from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import { Freshness, type ProvenConfiguration } from '@cleatquay/configuration';
import { type Membership, type QuotaHandlers } from '@cleatquay/membership';
import { type Keyring, OrganisationCounts, type QuotaDivision, type Quotas } from '@cleatquay/organisations';
import { fleetQuotas } from './fleetQuotas.js';
import { ProofRounds } from './proofRounds.js';
import { Readers } from './readers.js';

/** What it starts from. */
export interface OrganisationSideOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ProvenConfiguration;
  /** The keys of the configuration in force; undefined where requests need none. */
  readonly keyring: () => Keyring | undefined;
  /** How long after it was taken away a key may be honoured, ms; undefined where only daemons in contact have to keep up. */
  readonly revocationMs: number | undefined;
  readonly failureDomain: string;
  readonly division: QuotaDivision;
  /** Whether it knows which daemons there are, and so how large its share of quotas is. */
  readonly knowsFleet: () => boolean;
  readonly log: (message: string, facts: object) => void;
}

/** The side of one daemon. */
export class OrganisationSide implements AsyncDisposable {
  readonly freshness: Freshness;
  readonly counts = new OrganisationCounts();
  readonly senders: Senders;
  /** Undefined where keys need no proof. */
  proofs: ProofRounds | undefined;
  /** Made once the daemon listens for its peers. */
  quotas!: Quotas;

  constructor(private readonly options: OrganisationSideOptions) {
    const { clock, random, configuration } = options;
    this.freshness = new Freshness(clock, configuration);
    this.senders = new Senders({ random, areKeysProven: () => this.proofs?.isProven ?? true });
  }

  /** Whether requests need keys. */
  get needsKeys(): boolean {
    return this.options.keyring() !== undefined;
  }

  /** What membership hands on to it. */
  get handlers(): QuotaHandlers {
    return {
      heardQuestion: (question, from) => this.quotas.heardQuestion(question, from),
      heardAnswer: (answer, from) => this.quotas.heardAnswer(answer, from),
    };
  }

  /** Takes its place among the members. */
  join(membership: Membership): void {
    this.proofs = this.makeProofs(membership);
    this.quotas = fleetQuotas({ ...this.options, membership });
  }

  /** The gate for requests of organisations. */
  gate(journal: Journal): QuotaGate {
    return new QuotaGate({
      clock: this.options.clock,
      journal,
      quotas: () => this.quotas,
      counts: this.counts,
      proofAgeMs: () => this.freshness.ageMs,
    });
  }

  /** Takes over the organisations of a new configuration. */
  adopted(): void {
    const organisations = this.options.keyring()?.organisations ?? [];
    this.quotas.adopt(organisations);
    this.counts.keepOnly(new Set(organisations.map(({ name }) => name)));
  }

  /** Starts to keep proofs young. */
  start(): void {
    this.proofs?.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.proofs?.[Symbol.asyncDispose]();
    this.quotas[Symbol.dispose]();
  }

  private makeProofs(membership: Membership): ProofRounds | undefined {
    const { clock, random, revocationMs, failureDomain, log } = this.options;
    if (revocationMs === undefined) return undefined;
    return new ProofRounds({
      clock,
      random,
      freshness: this.freshness,
      readers: new Readers(clock, membership, failureDomain),
      membership,
      boundMs: revocationMs,
      needsKeys: () => this.needsKeys,
      log,
    });
  }
}
