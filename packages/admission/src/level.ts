/** The order of refusal. */
import { crc32 } from 'node:zlib';

const HASH_RANGE = 2 ** 32;

/**
 * A request's place in the order of refusal: its class, then a fraction that is the same at every hop, since it
 * comes from the request at the top of the chain. Lower is more important. After DAGOR's business and user
 * priorities (Zhou et al., Overload Control for Scaling WeChat Microservices, SoCC 2018).
 */
export function levelOf(rank: number, rootId: string): number {
  return rank + crc32(rootId) / HASH_RANGE;
}
