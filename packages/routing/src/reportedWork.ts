/** The work at a candidate as far as this daemon knows: its own calls, and those of others by the latest report. */
import { type Clock } from '@cleatquay/clock';
import { type Load, type ReportedLoad } from '@cleatquay/protocol';

/** The work of others approaches its average with this half-life: calls take some 0.1 s, and reports arrive a few times a second. */
const WORK_HALF_LIFE_MS = 500;
/** Without reports the average itself loses its weight, so that a candidate with much work of others is tried again. */
const AVERAGE_HALF_LIFE_MS = 5000;
/** Weight of a report in the average. */
const AVERAGE_WEIGHT = 0.1;
/** About as long as a slowdown lasts: an older report says little of the present work time. */
const WORK_TIME_HALF_LIFE_MS = 400;
/** Work that takes ten times as long as usual is avoided as far as possible; larger factors make no difference. */
const MAX_RELATIVE_WORK_TIME = 10;

/** The latest report of one candidate. */
export class ReportedWork {
  private load: Load | undefined;
  private receivedAt = 0;
  private others = 0;
  private averageOthers = 0;

  constructor(private readonly clock: Clock) {}

  /** What the upstream of the candidate reports of itself; undefined if it reports nothing. */
  get upstream(): ReportedLoad | undefined {
    return this.load?.reported;
  }

  /** Records a report that comes with the response to a call, which is still among the `outstanding` calls of this daemon. */
  record(load: Load, outstanding: number): void {
    this.averageOthers *= this.decay(AVERAGE_HALF_LIFE_MS);
    this.load = load;
    this.receivedAt = this.clock.now();
    this.others = Math.max(0, load.inFlight + load.queued - Math.max(0, outstanding - 1));
    this.averageOthers += (this.others - this.averageOthers) * AVERAGE_WEIGHT;
  }

  /** Expected number of calls at the candidate, in progress or queued. */
  expectedCalls(outstanding: number): number {
    const average = this.averageOthers * this.decay(AVERAGE_HALF_LIFE_MS);
    return outstanding + average + (this.others - average) * this.decay(WORK_HALF_LIFE_MS);
  }

  /** Number of calls that the candidate can process at once. */
  slots(announced: number): number {
    const limit = this.load?.limit ?? announced;
    const { upstream } = this;
    const isPlausible = upstream !== undefined && upstream.slots > 0 && upstream.running <= upstream.slots;
    return Math.max(1, isPlausible ? Math.min(limit, upstream.slots) : limit);
  }

  /** Age of what the upstream reports of itself, ms; infinite if it reports nothing. */
  ageMs(): number {
    return this.upstream
      ? this.clock.now() - this.receivedAt + this.upstream.ageMs
      : Number.POSITIVE_INFINITY;
  }

  /** Work time that is expected now, relative to the usual one of the candidate, which the report approaches with its age. */
  relativeWorkTime(usualPercent: number): number {
    const percent = this.upstream?.workTimePercent ?? 0;
    if (percent === 0) return 1;
    const reported = Math.min(MAX_RELATIVE_WORK_TIME, percent / usualPercent);
    return 1 + (reported - 1) * 0.5 ** (this.ageMs() / WORK_TIME_HALF_LIFE_MS);
  }

  private decay(halfLifeMs: number): number {
    return 0.5 ** ((this.clock.now() - this.receivedAt) / halfLifeMs);
  }
}
