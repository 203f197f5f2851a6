/** Rate limits of upstreams. They outlast the removal of an upstream, which may register again as the same process start. */
import { RateLimit } from '@cleatquay/admission';
import { type Clock } from '@cleatquay/clock';

/** Number of starts remembered. One VM sees fewer in the minutes for which an upstream may be removed. */
const MAX_STARTS = 100;

/** Rate limits by start. */
export class RateLimits {
  private readonly byStart = new Map<string, RateLimit>();

  constructor(private readonly clock: Clock) {}

  /** Returns the limit of a start. Creates it if needed, and then evicts the oldest one if there are too many. */
  forStart(start: string): RateLimit {
    const existing = this.byStart.get(start);
    if (existing) return existing;
    const rate = new RateLimit(this.clock);
    this.byStart.set(start, rate);
    const [oldest] = this.byStart.keys();
    if (this.byStart.size > MAX_STARTS && oldest !== undefined) this.byStart.delete(oldest);
    return rate;
  }
}
