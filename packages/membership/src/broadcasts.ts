/** Changed members waiting to be passed on, each a bounded number of times. */
import { Member } from '@cleatquay/protocol';

interface Entry {
  readonly member: Member;
  readonly bytes: number;
  sent: number;
}

/** The queue of changes; the least often sent goes first. */
export class Broadcasts {
  private readonly entries = new Map<string, Entry>();

  get size(): number {
    return this.entries.size;
  }

  /** Queues a change in place of an older one of the same member. */
  add(member: Member): void {
    this.entries.set(member.address, { member, bytes: Member.encode(member).finish().length + 4, sent: 0 });
  }

  /** Takes what fits into `budget` bytes; an entry goes for good after `limit` times. */
  take(budget: number, limit: number): Member[] {
    const taken: Member[] = [];
    let left = budget;
    for (const entry of [...this.entries.values()].sort((a, b) => a.sent - b.sent)) {
      if (entry.bytes > left) break;
      left -= entry.bytes;
      entry.sent++;
      taken.push(entry.member);
      if (entry.sent >= limit) this.entries.delete(entry.member.address);
    }
    return taken;
  }
}
