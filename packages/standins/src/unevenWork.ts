/** How long work takes at a simulated upstream on a shared VM, and what the upstream reports of it. */
import { type Random } from '@cleatquay/clock';

/** How the speed of upstreams differs, and changes. */
export interface Unevenness {
  /** Factor on the work time of the upstream; it does not report this. */
  readonly speed: number;
  /** Ratio of the time in which it is slow, for `ms` at a time, and the factor on the work time then, which it reports. */
  readonly slow: { readonly share: number; readonly factor: number; readonly ms: number };
  /** Work times and reports differ from their mean by at most this ratio. */
  readonly noise: number;
}

/** An upstream that is as fast as others at all times. */
export const EVEN: Unevenness = { speed: 1, slow: { share: 0, factor: 1, ms: 600 }, noise: 0 };

/** The work time of one upstream. Its slow periods depend on `periods` alone, whatever the load. */
export class UnevenWork {
  /** Shifts its periods against those of others. */
  private shift: number | undefined;
  private period = -1;
  private isSlow = false;

  constructor(
    private readonly unevenness: () => Unevenness,
    private readonly periods: Random,
    private readonly random: Random,
  ) {}

  /** Factor on the time of work that starts now. */
  factor(now: number): number {
    return this.unevenness().speed * this.slowness(now) * this.noise();
  }

  /** Percent of the usual work time that it reports now. */
  reportedPercent(now: number): number {
    return Math.max(1, Math.round(100 * this.slowness(now) * this.noise()));
  }

  private slowness(now: number): number {
    const { share, factor, ms } = this.unevenness().slow;
    if (share === 0) return 1;
    this.shift ??= this.periods();
    const period = Math.floor(now / ms + this.shift);
    for (; this.period < period; this.period++) this.isSlow = this.periods() < share;
    return this.isSlow ? factor : 1;
  }

  private noise(): number {
    const { noise } = this.unevenness();
    return noise === 0 ? 1 : 1 + noise * (2 * this.random() - 1);
  }
}
