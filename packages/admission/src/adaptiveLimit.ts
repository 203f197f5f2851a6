/** How many requests an upstream runs at once: its announced slots, less what its own shedding teaches. */
import { type Clock } from '@cleatquay/clock';
import { FullLoad } from './fullLoad.js';

const SLOW_START_RATIO = 0.1;
const DECREASE_FACTOR = 0.9;
const MIN_DECREASE_INTERVAL_MS = 100;
/**
 * Share of the announced slots that is always used. An upstream that sheds below that sheds for another reason than its
 * load, and gets no better by being given less. Answers to: an upstream that refuses a share of everything while all its
 * room is needed.
 */
const MIN_SLOTS_RATIO = 0.9;

/** Grows with answers, shrinks when the upstream sheds; never above the announced slots. */
export class AdaptiveLimit {
  private readonly saturation: FullLoad;
  private limit: number;
  private slowStartThreshold: number;
  private decreasedAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private slots: number,
    cold: boolean,
  ) {
    this.saturation = new FullLoad(clock);
    this.limit = cold ? Math.max(1, slots * SLOW_START_RATIO) : slots;
    this.slowStartThreshold = slots;
  }

  /** The limit as a whole number, at least 1. */
  get value(): number {
    // Rounded up: of two slots, one would be half of the room.
    const usable = Math.ceil(this.slots * this.saturation.usableRatio);
    return Math.max(1, Math.floor(Math.min(this.limit, usable)));
  }

  /** The share of the announced slots that so many requests take. */
  utilisationAt(inFlight: number): number {
    return inFlight / this.slots;
  }

  /** A run of a route ended, and had made no calls; see FullLoad. */
  ran(route: string, share: number, ms: number): void {
    this.saturation.recordRun(route, share, ms);
  }

  /** Takes a new announcement. */
  announce(slots: number): void {
    if (slots === this.slots) return;
    this.limit = Math.min(slots, this.limit * (slots / this.slots));
    this.slowStartThreshold = slots;
    this.slots = slots;
  }

  /** An answer came: doubles in one round while in slow start, then grows by one a round. */
  onResponse(): void {
    const step = this.limit < this.slowStartThreshold ? 1 : 1 / this.limit;
    this.limit = Math.min(this.slots, this.limit + step);
  }

  /** The upstream refused work that it was given. */
  onShed(): void {
    const now = this.clock.now();
    if (now - this.decreasedAt < MIN_DECREASE_INTERVAL_MS) return;
    this.decreasedAt = now;
    this.limit = Math.max(1, this.slots * MIN_SLOTS_RATIO, this.limit * DECREASE_FACTOR);
    this.slowStartThreshold = this.limit;
  }
}
