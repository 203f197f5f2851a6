/**
 * How fast the calls to one candidate are, relative to the mean of their routes over all candidates, and how far the work time that the
 * candidate reports predicts it.
 */
import { type Clock } from '@cleatquay/clock';

/** Weight that a measurement keeps when the next one is added; about the last 20 calls count. */
const CALL_DECAY = 0.95;
/** Measurements lose their weight with time, too, so that a candidate that was slow and is avoided is tried again. */
const HALF_LIFE_MS = 3000;
/** Number of assumed calls that count in addition, so that a single slow call does not rule out a candidate. */
const ASSUMED_CALLS = 2;
/**
 * Their time relative to the mean. Below 1, so that a candidate without recent calls becomes preferable to one of mean speed in the end: where
 * all calls go to the fastest one, its speed is the mean, and the others would never be tried.
 */
const ASSUMED_RATIO = 0.7;
/** Weight of a call in the moving average of the reported work time. */
const USUAL_WORK_TIME_WEIGHT = 0.02;
/**
 * Weight of the assumption that the reported work time predicts the time of calls exactly, in squared relative deviations. Durations vary by
 * up to their mean: with 15 % of the calls at 2.5 times the usual work time, some 20 calls then weigh as much as the assumption.
 */
const TRUST_WEIGHT = 6;
/** Weight that deviations keep when the next is added: some 200 calls count. */
const DEVIATION_DECAY = 0.995;
/** Longer calls, relative to the mean, count as this: a call that hung says little of the next. */
const MAX_RATIO = 10;

/** Work time that upstreams report when work takes as long as usual. */
const USUAL_PERCENT = 100;
/** Longer work times count as this, so that a single absurd report does not change what is usual. */
const MAX_PERCENT = 1000;

/** Measurements of one candidate. */
export class MeasuredSpeed {
  private ratioSum = 0;
  private calls = 0;
  private measuredAt = 0;
  private meanWorkTime = USUAL_PERCENT;
  private workTimeSquares = TRUST_WEIGHT;
  private workTimeProducts = TRUST_WEIGHT;

  constructor(private readonly clock: Clock) {}

  /** Time of a call relative to the mean of its route, at the usual work time. */
  get ratio(): number {
    const decay = this.decay();
    return (this.ratioSum * decay + ASSUMED_CALLS * ASSUMED_RATIO) / (this.calls * decay + ASSUMED_CALLS);
  }

  /** The same by measurements alone, however few and old they are; undefined if there are none. For means over several candidates. */
  get measuredRatio(): number | undefined {
    return this.calls === 0 ? undefined : this.ratioSum / this.calls;
  }

  /** How far the reported work time predicts the time of calls: 1 if they are proportional, 0 if they are unrelated. */
  get trust(): number {
    return Math.min(1, Math.max(0, this.workTimeProducts / this.workTimeSquares));
  }

  /** The usual work time of this candidate by its own reports, percent. */
  get usualWorkTime(): number {
    return this.meanWorkTime;
  }

  /** Records the work time in a report of the candidate. */
  recordWorkTime(percent: number): void {
    this.meanWorkTime += (Math.min(MAX_PERCENT, percent) - this.meanWorkTime) * USUAL_WORK_TIME_WEIGHT;
  }

  /**
   * Records a call: its time relative to the mean of its route, and what the relative work time was expected to be when it started. The slope
   * of one against the other is the trust (least squares), so that reports which are old, wrong or irrelevant for the calls lose weight.
   */
  record(callRatio: number, expectedWorkTime: number): void {
    const ratio = Math.min(MAX_RATIO, callRatio);
    const workTimeDeviation = expectedWorkTime - 1;
    const ratioDeviation = ratio / this.ratio - 1;
    this.workTimeSquares =
      TRUST_WEIGHT + (this.workTimeSquares - TRUST_WEIGHT) * DEVIATION_DECAY + workTimeDeviation ** 2;
    this.workTimeProducts =
      TRUST_WEIGHT +
      (this.workTimeProducts - TRUST_WEIGHT) * DEVIATION_DECAY +
      workTimeDeviation * ratioDeviation;
    const decay = this.decay() * CALL_DECAY;
    this.ratioSum = this.ratioSum * decay + ratio;
    this.calls = this.calls * decay + 1;
    this.measuredAt = this.clock.now();
  }

  private decay(): number {
    return 0.5 ** ((this.clock.now() - this.measuredAt) / HALF_LIFE_MS);
  }
}
