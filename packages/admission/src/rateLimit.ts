/**
 * How many requests an upstream takes, by the rate that it names in its answers: a bucket of tokens, of which each
 * request takes one.
 *
 * The daemon beside the upstream keeps the only one. All requests for the upstream, whoever sends them, go by it.
 */
import { type Clock } from '@cleatquay/clock';

/**
 * Tokens that may gather, as time at the rate, ms. Short, since whatever has gathered may go at once after a time in
 * which nothing was asked, or in which this process stood still.
 */
const BURST_MS = 500;
/**
 * Requests that may be under way, as time at the rate, ms. An upstream that stands still takes all of them at once when
 * it goes on.
 */
const MAX_IN_FLIGHT_MS = 2000;
const MS_PER_SECOND = 1000;

/** The rate limit of one start of an upstream. */
export class RateLimit {
  private rate: number | undefined;
  private tokens = 0;
  private refilledAt = 0;
  private rateReceivedAt = Number.NEGATIVE_INFINITY;
  private hasResponded = false;

  constructor(private readonly clock: Pick<Clock, 'awake'>) {}

  /** Requests a second; undefined while none is named. */
  get perSecond(): number | undefined {
    return this.rate;
  }

  /** An answer names a rate. */
  named(perSecond: number): void {
    this.hasResponded = true;
    this.rateReceivedAt = this.clock.awake();
    this.applyRate(perSecond);
  }

  /**
   * An answer names none. One to a request that was given to the upstream before the rate was last named, by `awake`, may
   * have been passed on the way by the answer that named it, and ends nothing.
   */
  notNamed(askedAt: number): void {
    this.hasResponded = true;
    if (askedAt > this.rateReceivedAt) this.rate = undefined;
  }

  /** Others have heard of a rate. Holds until the upstream's first answer to this process. */
  told(perSecond: number): void {
    if (!this.hasResponded) this.applyRate(perSecond);
  }

  /** Lets one request go at once, if none may. */
  allowOne(): void {
    this.refill();
    this.tokens = Math.max(1, this.tokens);
  }

  /** Whether a request may go now. */
  get hasRoom(): boolean {
    if (this.rate === undefined) return true;
    this.refill();
    return this.tokens >= 1;
  }

  /** Requests that may be under way at once. */
  get maxInFlight(): number {
    if (this.rate === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.ceil((this.rate * MAX_IN_FLIGHT_MS) / MS_PER_SECOND));
  }

  /** A request goes. */
  take(): void {
    if (this.rate !== undefined) this.tokens--;
  }

  /** Requests that may go until so many ms from now. */
  tokensWithin(ms: number): number {
    if (this.rate === undefined) return Number.POSITIVE_INFINITY;
    this.refill();
    return this.tokens + (this.rate * ms) / MS_PER_SECOND;
  }

  private applyRate(perSecond: number): void {
    if (this.rate === undefined) {
      this.tokens = 0;
      this.refilledAt = this.clock.awake();
    } else this.refill();
    this.rate = perSecond;
    this.tokens = Math.min(this.tokens, this.maxTokens);
  }

  private refill(): void {
    const now = this.clock.awake();
    const gained = ((this.rate ?? 0) * (now - this.refilledAt)) / MS_PER_SECOND;
    this.refilledAt = now;
    this.tokens = Math.min(this.maxTokens, this.tokens + gained);
  }

  /** At least a whole one, so that a slow rate lets requests go at all. */
  private get maxTokens(): number {
    return Math.max(1, ((this.rate ?? 0) * BURST_MS) / MS_PER_SECOND);
  }
}
