/**
 * How long the frames of a link were held up on their way. A cut between failure domains may hold frames back for seconds and then let
 * them through: the calls in them were given up meanwhile, and the word of that never comes, since the link was closed at the other end.
 */
import { type Clock } from '@cleatquay/clock';

/** How much faster one VM's clock may run than another's, ms a ms: ten times what is usual for the clocks of computers. */
const MAX_CLOCK_DRIFT = 0.001;

/** Compares each frame with the fastest one. The clocks of the two ends needn't agree. */
export class TransitDelays {
  private baseOffset: number | undefined;
  private measuredAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Time that a frame took beyond the fastest before it, ms; 0 for one whose sender doesn't tell when it was sent. */
  measure(sentAt: number): number {
    if (sentAt === 0) return 0;
    const now = this.clock.now();
    const took = now - sentAt;
    const baseOffset = this.baseOffset ?? took;
    const slower = withoutWraparound(took - baseOffset);
    const forgotten = Math.min(slower, (now - this.measuredAt) * MAX_CLOCK_DRIFT);
    this.baseOffset = baseOffset + forgotten;
    this.measuredAt = now;
    return slower - forgotten;
  }
}

/** Values of the field in which a frame tells when it was sent. They begin anew after 50 days. */
const SENT_AT_MODULUS = 2 ** 32;

/** A time in ms as a frame tells it; never 0, which tells nothing. */
export function toSentAt(ms: number): number {
  return Math.ceil(ms) % SENT_AT_MODULUS || 1;
}

/** A difference of two such times, of which either may have begun anew. */
function withoutWraparound(ms: number): number {
  return ms - Math.round(ms / SENT_AT_MODULUS) * SENT_AT_MODULUS;
}
