/**
 * Measures how long the frames of a link were delayed in transit. A network partition between failure domains may delay frames for seconds and
 * then deliver them: their calls were cancelled meanwhile, but the cancellation never arrives, since the other side has closed the link.
 */
import { type Clock } from '@cleatquay/clock';

/** By how much one VM's clock may run faster than another's, ms per ms: ten times the usual drift of computer clocks. */
const MAX_CLOCK_DRIFT = 0.001;

/**
 * Compares the one-way delay of each frame with the lowest one so far, the base delay. The clocks of the two sides need not be synchronised:
 * their offset is part of every measured delay, and cancels out. The base may grow by the possible drift between the clocks.
 */
export class TransitDelays {
  private baseDelay: number | undefined;
  private measuredAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Delay of a frame beyond the base, ms; 0 for a frame without a send time. */
  measure(sentAt: number): number {
    if (sentAt === 0) return 0;
    const now = this.clock.now();
    const delay = now - sentAt;
    const baseDelay = this.baseDelay ?? delay;
    const excess = withoutWraparound(delay - baseDelay);
    const drift = Math.min(excess, (now - this.measuredAt) * MAX_CLOCK_DRIFT);
    this.baseDelay = baseDelay + drift;
    this.measuredAt = now;
    return excess - drift;
  }
}

/** Number of values of the field `sentAt`, an unsigned 32-bit count of ms that wraps around after 50 days. */
const SENT_AT_MODULUS = 2 ** 32;

/** Converts a time in ms to a value of `sentAt`; never 0, which means that the time is not given. */
export function toSentAt(ms: number): number {
  return Math.ceil(ms) % SENT_AT_MODULUS || 1;
}

/** Corrects a difference of two values for wraparounds. */
function withoutWraparound(ms: number): number {
  return ms - Math.round(ms / SENT_AT_MODULUS) * SENT_AT_MODULUS;
}
