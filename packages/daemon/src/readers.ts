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
/**
 * Those that are next in order read in place of readers whose own reads fail: the platform may reject some daemons and serve others. Without them
 * a failure domain that is cut off from the others hears of a change at the next look. So many and no more, since an outage for all would
 * make every daemon ask in turn. While the reads of all of them fail, all of them try, since it may be others by now that are rejected.
 */
const STAND_INS = 4;
/** How long a reader has for a version that a peer has, before it asks the peer, ms. */
const READER_PATIENCE_MS = 400;
/**
 * How long a daemon waits for a version that a peer in another failure domain has, ms: by then the readers of its own have it from the
 * platform, and what goes between failure domains is dear.
 */
const FAR_PEER_PATIENCE_MS = 150;
/**
 * The waits of all readers of the fleet end so far from each other, ms, however many they are. An open connection to the platform may fall
 * silent for good while new ones work, which shows only when a wait has ended: one of them does within this time, and its daemon tells the
 * others. A change is to be in force within 2 s, and within 3 s of such a silence. Shorter ones cost calls: there is
 * one a second for the whole fleet.
 */
const WAIT_STEP_MS = 1000;
/**
 * Pause after a read that failed, ms for each reader of the failure domain: one of them asks about so often, below the 2 s within which a change has to
 * be in force after the platform's return, and they ask no more often the more of them there are. While the platform rejects other
 * daemons each second, a change may have to wait for the end of a pause.
 */
const PAUSE_STEP_MS = 1000;
/** A daemon that is no reader waits as long as one of so many readers. */
const USUAL_READERS = 6;
/** Daemons that ask one other how lately its configuration was the newest, at most; readers have as many each. */
const ASKERS = 16;
/** A daemon that has heard nobody for so long reads for itself, ms: others ask and answer it about twice a second. */
const ALONE_AFTER_MS = 1500;

/**
 * The readers of a failure domain, as this view of the fleet has it: two whose reads succeed, or all that may stand in where there are none. Two
 * views that differ only cost some reads.
 */
export function readersOf(failureDomain: string, members: Iterable<Member>): string[] {
  const first = ranksOf(failureDomain, members).slice(0, READERS + STAND_INS);
  const reaching = first.filter(({ isPlatformLost }) => !isPlatformLost);
  const chosen = reaching.length > 0 ? reaching.slice(0, READERS) : first;
  return chosen.map(({ address }) => address);
}

interface Ranked {
  readonly address: string;
  readonly rank: number;
  readonly isPlatformLost: boolean;
}

/** The daemons of a failure domain that are up, in an order that all share. */
function ranksOf(failureDomain: string, members: Iterable<Member>): Ranked[] {
  const ranked: Ranked[] = [];
  for (const { address, failureDomain: domain, state, isPlatformLost } of members) {
    if (state === 'ALIVE' && domain === failureDomain)
      ranked.push({ address, rank: crc32(address), isPlatformLost });
  }
  return ranked.sort((a, b) => a.rank - b.rank);
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

  /** Whether this daemon is the first of them. */
  get isFirstReader(): boolean {
    return this.near[0] === this.membership.me.address;
  }

  /** Whether this daemon has to read now: as a reader, or because it is alone. Before it has heard of others it doesn't know yet. */
  get isOnDuty(): boolean {
    const isAlone = this.clock.now() - this.membership.lastHeardAt > ALONE_AFTER_MS;
    return isAlone || (this.membership.aliveCount() > 0 && this.isReader);
  }

  /**
   * Whom to ask for what these peers say that they have: those of this failure domain, then its readers, who most likely have read it, too,
   * and only then the others, since what goes between failure domains is dear.
   */
  inOrder(holders: readonly string[]): readonly string[] {
    const near = holders.filter(peer => this.isNear(peer));
    const far = holders.filter(peer => !this.isNear(peer));
    const readers = this.near.filter(address => address !== this.membership.me.address);
    return [...new Set([...near, ...readers, ...far])];
  }

  /** How long to wait for what a peer says that it has before asking for it, ms. */
  patienceMs(peer: string): number {
    if (this.isReader) return READER_PATIENCE_MS;
    return this.isNear(peer) ? 0 : FAR_PEER_PATIENCE_MS;
  }

  /**
   * How long this daemon's next wait for the platform lasts, ms. A change ends the waits of all readers at once: the first ones after it are
   * of different lengths, and the later ones as long as there are readers, which keeps their ends apart.
   */
  waitMs(isFirst: boolean): number {
    const readers = this.all;
    const place = readers.indexOf(this.membership.me.address);
    if (place < 0) return USUAL_READERS * WAIT_STEP_MS;
    return (isFirst ? place + 1 : readers.length) * WAIT_STEP_MS;
  }

  /**
   * Whom this daemon asks how lately their configuration was the newest: the readers of its failure domain, or in a large one a daemon nearer to them, so that
   * nobody is asked by many.
   */
  get provers(): readonly string[] {
    const { near } = this;
    const others = near.filter(address => address !== this.membership.me.address);
    const ranked = ranksOf(this.failureDomain, this.membership.table.all());
    const place = ranked.findIndex(({ address }) => address === this.membership.me.address);
    if (place < (ASKERS + 1) * near.length) return others;
    return ranked
      .slice(Math.floor(place / ASKERS), Math.floor(place / ASKERS) + 1)
      .map(({ address }) => address);
  }

  /** How long this daemon pauses after a read of the platform that failed, ms. */
  get pauseMs(): number {
    return Math.max(1, this.near.length) * PAUSE_STEP_MS;
  }

  /** The readers of all failure domains, in an order that all daemons share. */
  private get all(): string[] {
    const members = [...this.membership.table.all()];
    const domains = [...new Set(members.map(({ failureDomain }) => failureDomain))].sort();
    return domains.flatMap(domain => readersOf(domain, members));
  }

  private get near(): string[] {
    return readersOf(this.failureDomain, this.membership.table.all());
  }

  private isNear(peer: string): boolean {
    return this.membership.table.get(peer)?.failureDomain === this.failureDomain;
  }
}
