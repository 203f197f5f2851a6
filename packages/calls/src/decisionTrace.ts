/**
 * A trace of the decisions about each request, for `cleatquay explain` and for the log. The latest requests are kept. When
 * a request has ended, all of its decisions are logged if it failed or belongs to the sample, and none otherwise.
 */
import { type Clock } from '@cleatquay/clock';
import { crc32 } from 'node:zlib';

const MAX_REQUESTS = 2000;
const MAX_RECORDS_PER_REQUEST = 20;
/** One of this many successful requests is logged. It is chosen by a hash of its id, so that all daemons choose the same ones. */
const SAMPLE_INTERVAL = 256;

/** The inputs of a decision, with their age or version. */
export type Facts = Readonly<Record<string, string | number | boolean>>;

/** One decision. */
export interface Decision {
  /** ISO 8601. */
  readonly at: string;
  readonly what: string;
  readonly facts: Facts;
}

/** A decision as it is stored. The timestamp is formatted only when it is read, since hardly any is. */
interface DecisionRecord {
  readonly atMs: number;
  readonly what: string;
  readonly facts: Facts;
}

/** Receives the decisions about a request that has ended at this daemon. */
export type DecisionSink = (requestId: string, decisions: readonly Decision[]) => void;

const NO_FACTS: Facts = {};

/** The latest decisions of one daemon. */
export class DecisionTrace {
  private readonly byRequest = new Map<string, DecisionRecord[]>();

  constructor(
    private readonly clock: Clock,
    private readonly sink?: DecisionSink,
  ) {}

  /** Records a decision; evicts the oldest request when the trace is full. */
  record(requestId: string, what: string, facts: Facts = NO_FACTS): void {
    let records = this.byRequest.get(requestId);
    if (!records) this.byRequest.set(requestId, (records = []));
    // The last record states the outcome, so that a full list loses the one before it.
    if (records.length === MAX_RECORDS_PER_REQUEST) records.pop();
    records.push({ atMs: this.clock.now(), what, facts });
    if (this.byRequest.size <= MAX_REQUESTS) return;
    const [oldest] = this.byRequest.keys();
    if (oldest !== undefined) this.byRequest.delete(oldest);
  }

  /** The request has ended at this daemon; its decisions are logged if it failed or belongs to the sample. */
  requestEnded(requestId: string, isFailed: boolean): void {
    if (!this.sink || !(isFailed || crc32(requestId) % SAMPLE_INTERVAL === 0)) return;
    this.sink(requestId, this.toDecisions(this.byRequest.get(requestId) ?? []));
  }

  /** The decisions about a request and about the calls that it made. */
  find(requestId: string): Record<string, Decision[]> {
    const found = [...this.byRequest].filter(([id]) => id === requestId || id.startsWith(`${requestId}/`));
    return Object.fromEntries(found.map(([id, records]) => [id, this.toDecisions(records)]));
  }

  private toDecisions(records: readonly DecisionRecord[]): Decision[] {
    const offsetMs = this.clock.date().getTime() - this.clock.now();
    return records.map(({ atMs, what, facts }) => ({
      at: new Date(offsetMs + atMs).toISOString(),
      what,
      facts,
    }));
  }
}
