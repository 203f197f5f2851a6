/** The members that this daemon knows of, which of two records is newer, and digests for anti-entropy. */
import type { Member } from '@cleatquay/protocol';
import { type MemberState } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';

/** Buckets of the table, each compared by one digest. */
export const BUCKETS = 256;

const PRECEDENCE: Record<MemberState, number> = { ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3 };

/** Whether `a` says something newer than `b` of the same address. */
export function isNewer(a: Member, b: Member): boolean {
  if (a.epoch !== b.epoch) return a.epoch > b.epoch;
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return PRECEDENCE[a.state] > PRECEDENCE[b.state];
}

/** Members by address; only ever replaced by newer records. */
export class MemberTable {
  private readonly members = new Map<string, Member>();
  private readonly byGossipAddress = new Map<string, string>();
  private readonly buckets = Array.from({ length: BUCKETS }, () => new Set<string>());
  private readonly bucketDigests = new Uint32Array(BUCKETS);

  get size(): number {
    return this.members.size;
  }

  get(address: string): Member | undefined {
    return this.members.get(address);
  }

  /** The member behind a gossip address. */
  atGossip(gossipAddress: string): Member | undefined {
    return this.members.get(this.byGossipAddress.get(gossipAddress) ?? '');
  }

  all(): IterableIterator<Member> {
    return this.members.values();
  }

  /** Takes the record if it is newer than what is known; says whether it was. */
  put(member: Member): boolean {
    const known = this.members.get(member.address);
    if (known && !isNewer(member, known)) return false;
    const bucket = bucketOf(member.address);
    this.toggle(bucket, known);
    this.toggle(bucket, member);
    this.members.set(member.address, member);
    this.byGossipAddress.set(member.gossipAddress, member.address);
    this.buckets[bucket]?.add(member.address);
    return true;
  }

  /** Forgets a member for good. */
  remove(address: string): void {
    const bucket = bucketOf(address);
    this.toggle(bucket, this.members.get(address));
    this.members.delete(address);
    this.buckets[bucket]?.delete(address);
  }

  /** One digest for each bucket; equal tables have equal digests. */
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
