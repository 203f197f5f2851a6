/** How many requests an upstream runs at once: its announced slots, less what its own shedding teaches. */
import { type Clock } from '@cleatquay/clock';
import { FullLoad } from './fullLoad.js';

const COLD_SHARE = 0.1;
const DECREASE = 0.9;
const DECREASE_EVERY_MS = 100;
/**
 * Share of the announced slots that is always used. An upstream that sheds below that sheds for another reason than its
 * load, and gets no better by being given less. Answers to: an upstream that refuses a share of everything while all its
 * room is needed.
 */
const SMALLEST_SHARE = 0.9;

/** Grows with answers, shrinks when the upstream sheds; never above the announced slots. */
export class AdaptiveLimit {
  private readonly fullLoad: FullLoad;
  private limit: number;
  private threshold: number;
  private lastDecrease = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: Clock,
    private slots: number,
    cold: boolean,
  ) {
    this.fullLoad = new FullLoad(clock);
    this.limit = cold ? Math.max(1, slots * COLD_SHARE) : slots;
    this.threshold = slots;
  }

  /** The limit as a whole number, at least 1. */
  get value(): number {
    // Rounded up: of two slots, one would be half of the room.
    const usable = Math.ceil(this.slots * this.fullLoad.usableShare);
    return Math.max(1, Math.floor(Math.min(this.limit, usable)));
  }

  /** The share of the announced slots that so many requests take. */
  shareOf(inFlight: number): number {
    return inFlight / this.slots;
  }

  /** A run of a route ended, and had made no calls; see FullLoad. */
  ran(route: string, share: number, ms: number): void {
    this.fullLoad.ran(route, share, ms);
  }

  /** Takes a new announcement. */
  announce(slots: number): void {
    if (slots === this.slots) return;
    this.limit = Math.min(slots, this.limit * (slots / this.slots));
    this.threshold = slots;
    this.slots = slots;
  }

  /** An answer came: doubles in one round while in slow start, then grows by one a round. */
  answered(): void {
    const step = this.limit < this.threshold ? 1 : 1 / this.limit;
    this.limit = Math.min(this.slots, this.limit + step);
  }

  /** The upstream refused work that it was given. */
  shed(): void {
    const now = this.clock.now();
    if (now - this.lastDecrease < DECREASE_EVERY_MS) return;
    this.lastDecrease = now;
    this.limit = Math.max(1, this.slots * SMALLEST_SHARE, this.limit * DECREASE);
    this.threshold = this.limit;
  }
}
