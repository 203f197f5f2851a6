/** The rate limits of upstreams, which outlast a time in which an upstream is out: it may be heard again as the same start. */
import { RateLimit } from '@cleatquay/admission';
import { type Clock } from '@cleatquay/clock';

/** Starts that are kept in mind: more than one VM sees in the minutes for which an upstream may be out. */
const MOST_STARTS = 100;

/** By start. */
export class RateLimits {
  private readonly byStart = new Map<string, RateLimit>();

  constructor(private readonly clock: Clock) {}

  /** The limit of a start; the one that was added first makes room for a new one. */
  of(start: string): RateLimit {
    const known = this.byStart.get(start);
    if (known) return known;
    const rate = new RateLimit(this.clock);
    this.byStart.set(start, rate);
    const [oldest] = this.byStart.keys();
    if (this.byStart.size > MOST_STARTS && oldest !== undefined) this.byStart.delete(oldest);
    return rate;
  }
}
