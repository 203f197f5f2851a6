/** Chooses members: the next one to probe, and others at random. */
import { type Random } from '@cleatquay/clock';
import { type Member } from '@cleatquay/protocol';
import { type MemberTable } from './memberTable.js';

/** Whether the member is in state ALIVE or SUSPECT. */
export function isUp(member: Member): boolean {
  return member.state === 'ALIVE' || member.state === 'SUSPECT';
}

/** The list, shuffled in place. */
export function shuffle(list: string[], random: Random): string[] {
  for (let i = list.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1));
    [list[i], list[j]] = [list[j] ?? '', list[i] ?? ''];
  }
  return list;
}

/** Choices among the members of a table other than this daemon. */
export class MemberChoice {
  private probeOrder: string[] = [];

  constructor(
    private readonly table: MemberTable,
    private readonly random: Random,
    /** ip:port of this daemon. */
    private readonly self: string,
  ) {}

  /** The next member to probe; the order is shuffled again after each pass over all members. */
  nextToProbe(): Member | undefined {
    for (let pass = 0; pass < 2; pass++) {
      for (let address = this.probeOrder.pop(); address !== undefined; address = this.probeOrder.pop()) {
        const member = this.table.get(address);
        if (member && isUp(member) && address !== this.self) return member;
      }
      const addresses = [...this.table.all()].map(member => member.address);
      this.probeOrder = shuffle(addresses, this.random);
    }
    return undefined;
  }

  /** Up to `count` other members in state ALIVE or SUSPECT, at random. */
  randomAlive(count: number, except = ''): Member[] {
    const candidates = [...this.table.all()].filter(
      m => isUp(m) && m.address !== this.self && m.address !== except,
    );
    const chosen: Member[] = [];
    while (chosen.length < count && candidates.length > 0) {
      chosen.push(...candidates.splice(Math.floor(this.random() * candidates.length), 1));
    }
    return chosen;
  }
}
