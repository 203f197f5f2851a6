/** A bounded record of decisions, by request, for `cleatquay explain`. */
import { type Clock } from '@cleatquay/clock';

const REQUESTS = 2000;
const ENTRIES = 20;

/** One decision. */
export interface Decision {
  /** ISO 8601. */
  readonly at: string;
  readonly what: string;
}

/** A decision as it is kept: told apart only when somebody asks, since almost nobody does. */
interface Note {
  readonly atMs: number;
  readonly what: string;
}

/** The latest decisions of one daemon. */
export class Journal {
  private readonly byRequest = new Map<string, Note[]>();

  constructor(private readonly clock: Clock) {}

  /** Notes a decision; the oldest request makes room. */
  note(requestId: string, what: string): void {
    const decisions = this.byRequest.get(requestId) ?? [];
    if (decisions.length === 0) this.byRequest.set(requestId, decisions);
    if (decisions.length < ENTRIES) decisions.push({ atMs: this.clock.now(), what });
    if (this.byRequest.size <= REQUESTS) return;
    const [oldest] = this.byRequest.keys();
    if (oldest !== undefined) this.byRequest.delete(oldest);
  }

  /** What was decided about a request, and about the calls made for it. */
  find(requestId: string): Record<string, Decision[]> {
    const { clock } = this;
    const offsetMs = clock.date().getTime() - clock.now();
    const readable = ({ atMs, what }: Note): Decision => ({
      at: new Date(offsetMs + atMs).toISOString(),
      what,
    });
    const found = [...this.byRequest].filter(([id]) => id === requestId || id.startsWith(`${requestId}/`));
    return Object.fromEntries(found.map(([id, notes]) => [id, notes.map(readable)]));
  }
}
