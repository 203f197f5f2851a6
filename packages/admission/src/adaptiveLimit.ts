/** Limits the concurrency of an upstream: its announced slots, reduced while the upstream sheds load itself. */
import { type Clock } from '@cleatquay/clock';
import { SaturationDetector } from './saturationDetector.js';

const SLOW_START_RATIO = 0.1;
const DECREASE_FACTOR = 0.9;
const MIN_DECREASE_INTERVAL_MS = 100;
/**
 * The limit is not lowered below this ratio of the announced slots. An upstream that sheds below it sheds for another reason
 * than load, and a lower limit doesn't help it. Guards against: an upstream that refuses some ratio of all requests while its
 * whole capacity is needed.
 */
const MIN_SLOTS_RATIO = 0.9;
/** An upstream counts as shedding for this long after it shed a request, ms. */
const SHEDDING_MS = 1000;

/** Grows with responses (slow start, then additively), shrinks when the upstream sheds; never exceeds the announced slots. */
export class AdaptiveLimit {
  private readonly saturation: SaturationDetector;
  private limit: number;
  private slowStartThreshold: number;
  private decreasedAt = Number.NEGATIVE_INFINITY;
  private shedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private slots: number,
    cold: boolean,
  ) {
    this.saturation = new SaturationDetector(clock);
    this.limit = cold ? Math.max(1, slots * SLOW_START_RATIO) : slots;
    this.slowStartThreshold = slots;
  }

  /** The limit as a whole number, at least 1. */
  get value(): number {
    // Rounded up: with two slots, rounding down would halve the capacity.
    const usable = Math.ceil(this.slots * this.saturation.usableRatio);
    return Math.max(1, Math.floor(Math.min(this.limit, usable)));
  }

  /** Whether the upstream shed a request recently. */
  get isShedding(): boolean {
    return this.clock.now() - this.shedAt < SHEDDING_MS;
  }

  /** Utilisation of the announced slots with this many requests in flight. */
  utilisationAt(inFlight: number): number {
    return inFlight / this.slots;
  }

  /** Records the duration of a run that made no calls, by the utilisation at its start; see SaturationDetector. */
  recordRun(route: string, utilisation: number, ms: number): void {
    this.saturation.recordRun(route, utilisation, ms);
  }

  /** Applies newly announced slots; keeps the ratio of the limit to them. */
  setSlots(slots: number): void {
    if (slots === this.slots) return;
    this.limit = Math.min(slots, this.limit * (slots / this.slots));
    this.slowStartThreshold = slots;
    this.slots = slots;
  }

  /** Grows the limit: it doubles per round trip during slow start, then grows by one per round trip. */
  onResponse(): void {
    const step = this.limit < this.slowStartThreshold ? 1 : 1 / this.limit;
    this.limit = Math.min(this.slots, this.limit + step);
  }

  /** Lowers the limit after the upstream shed a request, at most once per interval; ends a slow start at `MIN_SLOTS_RATIO`. */
  onShed(): void {
    const now = this.clock.now();
    this.shedAt = now;
    if (now - this.decreasedAt < MIN_DECREASE_INTERVAL_MS) return;
    this.decreasedAt = now;
    this.limit = Math.max(1, this.slots * MIN_SLOTS_RATIO, this.limit * DECREASE_FACTOR);
    this.slowStartThreshold = this.limit;
  }
}
