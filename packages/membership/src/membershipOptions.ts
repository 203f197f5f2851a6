/** What a daemon brings to its membership, and hears from it. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Finding, type Member, type QuotaAnswer, type QuotaQuestion } from '@cleatquay/protocol';
import { type Datagrams } from './datagrams.js';

/** Which configuration a daemon has. */
export interface KnownConfiguration {
  readonly generation: number;
  /** First half of the digest of its content. */
  readonly shortDigest: number;
}

/** How lately each daemon's configuration was the newest, as it travels on answers to probes. */
export interface Proofs<Asked> {
  /** How long ago that of this daemon was, ms; infinite if it never was. */
  readonly ageMs: () => number;
  /** The present moment, kept with a question until its answer comes. */
  readonly asking: () => Asked;
  /** A member answers a question that was asked then. */
  readonly heard: (proof: KnownConfiguration & { readonly ageMs: number }, asked: Asked) => void;
}

/** What daemons find out about requests under which upstreams end, as gossip sees it. */
export interface Findings {
  /** Digest of the verdicts that are known here; 0 for none. */
  readonly digest: () => number;
  /** The verdicts that are known here. */
  readonly verdicts: () => readonly Finding[];
  /** Takes a finding of another daemon. Says whether it was news. */
  readonly heard: (finding: Finding) => boolean;
}

/** Questions for room in quotas, which travel in datagrams of membership. */
export interface QuotaHandlers {
  readonly heardQuestion: (question: QuotaQuestion, from: string) => void;
  readonly heardAnswer: (answer: QuotaAnswer, from: string) => void;
}

/** What a daemon brings to its membership. */
export interface MembershipOptions<Asked = unknown> {
  readonly clock: Clock;
  readonly random: Random;
  readonly datagrams: Datagrams;
  readonly self: Omit<Member, 'incarnation' | 'state' | 'upstreams' | 'isPlatformLost'>;
  readonly seeds: readonly string[];
  /** Told when a member says which configuration it has. */
  readonly onConfiguration: (configuration: KnownConfiguration, from: string) => void;
  readonly findings?: Findings;
  readonly proofs?: Proofs<Asked>;
  readonly quotas?: QuotaHandlers;
  /** Told of every change of a member other than this one. */
  readonly onChange: (member: Member) => void;
  /** Whether datagrams to and from this gossip address are cut off; a hook for tests. */
  readonly isCut?: (gossipAddress: string) => boolean;
}
