/** The refusal of a quarantined request. */
import { type Refusal, createRefusal } from '@cleatquay/protocol';

/** Refuses a request under which several upstreams crashed; it is sent to no upstream. */
export function quarantineRefusal(retryAfterMs: number): Refusal {
  return createRefusal('quarantined', 'Upstreams crashed while they ran this request.', { retryAfterMs });
}
