/**
 * What was decided about each request, for `cleatquay explain` and for the log. Notes are kept for a while; those of a
 * request that ended badly, and of a sample of the others, are handed to the log when it has ended, all or none.
 */
import { type Clock } from '@cleatquay/clock';
import { crc32 } from 'node:zlib';

const MAX_REQUESTS = 2000;
const MAX_RECORDS_PER_REQUEST = 20;
/** One request in so many is logged though nothing went wrong. Chosen by its id, so that all daemons choose the same. */
const SAMPLE_INTERVAL = 256;

/** What a decision rested on: inputs, their age or version. */
export type Facts = Readonly<Record<string, string | number | boolean>>;

/** One decision. */
export interface Decision {
  /** ISO 8601. */
  readonly at: string;
  readonly what: string;
  readonly facts: Facts;
}

/** A decision as it is kept: made readable only when somebody asks, since almost nobody does. */
interface DecisionRecord {
  readonly atMs: number;
  readonly what: string;
  readonly facts: Facts;
}

/** Takes the decisions about one request that has ended here. */
export type DecisionSink = (requestId: string, decisions: readonly Decision[]) => void;

const NO_FACTS: Facts = {};

/** The latest decisions of one daemon. */
export class Journal {
  private readonly byRequest = new Map<string, DecisionRecord[]>();

  constructor(
    private readonly clock: Clock,
    private readonly sink?: DecisionSink,
  ) {}

  /** Notes a decision; the oldest request makes room. */
  note(requestId: string, what: string, facts: Facts = NO_FACTS): void {
    let notes = this.byRequest.get(requestId);
    if (!notes) this.byRequest.set(requestId, (notes = []));
    if (notes.length < MAX_RECORDS_PER_REQUEST) notes.push({ atMs: this.clock.now(), what, facts });
    if (this.byRequest.size <= MAX_REQUESTS) return;
    const [oldest] = this.byRequest.keys();
    if (oldest !== undefined) this.byRequest.delete(oldest);
  }

  /** The request has ended here; its decisions go to the log if it ended badly, or is one of the sample. */
  ended(requestId: string, isBad: boolean): void {
    if (!this.sink || !(isBad || crc32(requestId) % SAMPLE_INTERVAL === 0)) return;
    this.sink(requestId, this.toDecisions(this.byRequest.get(requestId) ?? []));
  }

  /** What was decided about a request, and about the calls made for it. */
  find(requestId: string): Record<string, Decision[]> {
    const found = [...this.byRequest].filter(([id]) => id === requestId || id.startsWith(`${requestId}/`));
    return Object.fromEntries(found.map(([id, notes]) => [id, this.toDecisions(notes)]));
  }

  private toDecisions(notes: readonly DecisionRecord[]): Decision[] {
    const offsetMs = this.clock.date().getTime() - this.clock.now();
    return notes.map(({ atMs, what, facts }) => ({
      at: new Date(offsetMs + atMs).toISOString(),
      what,
      facts,
    }));
  }
}
