/**
 * Detects that this process is short of processor time, and decides which requests to refuse then. Event-loop lag delays every
 * request and the detection of disconnected callers, and grows by itself under load; refusing a request costs a fraction of
 * serving it. Only root requests are refused, since work has already been done for calls. Like DAGOR (Zhou et al., SoCC 2018),
 * it measures queuing time.
 */
import { type Clock, type Timer } from '@cleatquay/clock';

/** Half of the tolerated lag. Not shorter, since each sample wakes an idle process. */
const SAMPLE_INTERVAL_MS = 100;
/** Daemons that have just started lag by less than this under a load that they can sustain. */
const MAX_HEALTHY_LAG_MS = 200;
/** A request that makes calls meets the lag many times: with this much it is late. */
const MAX_UNSTRAINED_LAG_MS = 50;
/** Factor of the recent lag from one sample to the next. */
const RECENT_LAG_DECAY = 0.9;
/** Ratios of the level's range by which a lagging sample lowers the level, and any other sample raises it. */
const LEVEL_DECREASE = 0.16;
const LEVEL_INCREASE = 0.05;
/** The top class (0 to 1) is never refused. */
const MIN_LEVEL = 1;

/** Samples the event-loop lag and derives an admission level from it. */
export class ProcessorPressure implements Disposable {
  private levelRatio = 1;
  private lag = 0;
  /** The longest of the latest lags, each of which counts less with time, ms. */
  private recentLag = 0;
  /** Due time of the next sample by `awake`, ms: a suspended VM is not short of processor time. */
  private nextSampleAt = 0;
  private timer: Timer;

  constructor(
    private readonly clock: Clock,
    /** Number of priority classes, which is the level at which everything is admitted. */
    private readonly classes: () => number,
    /** Time that received requests wait before they are processed, ms. */
    private readonly queueDelayMs: () => number = () => 0,
    /** Called with each sample: the lag, ms, and whether it exceeds what is tolerated. */
    private readonly onSample: (lagMs: number, isLagging: boolean) => void = () => undefined,
  ) {
    this.timer = this.schedule();
  }

  /**
   * Time that requests wait for the processor, ms: the lag of the latest sample, or the time for which the next sample is overdue, which
   * shows the lag within a long iteration of the event loop, before any timer can run.
   */
  get lagMs(): number {
    return Math.max(this.lag, this.clock.awake() - this.nextSampleAt);
  }

  /** Whether the lag exceeds what is tolerated. */
  get isLagging(): boolean {
    return this.lagMs > MAX_HEALTHY_LAG_MS;
  }

  /** Whether the lag has been too long lately for requests that make calls. */
  get isStrained(): boolean {
    return Math.max(this.recentLag, this.lagMs) > MAX_UNSTRAINED_LAG_MS;
  }

  /** Admission level: requests at or above it are refused; infinite without pressure. */
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
      this.recentLag = Math.max(this.lag, this.recentLag * RECENT_LAG_DECAY);
      this.levelRatio = this.isLagging
        ? Math.max(0, this.levelRatio - LEVEL_DECREASE)
        : Math.min(1, this.levelRatio + LEVEL_INCREASE);
      this.onSample(this.lag, this.isLagging);
      this.timer = this.schedule();
    });
  }
}
