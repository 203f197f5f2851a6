/** Selects the quota coordinators of a failure domain by rendezvous hashing, so that no election is needed. */
import { crc32 } from 'node:zlib';

/** Organisations are hashed into shards; each daemon leases its share once per shard. */
export const SHARD_COUNT = 2;

/** The shard of an organisation. */
export function shardOf(organisation: string): number {
  return crc32(organisation) % SHARD_COUNT;
}

/** The address that coordinates a shard, undefined if there are no addresses. Few shards move when daemons join or leave. */
export function coordinatorOf(shard: number, addresses: Iterable<string>): string | undefined {
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
