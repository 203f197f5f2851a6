/** Options and callbacks of a daemon's membership. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Finding, type Member, type QuotaAnswer, type QuotaQuestion } from '@cleatquay/protocol';
import { type Datagrams } from './datagrams.js';

/** The configuration that a daemon has active. */
export interface KnownConfiguration {
  readonly generation: number;
  /** First half of the digest of its content. */
  readonly shortDigest: number;
}

/** Freshness proofs of the configuration, which travel on acknowledgements of probes. */
export interface Proofs<Context> {
  /** Age of this daemon's proof, ms; infinite if it has none. */
  readonly ageMs: () => number;
  /** Gives the present moment, which is stored with a probe until it is acknowledged. */
  readonly captureContext: () => Context;
  /** Receives a member's proof, with the context of the probe that it acknowledges. */
  readonly receive: (proof: KnownConfiguration & { readonly ageMs: number }, context: Context) => void;
}

/** Findings about queries of death (requests under which upstreams crash), as gossip carries them. */
export interface Findings {
  /** Digest of the verdicts known to this daemon; 0 for none. */
  readonly digest: () => number;
  /** The verdicts known to this daemon. */
  readonly verdicts: () => readonly Finding[];
  /** Applies a finding of another daemon; returns whether it was new. */
  readonly receive: (finding: Finding) => boolean;
}

/** Requests for quota capacity and their responses, which travel in gossip datagrams. */
export interface QuotaHandlers {
  readonly handleRequest: (request: QuotaQuestion, from: string) => void;
  readonly handleResponse: (response: QuotaAnswer, from: string) => void;
}

/** Options of a daemon's membership. */
export interface MembershipOptions<Context = unknown> {
  readonly clock: Clock;
  readonly random: Random;
  readonly datagrams: Datagrams;
  readonly self: Omit<Member, 'incarnation' | 'state' | 'upstreams' | 'isPlatformLost'>;
  readonly seeds: readonly string[];
  /** Called when a member announces which configuration it has. */
  readonly onConfiguration: (configuration: KnownConfiguration, from: string) => void;
  readonly findings?: Findings;
  readonly proofs?: Proofs<Context>;
  readonly quotas?: QuotaHandlers;
  /** Called for each change of another member. */
  readonly onChange: (member: Member) => void;
  /** Whether a simulated network partition separates this daemon from a gossip address; a hook for tests. */
  readonly isPartitioned?: (gossipAddress: string) => boolean;
}
