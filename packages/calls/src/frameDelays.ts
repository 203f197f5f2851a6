/**
 * How long the frames of a link were held up on their way. A cut between failure domains may hold frames back for seconds and then let
 * them through: the calls in them were given up meanwhile, and the word of that never comes, since the link was closed at the other end.
 */
import { type Clock } from '@cleatquay/clock';

/** How much faster one VM's clock may run than another's, ms a ms: ten times what is usual for the clocks of computers. */
const CLOCK_DRIFT = 0.001;

/** Compares each frame with the fastest one. The clocks of the two ends needn't agree. */
export class FrameDelays {
  private fastest = Number.POSITIVE_INFINITY;
  private at = 0;

  constructor(private readonly clock: Clock) {}

  /** Time that a frame took beyond the fastest before it, ms; 0 for one whose sender doesn't tell when it was sent. */
  of(sentAt: number): number {
    if (sentAt === 0) return 0;
    const now = this.clock.now();
    const took = now - sentAt;
    this.fastest = Math.min(took, this.fastest + (now - this.at) * CLOCK_DRIFT);
    this.at = now;
    return took - this.fastest;
  }
}
