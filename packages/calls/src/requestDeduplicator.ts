/**
 * At-most-once execution: the daemon that issued a request id is the only one to start the request, and keeps its
 * result until the id expires. A resend waits for the running request or gets the same response.
 */
import { type CancelSignal, Cancellation, type Clock, NO_LONGER_NEEDED } from '@cleatquay/clock';
import { type Outcome, invariant } from '@cleatquay/errors';
import { type AnswerPart, type Refusal, refusalPart, createRefusal } from '@cleatquay/protocol';
import { type CallResponse, responseParts } from './callHandler.js';
import { ResponseRecorder, type RecordedResponse, replay } from './responses.js';

const MAX_RECORDS = 100_000;
const MAX_RESPONSE_BYTES = 32 * 1_048_576;

type RequestResult =
  | { readonly kind: 'answered'; readonly response: RecordedResponse }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

interface RequestRecord {
  result: RequestResult | undefined;
  readonly whenEnded: Promise<RequestResult>;
}

/** Requests whose ids this daemon issued, by id. */
export class RequestDeduplicator {
  private readonly records = new Map<string, RequestRecord>();
  private responseBytes = 0;
  private running = 0;

  constructor(private readonly clock: Clock) {}

  /** How many ids have a record. */
  get size(): number {
    return this.records.size;
  }

  /** How many requests are running. */
  get runningCount(): number {
    return this.running;
  }

  /** Whether there is capacity to keep the result of one more id. */
  get hasCapacity(): boolean {
    return this.records.size < MAX_RECORDS && this.responseBytes < MAX_RESPONSE_BYTES;
  }

  /** Whether the id has a record. */
  hasRecord(id: string): boolean {
    return this.records.has(id);
  }

  /**
   * Calls `start` unless the id has a record, and yields the result of the request either way. An abort of `signal` only
   * ends the wait; `start` continues. An id that was reported as not run stays so: it never runs after that.
   */
  async *runOnce(
    id: string,
    lifetimeMs: number,
    waitMs: number,
    signal: CancelSignal,
    start: () => Promise<CallResponse>,
  ): AsyncGenerator<AnswerPart> {
    const record = this.records.get(id) ?? this.startRequest(id, lifetimeMs, start);
    const result = record.result ?? (await this.wait(record, waitMs, signal));
    if (!result) yield refusalPart(createRefusal('deadlinePassed', 'The request is still running.'), 0);
    else if (result.kind === 'answered') yield replay(result.response);
    else yield refusalPart(result.refusal, 0);
  }

  private async wait(
    record: RequestRecord,
    waitMs: number,
    signal: CancelSignal,
  ): Promise<RequestResult | undefined> {
    const waited = new Cancellation();
    const stop = () => waited.abort(NO_LONGER_NEEDED);
    signal.addEventListener('abort', stop, { once: true });
    const timeout = this.clock.sleep(waitMs, waited.signal).then(() => undefined);
    const result = await Promise.race([record.whenEnded, timeout]);
    signal.removeEventListener('abort', stop);
    waited.abort(NO_LONGER_NEEDED);
    return result;
  }

  private startRequest(id: string, lifetimeMs: number, start: () => Promise<CallResponse>): RequestRecord {
    const whenEnded = this.hasCapacity ? this.run(start) : Promise.resolve(memoryFull());
    const record: RequestRecord = { result: undefined, whenEnded };
    void whenEnded.then(result => {
      invariant(record.result === undefined, 'RequestDeduplicator: a request completed twice.');
      record.result = result;
      if (result.kind === 'answered') this.responseBytes += result.response.body.length;
      this.clock.after(lifetimeMs, () => this.forget(id, result));
    });
    this.records.set(id, record);
    return record;
  }

  private forget(id: string, result: RequestResult): void {
    this.records.delete(id);
    if (result.kind === 'answered') this.responseBytes -= result.response.body.length;
  }

  private async run(start: () => Promise<CallResponse>): Promise<RequestResult> {
    const recorder = new ResponseRecorder();
    this.running++;
    try {
      for await (const part of responseParts(start())) {
        if (part.refusal) return { kind: 'refused', refusal: part.refusal };
        const response = recorder.add(part);
        if (response) return { kind: 'answered', response };
        if (recorder.isTooLarge) break;
      }
      return unknownOutcome('The response could not be stored in full.');
    } catch (error) {
      return unknownOutcome(`The request failed: ${String(error)}.`);
    } finally {
      this.running--;
    }
  }
}

function unknownOutcome(message: string): RequestResult {
  const outcome: Outcome = 'unknown';
  return { kind: 'refused', refusal: createRefusal('contactLost', message, { outcome }) };
}

function memoryFull(): RequestResult {
  return { kind: 'refused', refusal: createRefusal('memoryFull', 'Too many request results are stored.') };
}
