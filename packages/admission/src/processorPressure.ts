/**
 * Whether this process is short of processor time, and which requests it should refuse for that. A daemon whose event
 * loop lags holds every request for as long as the lag, sees late that callers have left, and gets ever later: refusing
 * costs it a fraction of what serving does. Only fresh requests are refused: calls are work that was paid for. After DAGOR (Zhou et al., SoCC 2018), which watches queuing time, too.
 */
import { type Clock, type Timer } from '@cleatquay/clock';

/** How often the lag is measured, ms: half of the lag that is borne. Each sample wakes a process that has nothing else to do. */
const SAMPLE_INTERVAL_MS = 100;
/** A lag up to this is borne, ms: daemons that have just started lag by less under a load that they carry. */
const MAX_HEALTHY_LAG_MS = 200;
/** Share of the level's range by which it falls with each sample that lags, and rises with each that doesn't. */
const LEVEL_DECREASE = 0.16;
const LEVEL_INCREASE = 0.05;
/** The most important class is served as long as anything is. */
const MIN_LEVEL = 1;

/** How long requests wait for the processor, and the admission level that follows from it. */
export class ProcessorPressure implements Disposable {
  private levelRatio = 1;
  private lag = 0;
  /** Time of the next sample, ms; a VM that is suspended is not short of processor time. */
  private nextSampleAt = 0;
  private timer: Timer;

  constructor(
    private readonly clock: Clock,
    /** Number of importance classes; the level at which everything is admitted. */
    private readonly classes: () => number,
    /** How long requests that were read wait to be begun, ms. */
    private readonly queueDelayMs: () => number = () => 0,
    /** Told of each sample: how late it was, ms, and whether that is more than is borne. */
    private readonly onSample: (lagMs: number, isLagging: boolean) => void = () => undefined,
  ) {
    this.timer = this.schedule();
  }

  /**
   * How long requests wait for the processor, ms: as long as the latest sample told, or for as long as the next one is overdue. In the
   * middle of a long turn of the event loop no timer has told of it yet.
   */
  get lagMs(): number {
    return Math.max(this.lag, this.clock.awake() - this.nextSampleAt);
  }

  /** Whether they wait longer than they should. */
  get isLagging(): boolean {
    return this.lagMs > MAX_HEALTHY_LAG_MS;
  }

  /** Requests at or above this level are to be refused; infinite when there is no pressure. */
  get level(): number {
    if (this.levelRatio >= 1) return Number.POSITIVE_INFINITY;
    return Math.max(MIN_LEVEL, this.levelRatio * this.classes());
  }

  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
  }

  private schedule(): Timer {
    this.nextSampleAt = this.clock.awake() + SAMPLE_INTERVAL_MS;
    return this.clock.after(SAMPLE_INTERVAL_MS, () => {
      this.lag = Math.max(0, this.clock.awake() - this.nextSampleAt, this.queueDelayMs());
      this.levelRatio = this.isLagging
        ? Math.max(0, this.levelRatio - LEVEL_DECREASE)
        : Math.min(1, this.levelRatio + LEVEL_INCREASE);
      this.onSample(this.lag, this.isLagging);
      this.timer = this.schedule();
    });
  }
}
