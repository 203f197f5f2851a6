/** Whom this daemon takes for the ones that give out quotas: in its own failure domain, and in the others. */
import { holderOf } from './shards.js';

/** How long the daemon that gives out counts as known, ms: each request asks. */
const KNOWN_FOR_MS = 25;
/** One that gave no answer is passed over for so long, ms: until membership has found out. */
const LOST_FOR_MS = 2000;

/** A daemon that may give out. */
export interface QuotaMember {
  readonly gossipAddress: string;
  readonly failureDomain: string;
}

/** Where a daemon stands, and whom it knows. */
export interface HoldersOptions {
  /** Gossip address of this daemon. */
  readonly self: string;
  readonly failureDomain: string;
  /** Daemons that are up, this one among them. */
  readonly members: () => Iterable<QuotaMember>;
}

/** The daemons that give out, as one daemon sees them. */
export class Holders {
  private readonly known = new Map<number, { readonly address: string; readonly at: number }>();
  private readonly lostUntil = new Map<string, number>();
  private readonly heardAt = new Map<string, number>();

  constructor(private readonly options: HoldersOptions) {}

  /** The one of the own failure domain, by its gossip address. */
  near(shard: number, now: number): string {
    const known = this.known.get(shard);
    if (known && now - known.at < KNOWN_FOR_MS) return known.address;
    const address = this.find(shard, now);
    this.known.set(shard, { address, at: now });
    return address;
  }

  /** Those of the other failure domains. */
  far(shard: number): string[] {
    const { failureDomain, members } = this.options;
    const domains = new Map<string, string[]>();
    for (const { failureDomain: domain, gossipAddress } of members()) {
      if (domain !== failureDomain) domains.set(domain, [...(domains.get(domain) ?? []), gossipAddress]);
    }
    return [...domains.values()].flatMap(addresses => holderOf(shard, addresses) ?? []);
  }

  /** Whether a daemon is of the own failure domain. */
  isNear(daemon: string): boolean {
    const { failureDomain, members } = this.options;
    return [...members()].some(m => m.gossipAddress === daemon && m.failureDomain === failureDomain);
  }

  /** It gave no answer to a question of then. It is lost if it has answered none since: a single datagram may get lost. */
  silent(daemon: string, askedAt: number, now: number): void {
    if ((this.heardAt.get(daemon) ?? Number.NEGATIVE_INFINITY) >= askedAt) return;
    this.lostUntil.set(daemon, now + LOST_FOR_MS);
    this.known.clear();
  }

  /** It gave one. */
  heard(daemon: string, now: number): void {
    this.heardAt.set(daemon, now);
    this.lostUntil.delete(daemon);
  }

  private find(shard: number, now: number): string {
    const { self, failureDomain, members } = this.options;
    const near = [...members()].filter(member => member.failureDomain === failureDomain);
    const addresses = near.map(({ gossipAddress }) => gossipAddress);
    const usable = addresses.filter(address => now >= (this.lostUntil.get(address) ?? 0));
    return holderOf(shard, [self, ...usable]) ?? self;
  }
}
