/** Wires the parts that check the API keys and quotas of organisations in one daemon. */
import { type DecisionTrace, QuotaGate, Authenticator } from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import { Freshness, type ProvenConfiguration } from '@cleatquay/configuration';
import { type Membership, type QuotaHandlers } from '@cleatquay/membership';
import { type Keyring, OrganisationCounts, type QuotaDivision, type Quotas } from '@cleatquay/organisations';
import { fleetQuotas } from './fleetQuotas.js';
import { ProofRenewer } from './proofRounds.js';
import { Readers } from './readers.js';

/** Dependencies of the services. */
export interface OrganisationSideOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ProvenConfiguration;
  /** The keys of the active configuration; undefined if requests need none. */
  readonly keyring: () => Keyring | undefined;
  /**
   * Longest time for which a key may be accepted after it was revoked, ms; undefined if daemons that receive no updates
   * may go on accepting it.
   */
  readonly revocationMs: number | undefined;
  readonly failureDomain: string;
  readonly division: QuotaDivision;
  /** Whether this daemon has a view of the fleet, and so can compute its share of the quotas. */
  readonly knowsFleet: () => boolean;
  readonly log: (message: string, facts: object) => void;
}

/** Keys and quotas of organisations in one daemon. */
export class OrganisationSide implements AsyncDisposable {
  readonly freshness: Freshness;
  readonly counts = new OrganisationCounts();
  readonly senders: Authenticator;
  /** Undefined if keys are accepted without a freshness proof. */
  proofs: ProofRenewer | undefined;
  /** Created once the daemon listens for its peers. */
  quotas!: Quotas;

  constructor(private readonly options: OrganisationSideOptions) {
    const { clock, random, configuration } = options;
    this.freshness = new Freshness(clock, configuration);
    this.senders = new Authenticator({
      random,
      areRevocationsCurrent: () => this.proofs?.hasValidProof ?? true,
    });
  }

  /** Whether requests need keys. */
  get needsKeys(): boolean {
    return this.options.keyring() !== undefined;
  }

  /** Handlers for the quota messages that membership receives. */
  get handlers(): QuotaHandlers {
    return {
      heardQuestion: (question, from) => this.quotas.heardQuestion(question, from),
      heardAnswer: (answer, from) => this.quotas.heardAnswer(answer, from),
    };
  }

  /** Connects to the membership. Must be called before `start`. */
  join(membership: Membership): void {
    this.proofs = this.createProofRenewer(membership);
    this.quotas = fleetQuotas({ ...this.options, membership });
  }

  /** Creates the gate that applies quotas to requests. */
  gate(journal: DecisionTrace): QuotaGate {
    return new QuotaGate({
      clock: this.options.clock,
      journal,
      quotas: () => this.quotas,
      counts: this.counts,
      proofAgeMs: () => this.freshness.ageMs,
    });
  }

  /** Applies the organisations of a new configuration. */
  adopted(): void {
    const organisations = this.options.keyring()?.organisations ?? [];
    this.quotas.adopt(organisations);
    this.counts.keepOnly(new Set(organisations.map(({ name }) => name)));
  }

  /** Starts to renew freshness proofs. */
  start(): void {
    this.proofs?.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.proofs?.[Symbol.asyncDispose]();
    this.quotas[Symbol.dispose]();
  }

  private createProofRenewer(membership: Membership): ProofRenewer | undefined {
    const { clock, random, revocationMs, failureDomain, log } = this.options;
    if (revocationMs === undefined) return undefined;
    return new ProofRenewer({
      clock,
      random,
      freshness: this.freshness,
      readers: new Readers(clock, membership, failureDomain),
      membership,
      revocationMs,
      needsKeys: () => this.needsKeys,
      log,
    });
  }
}
