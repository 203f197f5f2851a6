/**
 * What this daemon did with non-idempotent tries, so that it can tell a sender that lost contact,
 * and can promise never to dispatch a try from now on.
 */
import { Cancellation, type Clock, NOT_NEEDED } from '@cleatquay/clock';
import { type Refusal, type SealAnswer, type SealRequest, refusalOf } from '@cleatquay/protocol';
import { type RecordedAnswer } from './answers.js';

const MAX_RECORDS = 50_000;
const MAX_RESPONSE_BYTES = 32 * 1_048_576;
const EMPTY_BODY = Buffer.alloc(0);

type AttemptState = 'admitting' | 'refused' | 'sealed' | 'dispatched' | 'answered' | 'lost';

interface AttemptRecord {
  try: number;
  state: AttemptState;
  response: RecordedAnswer | undefined;
  /** Settles when a dispatched try has ended. */
  readonly ended: Promise<void>;
  readonly end: () => void;
}

/** Tries by request id, each kept for the lifetime of an id. */
export class TryMemory {
  private readonly records = new Map<string, AttemptRecord>();
  private responseBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly lifetimeMs: () => number,
  ) {}

  get size(): number {
    return this.records.size;
  }

  /** Takes up a try before its admission, or says why it must not run. */
  begin(requestId: string, attempt: number): Refusal | undefined {
    const known = this.records.get(requestId);
    if (known?.state === 'sealed') return refusalOf('sealed', 'The sender gave this try up.');
    if (known && known.state !== 'refused') {
      return refusalOf('contactLost', 'The request was sent here twice; one try of it runs or ran.');
    }
    if (this.records.size >= MAX_RECORDS || this.responseBytes >= MAX_RESPONSE_BYTES) {
      return refusalOf('memoryFull', 'Too many requests are remembered.', { elsewhereHelps: true });
    }
    this.add(requestId, attempt, 'admitting');
    return undefined;
  }

  /** The try was not admitted. */
  refused(requestId: string): void {
    const record = this.records.get(requestId);
    if (record?.state === 'admitting') record.state = 'refused';
  }

  /** Last step before the dispatch; false if the try was sealed meanwhile. */
  dispatch(requestId: string): boolean {
    const record = this.records.get(requestId);
    if (record?.state !== 'admitting') return false;
    record.state = 'dispatched';
    return true;
  }

  /** The dispatched try ended; without an answer nobody knows how. */
  ended(requestId: string, response: RecordedAnswer | undefined): void {
    const record = this.records.get(requestId);
    if (record?.state !== 'dispatched') return;
    record.state = response ? 'answered' : 'lost';
    record.response = response;
    this.responseBytes += response?.body.length ?? 0;
    record.end();
  }

  /** The connection to the upstream could not be made, so that nothing was dispatched after all. */
  notDispatched(requestId: string): void {
    const record = this.records.get(requestId);
    if (record?.state !== 'dispatched') return;
    record.state = 'refused';
    record.end();
  }

  /** Forbids the try if it was not dispatched, and waits a while for it if it runs. */
  async seal(request: SealRequest): Promise<SealAnswer> {
    const record = this.records.get(request.requestId) ?? this.add(request.requestId, request.try, 'sealed');
    if (record.state === 'admitting' || record.state === 'refused') record.state = 'sealed';
    if (record.state === 'dispatched' && request.waitMs > 0) await this.waitFor(record, request.waitMs);
    return toSealAnswer(record);
  }

  private async waitFor(record: AttemptRecord, waitMs: number): Promise<void> {
    const waited = new Cancellation();
    await Promise.race([record.ended, this.clock.sleep(waitMs, waited.signal)]);
    waited.abort(NOT_NEEDED);
  }

  private add(requestId: string, attempt: number, state: AttemptState): AttemptRecord {
    let end: () => void = () => undefined;
    const ended = new Promise<void>(resolve => (end = resolve));
    const record: AttemptRecord = { try: attempt, state, response: undefined, ended, end };
    this.records.set(requestId, record);
    this.clock.after(this.lifetimeMs(), () => this.forget(requestId, record));
    return record;
  }

  private forget(requestId: string, record: AttemptRecord): void {
    if (this.records.get(requestId) !== record) return;
    this.records.delete(requestId);
    this.responseBytes -= record.response?.body.length ?? 0;
  }
}

function toSealAnswer({ state, response }: AttemptRecord): SealAnswer {
  if (response) return { state: 'ANSWERED', head: response.head, body: response.body };
  const states = { dispatched: 'RUNNING', answered: 'LOST', lost: 'LOST' } as const;
  const known = state === 'dispatched' || state === 'answered' || state === 'lost' ? states[state] : 'SEALED';
  return { state: known, head: undefined, body: EMPTY_BODY };
}
