/** What is told of a request that is held back since upstreams end under it. */
import { type Refusal, refusalOf } from '@cleatquay/protocol';

/** It may come again as often as it likes, and is told not to come soon. */
const HELD_BACK_RETRY_AFTER_MS = 60_000;

/** The refusal of such a request; no upstream gets it. */
export function heldBack(): Refusal {
  return refusalOf('quarantined', 'Upstreams ended while they ran this request.', {
    retryAfterMs: HELD_BACK_RETRY_AFTER_MS,
  });
}
