/**
 * Limits the request rate of an upstream to the rate that it reports in its response headers, by a token bucket.
 *
 * Only the daemon of the local upstream keeps this bucket, and all requests for the upstream pass through it, whoever sends them.
 */
import { type Clock } from '@cleatquay/clock';

/**
 * Size of the bucket, as time at the rate. Short, since all accumulated tokens can be spent at once after an idle period
 * or a pause of this process.
 */
const BURST_MS = 500;
/**
 * Maximum number of requests in flight, as time at the rate. An upstream that was paused receives all of them at once when
 * it resumes.
 */
const MAX_IN_FLIGHT_MS = 2000;
const MS_PER_SECOND = 1000;

/** The rate limit of one process start of an upstream. */
export class RateLimit {
  private rate: number | undefined;
  private tokens = 0;
  private refilledAt = 0;
  private rateReceivedAt = Number.NEGATIVE_INFINITY;
  private hasResponded = false;

  constructor(private readonly clock: Pick<Clock, 'awake'>) {}

  /** Requests per second; undefined while the upstream reports no limit. */
  get perSecond(): number | undefined {
    return this.rate;
  }

  /** Sets the rate that a response of the upstream reports. */
  setRate(perSecond: number): void {
    this.hasResponded = true;
    this.rateReceivedAt = this.clock.awake();
    this.applyRate(perSecond);
  }

  /**
   * Removes the limit after a response without a rate. A response to a request that was sent (`sentAt`, by `awake`) before the
   * rate was last reported is ignored, since responses may arrive out of order.
   */
  onRateAbsent(sentAt: number): void {
    this.hasResponded = true;
    if (sentAt > this.rateReceivedAt) this.rate = undefined;
  }

  /** Applies a rate that a peer reports; ignored once the upstream has responded to this process. */
  applyPeerRate(perSecond: number): void {
    if (!this.hasResponded) this.applyRate(perSecond);
  }

  /** Ensures that one request is allowed at once. */
  allowProbe(): void {
    this.refill();
    this.tokens = Math.max(1, this.tokens);
  }

  /** Whether a request is allowed now. */
  get hasToken(): boolean {
    if (this.rate === undefined) return true;
    this.refill();
    return this.tokens >= 1;
  }

  /** Maximum number of requests in flight. */
  get maxInFlight(): number {
    if (this.rate === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(1, Math.ceil((this.rate * MAX_IN_FLIGHT_MS) / MS_PER_SECOND));
  }

  /** Spends the token of one request. */
  consumeToken(): void {
    if (this.rate !== undefined) this.tokens--;
  }

  /** Number of requests allowed within the next `ms` milliseconds. */
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
    const added = ((this.rate ?? 0) * (now - this.refilledAt)) / MS_PER_SECOND;
    this.refilledAt = now;
    this.tokens = Math.min(this.maxTokens, this.tokens + added);
  }

  /** At least one, so that a rate below two per second allows requests at all. */
  private get maxTokens(): number {
    return Math.max(1, ((this.rate ?? 0) * BURST_MS) / MS_PER_SECOND);
  }
}
