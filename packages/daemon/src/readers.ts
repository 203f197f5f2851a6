/** Which daemons read the platform: a few of each failure domain, by hash order, so that none has to be elected. */
import { type Member } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';

const READERS = 2;

/** The readers of a failure domain, as this view of the fleet has it. Two views that differ only cost some reads. */
export function readersOf(failureDomain: string, members: Iterable<Member>): string[] {
  const ranked: { readonly address: string; readonly rank: number }[] = [];
  for (const { address, failureDomain: domain, state } of members) {
    if (state === 'ALIVE' && domain === failureDomain) ranked.push({ address, rank: crc32(address) });
  }
  ranked.sort((a, b) => a.rank - b.rank);
  return ranked.slice(0, READERS).map(({ address }) => address);
}
