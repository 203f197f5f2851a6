/**
 * At most once: the daemon that issued a request id is the only one to start the request, and remembers how it
 * ended until the id expires. A resend joins the running request or gets the same answer.
 */
import { type CancelSignal, Cancellation, type Clock, NOT_NEEDED } from '@cleatquay/clock';
import { type Outcome, invariant } from '@cleatquay/errors';
import { type AnswerPart, type Refusal, endOf, refusalOf } from '@cleatquay/protocol';
import { type CallAnswer, partsOf } from './callHandler.js';
import { AnswerRecorder, type RecordedAnswer, replay } from './answers.js';

const LONGEST_MEMORY = 100_000;
const ANSWER_BYTES = 32 * 1_048_576;

type Ending =
  | { readonly kind: 'answered'; readonly answer: RecordedAnswer }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

interface HomeRecord {
  ending: Ending | undefined;
  readonly ended: Promise<Ending>;
}

/** Requests of this home by id. */
export class Home {
  private readonly records = new Map<string, HomeRecord>();
  private answerBytes = 0;
  private running = 0;

  constructor(private readonly clock: Clock) {}

  /** How many ids are remembered. */
  get size(): number {
    return this.records.size;
  }

  /** How many run just now. */
  get runningCount(): number {
    return this.running;
  }

  /** Whether a new id can be promised to be remembered. */
  get hasRoom(): boolean {
    return this.records.size < LONGEST_MEMORY && this.answerBytes < ANSWER_BYTES;
  }

  /** Whether the id was seen here. */
  knows(id: string): boolean {
    return this.records.has(id);
  }

  /**
   * Runs `start` unless the id was seen, and gives its ending either way. `start` goes on when `signal` aborts,
   * which only stops the waiting. Whoever is told "not run" is told so again: the id never runs after that.
   */
  async *once(
    id: string,
    lifetimeMs: number,
    waitMs: number,
    signal: CancelSignal,
    start: () => Promise<CallAnswer>,
  ): AsyncGenerator<AnswerPart> {
    const record = this.records.get(id) ?? this.begin(id, lifetimeMs, start);
    const ending = record.ending ?? (await this.wait(record, waitMs, signal));
    if (!ending) yield endOf(refusalOf('deadlinePassed', 'The request still runs.'), 0);
    else if (ending.kind === 'answered') yield replay(ending.answer);
    else yield endOf(ending.refusal, 0);
  }

  private async wait(record: HomeRecord, waitMs: number, signal: CancelSignal): Promise<Ending | undefined> {
    const waited = new Cancellation();
    const stop = () => waited.abort(NOT_NEEDED);
    signal.addEventListener('abort', stop, { once: true });
    const patience = this.clock.sleep(waitMs, waited.signal).then(() => undefined);
    const ending = await Promise.race([record.ended, patience]);
    signal.removeEventListener('abort', stop);
    waited.abort(NOT_NEEDED);
    return ending;
  }

  private begin(id: string, lifetimeMs: number, start: () => Promise<CallAnswer>): HomeRecord {
    const ended = this.hasRoom ? this.run(start) : Promise.resolve(full());
    const record: HomeRecord = { ending: undefined, ended };
    void ended.then(ending => {
      invariant(record.ending === undefined, 'Home: a request ended twice.');
      record.ending = ending;
      if (ending.kind === 'answered') this.answerBytes += ending.answer.body.length;
      this.clock.after(lifetimeMs, () => this.forget(id, ending));
    });
    this.records.set(id, record);
    return record;
  }

  private forget(id: string, ending: Ending): void {
    this.records.delete(id);
    if (ending.kind === 'answered') this.answerBytes -= ending.answer.body.length;
  }

  private async run(start: () => Promise<CallAnswer>): Promise<Ending> {
    const recorder = new AnswerRecorder();
    this.running++;
    try {
      for await (const part of partsOf(start())) {
        if (part.refusal) return { kind: 'refused', refusal: part.refusal };
        const answer = recorder.add(part);
        if (answer) return { kind: 'answered', answer };
      }
      return lost('The answer was not kept whole.');
    } catch (error) {
      return lost(`The request broke off: ${String(error)}.`);
    } finally {
      this.running--;
    }
  }
}

function lost(message: string): Ending {
  const outcome: Outcome = 'unknown';
  return { kind: 'refused', refusal: refusalOf('contactLost', message, { outcome }) };
}

function full(): Ending {
  return { kind: 'refused', refusal: refusalOf('memoryFull', 'Too many requests are remembered.') };
}
