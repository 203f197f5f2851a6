/** The admission level: requests at or above it are refused. Each refusal lowers it; without refusals it recovers. */

/** Steps are ratios of the whole range, per tick. */
const MIN_STEP = 0.0015;
const STEP_GROWTH_FACTOR = 1.2;
const MAX_STEP = 0.25;

/** One threshold across all priority classes. */
export class AdmissionLevel {
  private level = Number.POSITIVE_INFINITY;
  private step = MIN_STEP;

  /** `classes` returns the number of priority classes, which is the level at which everything is admitted. */
  constructor(private readonly classes: () => number) {}

  get value(): number {
    return Math.min(this.level, this.classes());
  }

  /** Whether requests of every level are admitted. */
  get isOpen(): boolean {
    return this.level >= this.classes();
  }

  /** Lowers the threshold to `level`, at which a request was refused. */
  onRefusal(level: number): void {
    this.level = Math.min(this.level, level);
    this.step = MIN_STEP;
  }

  /** To be called after a tick without refusals: raises the threshold, in growing steps. */
  rise(): void {
    if (this.isOpen) this.level = Number.POSITIVE_INFINITY;
    this.level += this.step * this.classes();
    this.step = Math.min(MAX_STEP, this.step * STEP_GROWTH_FACTOR);
  }
}
