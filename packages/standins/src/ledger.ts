/** What an upstream really did, kept in a file that outlives it, to be compared with what callers were told. */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';

/** One run of a request, with what came of it. */
export interface Effect {
  /** The caller's own name for the request, from the `x-token` header. */
  readonly token: string;
  readonly route: string;
  readonly requestId: string;
  /** True when the run got as far as its effect. */
  readonly done: boolean;
}

type LedgerLine = Omit<Effect, 'done'> & { readonly run: number; readonly event: 'started' | 'done' };

/** Appends to a ledger file; without one, nothing is kept. */
export class Ledger {
  private runs = 0;

  constructor(private readonly path: string | undefined) {}

  /** A run starts; call the result at its effect. */
  started(run: Omit<Effect, 'done'>): () => void {
    const number = ++this.runs;
    this.write({ ...run, run: number, event: 'started' });
    return () => this.write({ ...run, run: number, event: 'done' });
  }

  private write(line: LedgerLine): void {
    if (this.path !== undefined) appendFileSync(this.path, `${JSON.stringify(line)}\n`);
  }
}

/** The runs of a ledger file; a last line that was cut off by a kill is left out. */
export function readLedger(path: string): Effect[] {
  if (!existsSync(path)) return [];
  const text = readFileSync(path, 'utf8');
  const lines = text
    .slice(0, text.lastIndexOf('\n') + 1)
    .split('\n')
    .filter(line => line !== '');
  const runs = new Map<number, Effect>();
  for (const line of lines) {
    const { run, event, token, route, requestId } = JSON.parse(line) as LedgerLine;
    runs.set(run, { token, route, requestId, done: event === 'done' });
  }
  return [...runs.values()];
}
