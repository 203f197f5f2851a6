/**
 * Selects the daemons that read the platform: a few of each failure domain, in the order of a hash, so that no election
 * is needed. From this follows for one daemon whether it reads, from which peers it fetches what others have read, and
 * how long it waits before it fetches.
 */
import { type Clock } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type Member } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';

/** Readers of each failure domain. With two, one may fail without any delay for the others. */
const READERS_PER_DOMAIN = 2;
/**
 * Daemons, next in the order, that replace readers whose own reads fail: the platform may reject some daemons and serve
 * others. Without them, a failure domain partitioned from the others would learn of a change only at its next periodic
 * read. The number is limited, since in a complete outage every daemon would otherwise try in turn. While the reads of
 * all readers and fallback readers fail, all of them keep trying, since the platform may now reject other daemons.
 */
const FALLBACK_READERS = 4;
/** How long a reader whose reads succeed waits for a version from the platform before it fetches it from a peer, ms. */
const READER_FETCH_DELAY_MS = 400;
/**
 * Delay before a version is fetched from a peer in another failure domain, ms. By then the readers of this daemon's own
 * failure domain have read it from the platform, and traffic between failure domains is expensive.
 */
const OTHER_DOMAIN_FETCH_DELAY_MS = 150;
/**
 * Time between consecutive ends of long polls in the fleet, ms, however many readers there are. An open connection to
 * the platform may stop responding for good while new ones work, and that shows only when a poll ends. So one poll ends
 * within this time, and its daemon informs the others. A change must be active within 2 s, or within 3 s if connections
 * stopped responding. A shorter time would cost more calls: this one makes one call a second for the whole fleet.
 */
const WAIT_STAGGER_MS = 1000;
/**
 * Mean interval between failed reads of a reader, ms. Each of them alone reads in time for the 2 s within which a change must be active once
 * the platform is available again: that several readers share the work holds only while their turns differ, and what makes all of them
 * fail makes them fail together. While all fail there are at most six in a failure domain.
 */
const RETRY_INTERVAL_MS = 1000;
/** The same for a daemon that is not a reader, ms, and has no configuration yet: it gets one from those that are. */
const OTHER_RETRY_INTERVAL_MS = 6000;
/** Assumed number of readers for the wait of a daemon that is not a reader. */
const TYPICAL_READERS = 6;
/** Maximum number of daemons that have the same daemon as a source, per reader if their sources are readers. */
const MAX_REQUESTERS_PER_DAEMON = 16;
/**
 * A daemon whose sources were silent for this time reads the platform itself, ms: together with the interval of that
 * check it is less than the 2 s within which a change must be active. Datagrams of other daemons don't count, since
 * these may lack the same change.
 */
const UNINFORMED_AFTER_MS = 1200;

/**
 * Returns the readers of a failure domain in this view of the fleet: up to two whose reads succeed or, if there are none,
 * all readers and fallback readers. If the views of two daemons differ, that only causes some additional reads.
 */
export function platformReadersOf(failureDomain: string, members: Iterable<Member>): string[] {
  return readersAmong(rankedMembers(failureDomain, members));
}

function readersAmong(ranked: readonly RankedMember[]): string[] {
  const candidates = ranked.slice(0, READERS_PER_DOMAIN + FALLBACK_READERS);
  const connected = candidates.filter(({ isPlatformLost }) => !isPlatformLost);
  const chosen = connected.length > 0 ? connected.slice(0, READERS_PER_DOMAIN) : candidates;
  return chosen.map(({ address }) => address);
}

interface RankedMember {
  readonly address: string;
  readonly rank: number;
  readonly isPlatformLost: boolean;
}

/** The daemons of a failure domain that are up, in the same order on all daemons. */
function rankedMembers(failureDomain: string, members: Iterable<Member>): RankedMember[] {
  const ranked: RankedMember[] = [];
  for (const { address, failureDomain: domain, state, isPlatformLost } of members) {
    if (state === 'ALIVE' && domain === failureDomain)
      ranked.push({ address, rank: crc32(address), isPlatformLost });
  }
  return ranked.sort((a, b) => a.rank - b.rank);
}

