/** Which daemon of a failure domain gives out an organisation's quota: known to all by hash, so that nobody has to be elected. */
import { crc32 } from 'node:zlib';

/** Parts into which organisations fall: each daemon lends its share once for each. */
export const SHARDS = 2;

/** The shard of an organisation. */
export function shardOf(organisation: string): number {
  return crc32(organisation) % SHARDS;
}

/** The daemon, of these addresses, that gives out a shard; undefined of none. Moves little when daemons come and go. */
export function holderOf(shard: number, addresses: Iterable<string>): string | undefined {
  let best: string | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  for (const address of addresses) {
    const rank = crc32(`${String(shard)} ${address}`);
    if (rank >= lowest) continue;
    lowest = rank;
    best = address;
  }
  return best;
}
