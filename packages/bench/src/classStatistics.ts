/** Outcome counts and latencies by class, with a check that each response is complete and belongs to its request. */
import { type CallerResult } from '@cleatquay/caller';
import { type RecordableHistogram, createHistogram } from 'node:perf_hooks';
import { table } from './table.js';

/** Outcome of one request. */
export interface RequestResult {
  readonly outcome: CallerResult['outcome'];
  readonly ms: number;
  /** Whether the response is complete and belongs to this request. */
  readonly isComplete: boolean;
}

interface Row {
  counts: Record<RequestResult['outcome'], number>;
  incomplete: number;
  latency: RecordableHistogram;
}

/** Whether a response is complete and belongs to the request with this token. */
export function isCompleteResponse(result: CallerResult | undefined, token: string, route: string): boolean {
  if (result?.status !== 200) return false;
  try {
    const body = JSON.parse(result.body.toString('utf8')) as {
      token?: string;
      route?: string;
      filler?: string;
    };
    return body.token === token && body.route === route;
  } catch {
    return false;
  }
}

export class ClassStatistics {
  private readonly rows = new Map<string, Row>();

  constructor(classes: readonly string[]) {
    for (const name of classes) {
      const counts = { answered: 0, 'not-run': 0, unknown: 0, failed: 0 };
      this.rows.set(name, { counts, incomplete: 0, latency: createHistogram() });
    }
  }

  /** Whether every request got its complete response. */
  get allSucceeded(): boolean {
    return [...this.rows.values()].every(({ counts, incomplete }) => {
      return incomplete === 0 && counts['not-run'] + counts.unknown + counts.failed === 0;
    });
  }

  add(className: string, { outcome, ms, isComplete }: RequestResult): void {
    const row = this.rows.get(className);
    if (!row) return;
    row.counts[outcome]++;
    if (outcome === 'answered' && !isComplete) row.incomplete++;
    row.latency.record(Math.max(1, Math.round(ms * 1000)));
  }

  /** A table for the terminal. */
  table(): string {
    const head = ['class', 'answered', 'not run', 'unknown', 'failed', 'incomplete', 'p50 ms', 'p99 ms'];
    const rows = [...this.rows].map(([name, { counts, incomplete, latency }]) => {
      const ms = [50, 99].map(p => (latency.percentile(p) / 1000).toFixed(1));
      return [name, counts.answered, counts['not-run'], counts.unknown, counts.failed, incomplete, ...ms];
    });
    return table(head, rows);
  }
}