/** The platform readers as seen by one daemon. */
export class PlatformReaders {
  private readonly startedAt: number;
  /** The members of this failure domain at a revision of the table: ranking thousands of them takes milliseconds. */
  private ranking: { readonly revision: number; readonly members: readonly RankedMember[] } | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly membership: Pick<Membership, 'me' | 'table' | 'lastHeardAt' | 'aliveCount'>,
    private readonly failureDomain: string,
  ) {
    this.startedAt = clock.now();
  }

  /** Whether this daemon is a reader of its failure domain. */
  get isReader(): boolean {
    return this.sameDomainReaders.includes(this.membership.me.address);
  }

  /** Whether this daemon is the first reader of its failure domain. */
  get isFirstReader(): boolean {
    return this.sameDomainReaders[0] === this.membership.me.address;
  }

  /**
   * Whether this daemon must read the platform now: as a reader, or because it is uninformed. While it knows no other
   * members yet, it can't tell whether it is a reader.
   */
  get mustReadPlatform(): boolean {
    return this.isUninformed || (this.membership.aliveCount() > 0 && this.isReader);
  }

  /** Whether this daemon may have missed a change, since its sources were silent for too long. */
  get isUninformed(): boolean {
    return this.sourceSilenceMs > UNINFORMED_AFTER_MS;
  }

  /** Time since a source of this daemon was last heard, ms. */
  get sourceSilenceMs(): number {
    const heard = this.sources.map(address => this.membership.lastHeardAt(address) ?? this.startedAt);
    return this.clock.now() - Math.max(this.startedAt, ...heard);
  }

  /**
   * Returns the order in which to fetch a version that `candidates` report to have: first the candidates in this failure
   * domain, then those of its readers whose reads succeed, which most likely have read it as well, and last the candidates in others, since traffic
   * between failure domains is expensive.
   */
  fetchOrder(candidates: readonly string[]): readonly string[] {
    const sameDomain = candidates.filter(peer => this.isInSameDomain(peer));
    const otherDomain = candidates.filter(peer => !this.isInSameDomain(peer));
    const readers = this.connectedReaders.filter(address => address !== this.membership.me.address);
    return [...new Set([...sameDomain, ...readers, ...otherDomain])];
  }

  /**
   * Delay before fetching a version from a peer that reports to have it, ms. Only a daemon that can soon expect it from elsewhere waits: a reader
   * from the platform, and others from a reader of their failure domain.
   */
  fetchDelayMs(peer: string, hasConfiguration: boolean): number {
    const { connectedReaders } = this;
    const { address } = this.membership.me;
    if (hasConfiguration && connectedReaders.includes(address)) return READER_FETCH_DELAY_MS;
    if (this.isInSameDomain(peer)) return 0;
    const isFirst = this.sameDomainReaders.slice(0, READERS_PER_DOMAIN).includes(address);
    const mayBeFirst = connectedReaders.length === 0 || !hasConfiguration;
    return isFirst && mayBeFirst ? 0 : OTHER_DOMAIN_FETCH_DELAY_MS;
  }

  /**
   * Duration of this daemon's next long poll of the platform, ms. A change ends the polls of all readers at once. So the
   * first polls after it differ in duration. The later ones have the same, proportional to the number of readers, which
   * keeps their ends apart.
   */
  waitMs(isFirst: boolean): number {
    const readers = this.allReaders;
    const position = readers.indexOf(this.membership.me.address);
    if (position < 0) return TYPICAL_READERS * WAIT_STAGGER_MS;
    return (isFirst ? position + 1 : readers.length) * WAIT_STAGGER_MS;
  }

  /**
   * The daemons from which this one learns what the platform has, and requests freshness proofs: the readers of its
   * failure domain, or in a large one a daemon that ranks between them and this one, so that no daemon receives too many
   * requests.
   */
  get sources(): readonly string[] {
    const { sameDomainReaders } = this;
    const others = sameDomainReaders.filter(address => address !== this.membership.me.address);
    const { ranked } = this;
    const position = ranked.findIndex(({ address }) => address === this.membership.me.address);
    if (position < (MAX_REQUESTERS_PER_DAEMON + 1) * sameDomainReaders.length) return others;
    return ranked
      .slice(
        Math.floor(position / MAX_REQUESTERS_PER_DAEMON),
        Math.floor(position / MAX_REQUESTERS_PER_DAEMON) + 1,
      )
      .map(({ address }) => address);
  }

  /** Number of other daemons of this failure domain whose reads of the platform fail. */
  get lostPeers(): number {
    const { address: self } = this.membership.me;
    return this.ranked.filter(({ address, isPlatformLost }) => isPlatformLost && address !== self).length;
  }

  /** Mean interval between failed reads of the platform, ms. */
  get retryIntervalMs(): number {
    return this.isReader ? RETRY_INTERVAL_MS : OTHER_RETRY_INTERVAL_MS;
  }

  /** The readers of all failure domains, in the same order on all daemons. */
  private get allReaders(): string[] {
    const members = [...this.membership.table.all()];
    const domains = [...new Set(members.map(({ failureDomain }) => failureDomain))].sort();
    return domains.flatMap(domain => platformReadersOf(domain, members));
  }

  /** The readers of this failure domain whose reads succeed, as far as known. */
  private get connectedReaders(): string[] {
    const lost = new Set(this.ranked.filter(({ isPlatformLost }) => isPlatformLost).map(one => one.address));
    return this.sameDomainReaders.filter(address => !lost.has(address));
  }

  private get sameDomainReaders(): string[] {
    return readersAmong(this.ranked);
  }

  private get ranked(): readonly RankedMember[] {
    const { table } = this.membership;
    if (this.ranking?.revision !== table.revision)
      this.ranking = {
        revision: table.revision,
        members: rankedMembers(this.failureDomain, table.all()),
      };
    return this.ranking.members;
  }

  private isInSameDomain(peer: string): boolean {
    return this.membership.table.get(peer)?.failureDomain === this.failureDomain;
  }
}
