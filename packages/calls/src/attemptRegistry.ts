/**
 * The state of non-idempotent attempts at this daemon. It lets the daemon report the outcome of an attempt to a sender that
 * lost the connection, and seal an attempt: bar it from dispatch for good.
 */
import { Cancellation, type Clock, NO_LONGER_NEEDED } from '@cleatquay/clock';
import { type Refusal, type SealAnswer, type SealRequest, createRefusal } from '@cleatquay/protocol';
import { UNKNOWN_PROCESS } from './processIdentity.js';
import { type RecordedResponse } from './responses.js';

const MAX_RECORDS = 50_000;
const MAX_RESPONSE_BYTES = 32 * 1_048_576;
const EMPTY_BODY = Buffer.alloc(0);

type AttemptState = 'admitting' | 'refused' | 'sealed' | 'dispatched' | 'answered' | 'lost';

interface AttemptRecord {
  readonly try: number;
  /** Whether the attempt itself arrived at this process; a seal request may have come before it, or in its place. */
  readonly hasArrived: boolean;
  state: AttemptState;
  response: RecordedResponse | undefined;
  /** Clock time of its registration or end, whichever is later, ms. */
  keptFrom: number;
  /** Resolves when a dispatched attempt has ended. */
  readonly whenEnded: Promise<void>;
  readonly end: () => void;
}

/** The state of an attempt after a seal request. */
export type SealOutcome = Pick<SealAnswer, 'state' | 'head' | 'body'>;

/** Attempts by request id, each stored while it runs, and then for the lifetime of an id. */
export class AttemptRegistry {
  private readonly records = new Map<string, AttemptRecord>();
  private responseBytes = 0;

  constructor(
    private readonly clock: Clock,
    private readonly lifetimeMs: () => number,
  ) {}

  get size(): number {
    return this.records.size;
  }

  /** Registers an attempt before its admission, or returns the reason why it must not run. */
  register(requestId: string, attempt: number): Refusal | undefined {
    const known = this.records.get(requestId);
    if (known?.state === 'sealed') return createRefusal('sealed', 'The sender sealed this attempt.');
    if (known && known.state !== 'refused') {
      return createRefusal(
        'contactLost',
        'The request was received twice; another attempt of it is running or has run.',
      );
    }
    if (this.records.size >= MAX_RECORDS || this.responseBytes >= MAX_RESPONSE_BYTES) {
      return createRefusal('memoryFull', 'Too many request results are stored.', { elsewhereHelps: true });
    }
    this.add(requestId, attempt, 'admitting', true);
    return undefined;
  }

  /** The attempt was not admitted. */
  markRefused(requestId: string): void {
    const record = this.records.get(requestId);
    if (record?.state === 'admitting') record.state = 'refused';
  }

  /** Marks the attempt as dispatched, right before it is; returns false if it has been sealed. */
  markDispatched(requestId: string): boolean {
    const record = this.records.get(requestId);
    if (record?.state !== 'admitting') return false;
    record.state = 'dispatched';
    return true;
  }

  /** The dispatched attempt ended; without a response, its outcome is unknown. */
  markEnded(requestId: string, response: RecordedResponse | undefined): void {
    const record = this.records.get(requestId);
    if (record?.state !== 'dispatched') return;
    record.state = response ? 'answered' : 'lost';
    record.response = response;
    record.keptFrom = this.clock.now();
    this.responseBytes += response?.body.length ?? 0;
    record.end();
  }

  /** The dispatched attempt certainly did not run: no connection to the upstream, or the upstream refused it. */
  markNotDispatched(requestId: string): void {
    const record = this.records.get(requestId);
    if (record?.state !== 'dispatched') return;
    record.state = 'refused';
    record.keptFrom = this.clock.now();
    record.end();
  }

  /**
   * Seals the attempt if it was not dispatched; if it is running, waits up to `waitMs` for its end. That it was not dispatched here shows that it
   * has not run only if it was sent to this process: the request names the process, or the attempt has arrived.
   */
  async seal(request: SealRequest): Promise<SealOutcome> {
    const { requestId, targetProcess, waitMs } = request;
    const record = this.records.get(requestId) ?? this.add(requestId, request.try, 'sealed', false);
    if (record.state === 'admitting' || record.state === 'refused') record.state = 'sealed';
    if (record.state === 'dispatched' && waitMs > 0) await this.waitFor(record, waitMs);
    const outcome = outcomeOf(record);
    const hasArrived = record.hasArrived && record.try === request.try;
    const isSentHere = targetProcess !== UNKNOWN_PROCESS || hasArrived;
    return outcome.state === 'SEALED' && !isSentHere ? { ...outcome, state: 'OTHER_PROCESS' } : outcome;
  }

  private async waitFor(record: AttemptRecord, waitMs: number): Promise<void> {
    const waited = new Cancellation();
    await Promise.race([record.whenEnded, this.clock.sleep(waitMs, waited.signal)]);
    waited.abort(NO_LONGER_NEEDED);
  }

  private add(requestId: string, attempt: number, state: AttemptState, hasArrived: boolean): AttemptRecord {
    let end: () => void = () => undefined;
    const whenEnded = new Promise<void>(resolve => (end = resolve));
    const record: AttemptRecord = {
      try: attempt,
      hasArrived,
      state,
      response: undefined,
      keptFrom: this.clock.now(),
      whenEnded,
      end,
    };
    this.records.set(requestId, record);
    this.clock.after(this.lifetimeMs(), () => this.forget(requestId, record));
    return record;
  }

  /** Without its record, an attempt that runs or has run would look as if it had never arrived. */
  private forget(requestId: string, record: AttemptRecord): void {
    if (this.records.get(requestId) !== record) return;
    const lifetimeMs = this.lifetimeMs();
    const leftMs = record.keptFrom + lifetimeMs - this.clock.now();
    const isRunning = record.state === 'dispatched';
    if (isRunning || leftMs > 0)
      return void this.clock.after(isRunning ? lifetimeMs : leftMs, () => this.forget(requestId, record));
    this.records.delete(requestId);
    this.responseBytes -= record.response?.body.length ?? 0;
  }
}

function outcomeOf({ state, response }: AttemptRecord): SealOutcome {
  if (response) return { state: 'ANSWERED', head: response.head, body: response.body };
  const states = { dispatched: 'RUNNING', answered: 'LOST', lost: 'LOST' } as const;
  const sealState =
    state === 'dispatched' || state === 'answered' || state === 'lost' ? states[state] : 'SEALED';
  return { state: sealState, head: undefined, body: EMPTY_BODY };
}
