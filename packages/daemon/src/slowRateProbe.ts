/**
 * Probes an upstream with a very low rate limit for a change of that limit. An upstream reports its limit only in
 * responses, and at a limit of 0 it would get no request to respond to.
 */
import { type RateLimit } from '@cleatquay/admission';
import { type ResponseNotice } from '@cleatquay/calls';
import { type Clock } from '@cleatquay/clock';

/** Time between probes, ms. */
const PROBE_INTERVAL_MS = 2500;
/** At this rate and above, regular requests are frequent enough to notice a change. */
const PROBE_BELOW_PER_SECOND = 0.5;

/** Dependencies of the probe. */
export interface SlowRateProbeOptions {
  readonly clock: Clock;
  readonly rate: RateLimit;
  /** Whether the upstream is still registered at this daemon. */
  readonly isRegistered: () => boolean;
  /** Returns the notice of the upstream's health check; undefined if it has none. Rejects if there is no response. */
  readonly fetchNotice: () => Promise<ResponseNotice | undefined>;
}

/** Probes one upstream for as long as its rate limit is low. */
export class SlowRateProbe {
  private isScheduled = false;

  constructor(private readonly options: SlowRateProbeOptions) {}

  /**
   * Schedules a probe if the rate limit is low. A limit that was first reported by a peer is verified `now`; later
   * reports of it don't repeat that.
   */
  schedule(when: 'now' | 'later' = 'later'): void {
    if (this.isScheduled || !this.isSlow) return;
    this.isScheduled = true;
    this.options.clock.after(when === 'now' ? 0 : PROBE_INTERVAL_MS, () => void this.probe());
  }

  private get isSlow(): boolean {
    const { rate, isRegistered } = this.options;
    return isRegistered() && rate.perSecond !== undefined && rate.perSecond < PROBE_BELOW_PER_SECOND;
  }

  /** A health check without a rate limit doesn't end the limit: the response to one regular request decides. */
  private async probe(): Promise<void> {
    const { rate, fetchNotice } = this.options;
    const response =
      this.isSlow &&
      (await fetchNotice()
        .then(notice => ({ notice }))
        .catch(() => undefined));
    const rateLimit = response ? response.notice?.rateLimit : undefined;
    if (typeof rateLimit === 'number') rate.setRate(rateLimit);
    else if (response) rate.allowProbe();
    this.isScheduled = false;
    this.schedule();
  }
}
