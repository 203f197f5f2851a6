/** Questions to other members that wait for their answers, by number. */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';

/** Numbers of questions are 32 bits wide: from here there is room for a question each ms for 24 days. */
const HIGHEST_FIRST_NUMBER = 2 ** 31;

interface Probe<Asked> {
  readonly settle: (isAnswered: boolean) => void;
  readonly asked: Asked;
  readonly timer: Timer;
}

/** What was asked and not answered yet. */
export class Probes<Asked> implements Disposable {
  private readonly waiting = new Map<number, Probe<Asked>>();
  private last: number;
  private isClosed = false;

  /** An answer to a former process at this address, held up on the way, must not be taken for one to this one: numbers begin anywhere. */
  constructor(
    private readonly clock: Clock,
    random: Random,
    /** Noted with each question, for whoever hears the answer. */
    private readonly asking: () => Asked,
  ) {
    this.last = Math.floor(random() * HIGHEST_FIRST_NUMBER);
  }

  /** Asks by `send`, which is given the question's number; says whether an answer came in time. */
  ask(timeoutMs: number, send: (number: number) => void): Promise<boolean> {
    if (this.isClosed) return Promise.resolve(false);
    const number = ++this.last;
    return new Promise(resolve => {
      const settle = (isAnswered: boolean) => {
        this.waiting.get(number)?.timer[Symbol.dispose]();
        this.waiting.delete(number);
        resolve(isAnswered);
      };
      const timer = this.clock.after(timeoutMs, () => settle(false));
      this.waiting.set(number, { settle, asked: this.asking(), timer });
      send(number);
    });
  }

  /** An answer came; gives what was noted with its question, or undefined if it comes too late or answers none of them. */
  answered(number: number): Asked | undefined {
    const probe = this.waiting.get(number);
    probe?.settle(true);
    return probe?.asked;
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    for (const { settle } of [...this.waiting.values()]) settle(false);
  }
}
