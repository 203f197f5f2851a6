/** The members known to this daemon, the order of their records, and digests for anti-entropy. */
import type { Member } from '@cleatquay/protocol';
import { type MemberState } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';

/** Number of buckets of the table; each is compared by one digest. */
export const BUCKETS = 256;

const PRECEDENCE: Record<MemberState, number> = { ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3 };

/** Whether `a` supersedes `b`, a record of the same address. */
export function isNewer(a: Member, b: Member): boolean {
  if (a.epoch !== b.epoch) return a.epoch > b.epoch;
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return PRECEDENCE[a.state] > PRECEDENCE[b.state];
}

/** Members by address. A record is replaced only by a newer one. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly byGossipAddress = new Map<string, string>();
  private readonly buckets = Array.from({ length: BUCKETS }, () => new Set<string>());
  private readonly bucketDigests = new Uint32Array(BUCKETS);
  private changes = 0;

  get size(): number {
    return this.members.size;
  }

  /** Changes with each change of a record, so that what is computed from the table can be cached. */
  get revision(): number {
    return this.changes;
  }

  get(address: string): Member | undefined {
    return this.members.get(address);
  }

  /** The member that has this gossip address. */
  getByGossipAddress(gossipAddress: string): Member | undefined {
    return this.members.get(this.byGossipAddress.get(gossipAddress) ?? '');
  }

  all(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Stores the record if it is newer than the known one; returns whether it was. */
  put(member: Member): boolean {
    const known = this.members.get(member.address);
    if (known && !isNewer(member, known)) return false;
    const bucket = bucketOf(member.address);
    this.toggle(bucket, known);
    this.toggle(bucket, member);
    this.members.set(member.address, member);
    this.changes++;
    this.byGossipAddress.set(member.gossipAddress, member.address);
    this.buckets[bucket]?.add(member.address);
    return true;
  }

  remove(address: string): void {
    const bucket = bucketOf(address);
    this.toggle(bucket, this.members.get(address));
    this.members.delete(address);
    this.changes++;
    this.buckets[bucket]?.delete(address);
  }

  /** One digest per bucket; equal tables have equal digests. */
  digests(): number[] {
    return [...this.bucketDigests];
  }

  /** The members of all buckets whose digests differ from `theirs`. */
  differing(theirs: readonly number[]): Member[] {
    return this.buckets.flatMap((addresses, bucket) => {
      if (theirs[bucket] === this.bucketDigests[bucket]) return [];
      return [...addresses].flatMap(address => this.members.get(address) ?? []);
    });
  }

  private toggle(bucket: number, member: Member | undefined): void {
    if (!member) return;
    const sum = this.bucketDigests[bucket] ?? 0;
    this.bucketDigests[bucket] = sum ^ crc32(`${member.address} ${versionOf(member)}`);
  }
}

function versionOf({ epoch, incarnation, state }: Member): string {
  return `${String(epoch)} ${String(incarnation)} ${state}`;
}

function bucketOf(address: string): number {
  return crc32(address) % BUCKETS;
}
