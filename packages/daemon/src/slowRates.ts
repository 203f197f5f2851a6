/**
 * Looks whether an upstream that takes next to nothing still does. It says so in its answers only, and at a rate of 0
 * there would be none.
 */
import { type RateLimit } from '@cleatquay/admission';
import { type AnswerNotice } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';

/** Pause between looks, ms. */
const PAUSE_MS = 2500;
/** From this rate on requests are frequent enough to tell, a second. */
const TELLING_RATE = 0.5;

/** What a look needs. */
export interface SlowRateOptions {
  readonly clock: Clock;
  readonly rate: RateLimit;
  /** Whether the upstream is still the one beside this daemon. */
  readonly isHere: () => boolean;
  /** What its health check says of it; undefined if it has none. Fails if it gives no answer. */
  readonly ask: () => Promise<AnswerNotice | undefined>;
}

/** Follows one upstream while its rate is slow. */
export class SlowRate {
  private isWatched = false;

  constructor(private readonly options: SlowRateOptions) {}

  /** Its rate may have changed. What only others have heard is best looked into at once, but once. */
  check(when: 'at once' | 'later' = 'later'): void {
    if (this.isWatched || !this.isSlow) return;
    this.isWatched = true;
    this.options.clock.after(when === 'at once' ? 0 : PAUSE_MS, () => void this.look());
  }

  private get isSlow(): boolean {
    const { rate, isHere } = this.options;
    return isHere() && rate.perSecond !== undefined && rate.perSecond < TELLING_RATE;
  }

  /** A health check that names no rate doesn't end one: a request that goes through tells. */
  private async look(): Promise<void> {
    const { rate, ask } = this.options;
    const answered =
      this.isSlow &&
      (await ask()
        .then(notice => ({ notice }))
        .catch(() => undefined));
    const rateLimit = answered ? answered.notice?.rateLimit : undefined;
    if (typeof rateLimit === 'number') rate.named(rateLimit);
    else if (answered) rate.allowOne();
    this.isWatched = false;
    this.check();
  }
}
