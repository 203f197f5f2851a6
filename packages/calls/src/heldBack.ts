/** What is told of a request that is held back since upstreams end under it. */
import { type Refusal, refusalOf } from '@cleatquay/protocol';

/** The refusal of such a request; no upstream gets it. */
export function quarantineRefusal(retryAfterMs: number): Refusal {
  return refusalOf('quarantined', 'Upstreams ended while they ran this request.', { retryAfterMs });
}
