/** Questions to other members that wait for their answers, by number. */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';

/** Numbers of questions are 32 bits wide: from here there is room for a question each ms for 24 days. */
const MAX_FIRST_SEQUENCE = 2 ** 31;

interface Probe<Asked> {
  readonly settle: (isAnswered: boolean) => void;
  readonly context: Asked;
  readonly timer: Timer;
}

/** What was asked and not answered yet. */
export class Probes<Asked> implements Disposable {
  private readonly pending = new Map<number, Probe<Asked>>();
  private lastSequence: number;
  private isClosed = false;

  /** An answer to a former process at this address, held up on the way, must not be taken for one to this one: numbers begin anywhere. */
  constructor(
    private readonly clock: Clock,
    random: Random,
    /** Noted with each question, for whoever hears the answer. */
    private readonly captureContext: () => Asked,
  ) {
    this.lastSequence = Math.floor(random() * MAX_FIRST_SEQUENCE);
  }

  /** Asks by `send`, which is given the question's number; says whether an answer came in time. */
  start(timeoutMs: number, send: (number: number) => void): Promise<boolean> {
    if (this.isClosed) return Promise.resolve(false);
    const number = ++this.lastSequence;
    return new Promise(resolve => {
      const settle = (isAnswered: boolean) => {
        this.pending.get(number)?.timer[Symbol.dispose]();
        this.pending.delete(number);
        resolve(isAnswered);
      };
      const timer = this.clock.after(timeoutMs, () => settle(false));
      this.pending.set(number, { settle, context: this.captureContext(), timer });
      send(number);
    });
  }

  /** An answer came; gives what was noted with its question, or undefined if it comes too late or answers none of them. */
  acknowledge(number: number): Asked | undefined {
    const probe = this.pending.get(number);
    probe?.settle(true);
    return probe?.context;
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    for (const { settle } of [...this.pending.values()]) settle(false);
  }
}
