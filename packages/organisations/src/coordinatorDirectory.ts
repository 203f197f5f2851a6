/** Which daemons this daemon regards as the quota coordinators of its own failure domain and of the others. */
import { coordinatorOf } from './shards.js';

/** The coordinator is looked up for every request, so the result is cached this long. */
const CACHE_MS = 25;
/** A daemon that didn't respond is skipped this long; by then membership has detected its failure. */
const UNRESPONSIVE_FOR_MS = 2000;

/** A daemon that can be a coordinator. */
export interface QuotaMember {
  readonly gossipAddress: string;
  readonly failureDomain: string;
}

/** The daemon's own position, and the members it knows. */
export interface CoordinatorDirectoryOptions {
  /** Gossip address of this daemon. */
  readonly self: string;
  readonly failureDomain: string;
  /** Daemons that are up, including this one. */
  readonly members: () => Iterable<QuotaMember>;
}

/** The coordinators from one daemon's point of view. */
export class CoordinatorDirectory {
  private readonly cache = new Map<number, { readonly address: string; readonly at: number }>();
  private readonly unresponsiveUntil = new Map<string, number>();
  private readonly respondedAt = new Map<string, number>();

  constructor(private readonly options: CoordinatorDirectoryOptions) {}

  /** Gossip address of the coordinator in this daemon's failure domain. */
  inSameDomain(shard: number, now: number): string {
    const cached = this.cache.get(shard);
    if (cached && now - cached.at < CACHE_MS) return cached.address;
    const address = this.select(shard, now);
    this.cache.set(shard, { address, at: now });
    return address;
  }

  /** Gossip addresses of the coordinators in the other failure domains. */
  inOtherDomains(shard: number): string[] {
    const { failureDomain, members } = this.options;
    const domains = new Map<string, string[]>();
    for (const { failureDomain: domain, gossipAddress } of members()) {
      if (domain !== failureDomain) domains.set(domain, [...(domains.get(domain) ?? []), gossipAddress]);
    }
    return [...domains.values()].flatMap(addresses => coordinatorOf(shard, addresses) ?? []);
  }

  /** Whether a daemon is in this daemon's failure domain. */
  isInSameDomain(daemon: string): boolean {
    const { failureDomain, members } = this.options;
    return [...members()].some(m => m.gossipAddress === daemon && m.failureDomain === failureDomain);
  }

  /**
   * Marks a daemon as unresponsive after a request of `sentAt` timed out, unless it has responded since
   * then: a single datagram may get lost.
   */
  recordTimeout(daemon: string, sentAt: number, now: number): void {
    if ((this.respondedAt.get(daemon) ?? Number.NEGATIVE_INFINITY) >= sentAt) return;
    this.unresponsiveUntil.set(daemon, now + UNRESPONSIVE_FOR_MS);
    this.cache.clear();
  }

  recordResponse(daemon: string, now: number): void {
    this.respondedAt.set(daemon, now);
    this.unresponsiveUntil.delete(daemon);
  }

  private select(shard: number, now: number): string {
    const { self, failureDomain, members } = this.options;
    const sameDomain = [...members()].filter(member => member.failureDomain === failureDomain);
    const addresses = sameDomain.map(({ gossipAddress }) => gossipAddress);
    const usable = addresses.filter(address => now >= (this.unresponsiveUntil.get(address) ?? 0));
    return coordinatorOf(shard, [self, ...usable]) ?? self;
  }
}
