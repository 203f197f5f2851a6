/** The level from which on requests are refused. Falls with each refusal, rises by itself when there are none. */

/** Steps are shares of the whole range, a tick. */
const MIN_STEP = 0.0015;
const STEP_GROWTH_FACTOR = 1.2;
const MAX_STEP = 0.25;

/** One threshold over all classes. */
export class AdmissionLevel {
  private level = Number.POSITIVE_INFINITY;
  private step = MIN_STEP;

  /** `classes` gives the level at which everything is admitted. */
  constructor(private readonly classes: () => number) {}

  get value(): number {
    return Math.min(this.level, this.classes());
  }

  /** Whether nothing is refused. */
  get isOpen(): boolean {
    return this.level >= this.classes();
  }

  /** A request at `level` had to be refused. */
  onRefusal(level: number): void {
    this.level = Math.min(this.level, level);
    this.step = MIN_STEP;
  }

  /** A tick without refusals: rises, faster and faster while there are none. */
  rise(): void {
    if (this.isOpen) this.level = Number.POSITIVE_INFINITY;
    this.level += this.step * this.classes();
    this.step = Math.min(MAX_STEP, this.step * STEP_GROWTH_FACTOR);
  }
}
