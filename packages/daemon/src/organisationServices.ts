/** Creates and connects the components that check the API keys and quotas of organisations in one daemon. */
import { type DecisionTrace, QuotaGate, Authenticator } from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import { Freshness, type ConfigurationVersion } from '@cleatquay/configuration';
import { type Membership, type QuotaHandlers } from '@cleatquay/membership';
import {
  type Keyring,
  OrganisationCounts,
  type QuotaDivision,
  type Quotas,
  type ShareReport,
} from '@cleatquay/organisations';
import { createFleetQuotas } from './createFleetQuotas.js';
import { ProofRenewer } from './proofRenewer.js';
import { PlatformReaders } from './platformReaders.js';

/** Dependencies of the services. */
export interface OrganisationServicesOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly configuration: ConfigurationVersion;
  /** The keys of the active configuration; undefined if requests need none. */
  readonly keyring: () => Keyring | undefined;
  /**
   * Longest time for which a key may be accepted after it was revoked, ms; undefined if daemons that receive no updates
   * may go on accepting it.
   */
  readonly revocationMs: number | undefined;
  readonly failureDomain: string;
  readonly division: QuotaDivision;
  /** Number of daemons among which the quotas of the failure domain are divided; undefined while unknown. */
  readonly shareCount: () => number | undefined;
  /** Called with each change of the shares of quotas that this daemon holds or has. */
  readonly onShares?: (report: ShareReport) => void;
  readonly log: (message: string, facts: object) => void;
}

/** Keys and quotas of organisations in one daemon. */
export class OrganisationServices implements AsyncDisposable {
  readonly freshness: Freshness;
  readonly counts = new OrganisationCounts();
  readonly authenticator: Authenticator;
  /** Undefined if keys are accepted without a freshness proof. */
  proofRenewer: ProofRenewer | undefined;
  /** Created once the daemon listens for its peers. */
  quotas!: Quotas;

  constructor(private readonly options: OrganisationServicesOptions) {
    const { clock, random, configuration } = options;
    this.freshness = new Freshness(clock, configuration);
    this.authenticator = new Authenticator({
      random,
      areRevocationsCurrent: () => this.proofRenewer?.hasValidProof ?? true,
    });
  }

  /** Whether requests need keys. */
  get needsKeys(): boolean {
    return this.options.keyring() !== undefined;
  }

  /** Handlers for the quota messages that membership receives. */
  get quotaHandlers(): QuotaHandlers {
    return {
      handleRequest: (request, from) => this.quotas.handleRequest(request, from),
      handleResponse: (response, from) => this.quotas.handleResponse(response, from),
    };
  }

  /** Connects to the membership. Must be called before `start`. */
  connect(membership: Membership): void {
    this.proofRenewer = this.createProofRenewer(membership);
    this.quotas = createFleetQuotas({ ...this.options, membership });
  }

  /** Creates the gate that applies quotas to requests. */
  createQuotaGate(decisionTrace: DecisionTrace): QuotaGate {
    return new QuotaGate({
      clock: this.options.clock,
      decisionTrace,
      quotas: () => this.quotas,
      counts: this.counts,
      proofAgeMs: () => this.freshness.ageMs,
    });
  }

  /** Applies the organisations of a new configuration. */
  onConfigurationAdopted(): void {
    const organisations = this.options.keyring()?.organisations ?? [];
    this.quotas.adopt(organisations);
    this.counts.retain(new Set(organisations.map(({ name }) => name)));
  }

  /** Starts to renew freshness proofs. */
  start(): void {
    this.proofRenewer?.start();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.proofRenewer?.[Symbol.asyncDispose]();
    this.quotas[Symbol.dispose]();
  }

  private createProofRenewer(membership: Membership): ProofRenewer | undefined {
    const { clock, random, revocationMs, failureDomain, log } = this.options;
    if (revocationMs === undefined) return undefined;
    return new ProofRenewer({
      clock,
      random,
      freshness: this.freshness,
      readers: new PlatformReaders(clock, membership, failureDomain),
      membership,
      revocationMs,
      needsKeys: () => this.needsKeys,
      log,
    });
  }
}
