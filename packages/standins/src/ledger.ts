/** Records the requests that an upstream ran in a file that survives its crash, for comparison with the responses that callers got. */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';

/** One execution of a request. */
export interface Execution {
  /** Identifies the request at its caller; from the `x-token` header. */
  readonly token: string;
  readonly route: string;
  readonly requestId: string;
  /** Whether the execution completed and took effect. */
  readonly done: boolean;
}

type LedgerLine = Omit<Execution, 'done'> & { readonly run: number; readonly event: 'started' | 'done' };

/** Appends to a ledger file, or discards everything if there is none. */
export class Ledger {
  private runs = 0;

  constructor(private readonly path: string | undefined) {}

  /** Records the start of an execution; the returned function records its effect. */
  started(run: Omit<Execution, 'done'>): () => void {
    const number = ++this.runs;
    this.write({ ...run, run: number, event: 'started' });
    return () => this.write({ ...run, run: number, event: 'done' });
  }

  private write(line: LedgerLine): void {
    if (this.path !== undefined) appendFileSync(this.path, `${JSON.stringify(line)}\n`);
  }
}

/** Reads the executions in a ledger file; ignores a last line that was truncated when the process was killed. */
export function readLedger(path: string): Execution[] {
  if (!existsSync(path)) return [];
  const text = readFileSync(path, 'utf8');
  const lines = text
    .slice(0, text.lastIndexOf('\n') + 1)
    .split('\n')
    .filter(line => line !== '');
  const runs = new Map<number, Execution>();
  for (const line of lines) {
    const { run, event, token, route, requestId } = JSON.parse(line) as LedgerLine;
    runs.set(run, { token, route, requestId, done: event === 'done' });
  }
  return [...runs.values()];
}
