/** The order of refusal. */
import { crc32 } from 'node:zlib';

const HASH_RANGE = 2 ** 32;

/**
 * Share of each less important class that stands beside the most important one, in the order of its places.
 *
 * Answers to: a service with too little room for the most important class alone. In a strict order all others get nothing, for as long as that
 * lasts. Where there is room for the most important class and that eighth, nothing changes.
 */
const GUARANTEED_SHARE = 1 / 8;

/**
 * A request's place in the order of refusal: its class, then a fraction that is the same at every hop, since it
 * comes from the request at the top of the chain. Lower is more important. After DAGOR's business and user
 * priorities (Zhou et al., Overload Control for Scaling WeChat Microservices, SoCC 2018), which know no guaranteed share.
 */
export function levelOf(rank: number, rootId: string): number {
  const place = hashFraction(rootId);
  if (rank === 0) return place;
  if (place < GUARANTEED_SHARE) return place / GUARANTEED_SHARE;
  // The others take up the whole range of their class: a level that rises through a gap is late for those behind it.
  return rank + (place - GUARANTEED_SHARE) / (1 - GUARANTEED_SHARE);
}

/**
 * The place in an order without a guaranteed share. For a process that is short of processor time: there, each request that is taken makes all
 * others later.
 */
export function strictLevelOf(rank: number, rootId: string): number {
  return rank + hashFraction(rootId);
}

function hashFraction(rootId: string): number {
  return crc32(rootId) / HASH_RANGE;
}

/**
 * The level by which a daemon decides whether to send a call on at all, from what it has heard of the upstreams' levels.
 * A call of a request that already runs stops only at a closed service (0): its fate is the queue of the upstream, where
 * it stands in the order of its level. Only fresh requests are turned away by what was heard, before work is done.
 *
 * Answers to: more chains than the last service of a chain has room for. Its level is some 100 ms old where a chain
 * begins and falls and rises by a tenth meanwhile; a chain that was let in then met a closed door at its first call.
 */
export function sendingLevel(level: number, depth: number): number {
  return depth > 0 ? 0 : level;
}
