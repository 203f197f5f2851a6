/** The refusals of calls for which no attempt was made. */
import { type Random } from '@cleatquay/clock';
import { type Refusal, createRefusal } from '@cleatquay/protocol';
import { type Selection } from '@cleatquay/routing';

const REFUSED_EARLY_RETRY_AFTER_MS = 1000;

/** The refusal of a call for which no upstream was chosen, or whose time has passed. */
export function noUpstreamRefusal(kind: Selection['kind'], remainingMs: number, random: Random): Refusal {
  if (remainingMs <= 0)
    return createRefusal('deadlineTooShort', 'The deadline passed before the call could be sent.');
  if (kind === 'none') return createRefusal('noUpstream', 'No upstream of the service is known.');
  return noRoomRefusal('Downstream services have no capacity for a request of this priority.', random);
}

/** The refusal of a call that has not run, and that no upstream has room for. */
export function noRoomRefusal(message: string, random: Random): Refusal {
  const retryAfterMs = Math.round(REFUSED_EARLY_RETRY_AFTER_MS * (0.5 + random()));
  return createRefusal('refusedEarly', message, { retryAfterMs });
}
