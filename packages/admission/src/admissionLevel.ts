/** The level from which on requests are refused. Falls with each refusal, rises by itself when there are none. */

const SMALLEST_STEP = 0.0015;
const GROWTH = 1.2;
const LARGEST_STEP = 0.25;

/** One threshold over all classes. */
export class AdmissionLevel {
  private level: number;
  private step: number;

  /** `classes` is the level at which everything is admitted. */
  constructor(private readonly classes: number) {
    this.level = classes;
    this.step = SMALLEST_STEP * classes;
  }

  get value(): number {
    return this.level;
  }

  /** Whether nothing is refused. */
  get isOpen(): boolean {
    return this.level >= this.classes;
  }

  /** A request at `level` had to be refused. */
  refused(level: number): void {
    this.level = Math.min(this.level, level);
    this.step = SMALLEST_STEP * this.classes;
  }

  /** A tick without refusals: rises, faster and faster while there are none. */
  rise(): void {
    this.level = Math.min(this.classes, this.level + this.step);
    this.step = Math.min(LARGEST_STEP * this.classes, this.step * GROWTH);
  }
}
