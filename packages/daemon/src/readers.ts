/**
 * Which daemons read the platform: a few of each failure domain, by hash order, so that none has to be elected. And what follows from it for one
 * daemon: whether it reads, whom it asks for what others have read, and how long it waits before it asks.
 */
import { type Clock } from '@cleatquay/clock';
import { type Membership } from '@cleatquay/membership';
import { type Member } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';

/** Readers of a failure domain: one may fail without anybody noticing. */
const READERS = 2;
/** How long a reader has for a version that a peer has, before it asks the peer, ms. */
const READER_PATIENCE_MS = 400;
/**
 * How long a daemon waits for a version that a peer in another failure domain has, ms: by then the readers of its own have it from the
 * platform, and what goes between failure domains is dear.
 */
const FAR_PEER_PATIENCE_MS = 150;
/** A daemon that has heard nobody for so long reads for itself, ms: others ask and answer it about twice a second. */
const ALONE_AFTER_MS = 1500;

/** The readers of a failure domain, as this view of the fleet has it. Two views that differ only cost some reads. */
export function readersOf(failureDomain: string, members: Iterable<Member>): string[] {
  const ranked: { readonly address: string; readonly rank: number }[] = [];
  for (const { address, failureDomain: domain, state } of members) {
    if (state === 'ALIVE' && domain === failureDomain) ranked.push({ address, rank: crc32(address) });
  }
  ranked.sort((a, b) => a.rank - b.rank);
  return ranked.slice(0, READERS).map(({ address }) => address);
}

/** The readers as one daemon sees them. */
export class Readers {
  constructor(
    private readonly clock: Clock,
    private readonly membership: Pick<Membership, 'me' | 'table' | 'lastHeardAt' | 'aliveCount'>,
    private readonly failureDomain: string,
  ) {}

  /** Whether this daemon is one of those of its failure domain. */
  get isReader(): boolean {
    return this.near.includes(this.membership.me.address);
  }

  /** Whether this daemon has to read now: as a reader, or because it is alone. Before it has heard of others it doesn't know yet. */
  get isOnDuty(): boolean {
    const isAlone = this.clock.now() - this.membership.lastHeardAt > ALONE_AFTER_MS;
    return isAlone || (this.membership.aliveCount() > 0 && this.isReader);
  }

  /** Whom to ask for what a peer says that it has: what one in another failure domain has, a reader of this one has read. */
  holderOf(peer: string): string {
    if (this.isNear(peer)) return peer;
    return this.near.find(address => address !== this.membership.me.address) ?? peer;
  }

  /** How long to wait for what a peer says that it has before asking for it, ms. */
  patienceMs(peer: string): number {
    if (this.isReader) return READER_PATIENCE_MS;
    return this.isNear(peer) ? 0 : FAR_PEER_PATIENCE_MS;
  }

  private get near(): string[] {
    return readersOf(this.failureDomain, this.membership.table.all());
  }

  private isNear(peer: string): boolean {
    return this.membership.table.get(peer)?.failureDomain === this.failureDomain;
  }
}
