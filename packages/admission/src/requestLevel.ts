/** Levels of requests: under overload, requests with the highest level are refused first. */
import { crc32 } from 'node:zlib';

const HASH_RANGE = 2 ** 32;

/**
 * Ratio of each lower class that is ranked with the top class, spread over its whole range.
 *
 * Guards against starvation: with strict priorities, a service that lacks capacity for the top class alone serves nothing of the others for
 * as long as that lasts. Where there is capacity for the top class and these eighths, nothing changes.
 */
const GUARANTEED_RATIO = 1 / 8;

/**
 * The level of a request: its priority class (`rank`), then a fraction that is the same at every hop, since it is a hash of the
 * id of the root request. Lower levels have higher priority. Follows the business and user priorities of DAGOR (Zhou et al.,
 * Overload Control for Scaling WeChat Microservices, SoCC 2018), which has no guaranteed share.
 */
export function requestLevel(rank: number, rootId: string): number {
  const fraction = hashFraction(rootId);
  if (rank === 0) return fraction;
  if (fraction < GUARANTEED_RATIO) return fraction / GUARANTEED_RATIO;
  // The rest is spread over the whole range of its class: an admission level takes time to rise through a gap.
  return rank + (fraction - GUARANTEED_RATIO) / (1 - GUARANTEED_RATIO);
}

/**
 * The level of a request without the guaranteed share. Used when the process itself is short of processor time, since each request that it then
 * accepts delays all others.
 */
export function strictRequestLevel(rank: number, rootId: string): number {
  return rank + hashFraction(rootId);
}

function hashFraction(rootId: string): number {
  return crc32(rootId) / HASH_RANGE;
}

/**
 * The level that a daemon compares with the reported admission levels of upstreams before it forwards a call. A call of a
 * running request is refused only if the service admits nothing (0); otherwise it is queued at the upstream by its own
 * level. Only root requests are refused by reported admission levels, before any work is done for them.
 *
 * Guards against: more call chains than the last service of the chain has capacity for. Its admission level is some 100 ms
 * old where a chain begins and changes by a tenth meanwhile, so that an admitted chain would be refused at its first call.
 */
export function forwardingLevel(level: number, depth: number): number {
  return depth > 0 ? 0 : level;
}

/** Each earlier call of its request moves a call forward within its class by this factor. */
const PROGRESS_FACTOR = 0.8;

/**
 * The level by which a call is queued while the upstream sheds: within its class, calls of requests that have made more calls go first, since
 * more work is lost if they fail. While nothing is shed, no call is lost by waiting, and the order is that of levels.
 */
export function progressLevel(level: number, callsBefore: number): number {
  const rank = Math.floor(level);
  return rank + (level - rank) * PROGRESS_FACTOR ** callsBefore;
}
