/** The candidates of a service that one daemon uses: a bounded subset, so that links and connections stay few. */
import { crc32 } from 'node:zlib';
import { type PeerStatistics } from './peerStatistics.js';
import { type Candidate } from './upstreamDirectory.js';

const SAME_DOMAIN_SUBSET_SIZE = 12;
const OTHER_DOMAIN_SUBSET_SIZE = 6;
/** All other failure domains together, where calls are balanced between failure domains. */
const BALANCED_SUBSET_SIZE = 12;

/** A candidate with its statistics. */
export interface MeasuredCandidate {
  readonly candidate: Candidate;
  readonly statistics: PeerStatistics;
}

/** Settings of the choice of a subset. */
export interface SubsetOptions {
  /** ip:port of this daemon's peer protocol. */
  readonly self: string;
  readonly failureDomain: string;
  /** Whether calls are balanced between failure domains, which takes enough candidates of each. */
  readonly isBalanced: boolean;
}

/** Chosen by rendezvous hashing, so that it changes little when candidates join or leave. */
export function selectSubset(all: readonly Candidate[], options: SubsetOptions): Candidate[] {
  const { self, failureDomain, isBalanced } = options;
  const ranked = all
    .map(candidate => ({ candidate, weight: crc32(`${self} ${candidate.address}`) }))
    .sort((a, b) => a.weight - b.weight)
    .map(({ candidate }) => candidate);
  const sameDomain = ranked.filter(c => c.failureDomain === failureDomain).slice(0, SAME_DOMAIN_SUBSET_SIZE);
  const others = ranked.filter(c => c.failureDomain !== failureDomain);
  if (!isBalanced) return [...sameDomain, ...others.slice(0, OTHER_DOMAIN_SUBSET_SIZE)];
  const domains = [...new Set(others.map(c => c.failureDomain))];
  const perDomain = Math.min(OTHER_DOMAIN_SUBSET_SIZE, Math.floor(BALANCED_SUBSET_SIZE / domains.length));
  const balanced = domains.flatMap(name =>
    others.filter(c => c.failureDomain === name).slice(0, Math.max(1, perDomain)),
  );
  return [...sameDomain, ...balanced];
}
