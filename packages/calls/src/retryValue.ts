/** What the retry of a call is worth, compared with those of other calls: decides which calls get retries while these are scarce. */
import { strictRequestLevel } from '@cleatquay/admission';
import { type CallContext } from '@cleatquay/protocol';

/** Calls at this depth or deeper are ranked alike within their class. */
const MAX_RANKED_DEPTH = 3;

/** Calls made earlier for the request, whose work is lost if this call fails; a request of the top class counts as one more. */
export function callsAtRisk({ class: rank, callsBefore: calls }: CallContext): number {
  return rank === 0 ? calls + 1 : calls;
}

/**
 * The place of a call among those that need retries, lowest first: its class, then a fraction in [0, 1). Within a class, root requests
 * go before calls, and calls before those of deeper chains, since a request of more calls needs more retries to be complete. Among
 * calls of the same depth, a hash of the root request decides, so that some chains get all retries that they need rather
 * than all chains some of them.
 */
export function retryOrder({ class: rank, rootId, depth }: CallContext): number {
  const fraction = strictRequestLevel(rank, rootId) - rank;
  return rank + (Math.min(depth, MAX_RANKED_DEPTH) + fraction) / (MAX_RANKED_DEPTH + 1);
}
