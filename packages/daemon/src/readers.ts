/** Which daemons read the platform: a few of each failure domain, by hash order, so that none has to be elected. */
import { type Member } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';

const READERS = 2;

/** Whether `self` is among the first of its failure domain. Two views that differ only cost some reads. */
export function isReader(self: string, failureDomain: string, members: Iterable<Member>): boolean {
  const own = crc32(self);
  let before = 0;
  for (const { address, failureDomain: domain, state } of members) {
    if (state === 'ALIVE' && domain === failureDomain && crc32(address) < own) before++;
  }
  return before < READERS;
}
