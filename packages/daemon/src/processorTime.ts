/**
 * What a daemon's processor time is spent on.
 *
 * Handlers of events call `enter` and `leave`, and the continuations of promises that they resolve are attributed to the handler that ran last, up to the
 * end of that event. One of `SAMPLE_INTERVAL` events of a kind is measured, and stands for the others: in the code of a young process, measuring an event takes
 * some microseconds.
 *
 * What can't be told apart cheaply counts as the rest: reading and parsing HTTP before a handler runs, responses of upstreams and what they lead to,
 * membership, health checks, and system calls of node's own. Handlers are timed by a monotonic clock, so that on a busy machine they include
 * time in which other processes ran; the rest is then too small. Garbage collection runs inside of other work, and is reported beside it.
 *
 * The time of a measured event is also attributed to what it led to for requests, in equal parts if it led to several results.
 */
import {
  type Clock,
  type EventKind,
  type Timer,
  WORK_RESULTS,
  type WorkKind,
  type WorkMeter,
  type WorkResult,
} from '@cleatquay/clock';
import { type HeapActivity, type HeapTotals } from './heapActivity.js';
import { type Metrics } from './metrics.js';

/** What processor time is attributed to. */
export type ProcessorUse = WorkKind | 'start' | 'rest';

/** Requests, or attempts of them, with the same result. */
export interface ResultUse {
  /** All of them, measured or not. */
  count: number;
  /** Processor time of the events that led to the result, ms. */
  ms: number;
}

/** Time sources of the measurement. */
export interface ProcessorTimeSources {
  /** Monotonic clock, ms. */
  readonly now: () => number;
  /** Processor time of the process since its start, ms. */
  readonly used: () => number;
  /** Runs an action once the promises that are resolved now have been handled, before the next event. */
  readonly afterPromises: (action: () => void) => void;
}

/** One of this many events of each kind is measured. Odd, since frames are often read and written by turns: an even one would measure only either. */
export const SAMPLE_INTERVAL = 7;

const RESOLVED = Promise.resolve();

/** Sources of this process. Ticks that are queued by a promise's continuation run after all continuations. */
export const PROCESS_TIME: ProcessorTimeSources = {
  now: () => performance.now(),
  used: () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
  },
  afterPromises: action => void RESOLVED.then(() => process.nextTick(action)),
};

/** Measures the work of one process. */
export class ProcessorTime implements WorkMeter {
  private readonly spent: Record<WorkKind, number> = {
    requests: 0,
    calls: 0,
    refusals: 0,
    links: 0,
    timers: 0,
  };
  private startMs = 0;
  /** The kind that time is attributed to; undefined outside of measured work. */
  private current: WorkKind | undefined;
  private since = 0;
  /** The kind of the handler of this event that began last. */
  private latest: WorkKind = 'timers';
  /** The kinds that the work inside of which other work runs is attributed to, outermost first. */
  private readonly outer: (WorkKind | undefined)[] = [];
  /** Whether the current event is measured. */
  private isMeasured = false;
  private readonly events: Record<EventKind, number> = { requests: 0, links: 0, timers: 0 };
  private readonly results = new Map<WorkResult, ResultUse>(
    WORK_RESULTS.map(result => [result, { count: 0, ms: 0 }]),
  );
  /** Results of the current event, if it is measured. */
  private readonly eventResults: WorkResult[] = [];
  /** Time of the current event until now, ms. */
  private eventMs = 0;
  private readonly closeEvent = () => {
    this.switchTo(undefined);
    this.isMeasured = false;
    this.attributeToResults();
  };

  constructor(private readonly sources = PROCESS_TIME) {}

  enter(kind: WorkKind): boolean {
    if (this.isMeasured) this.outer.push(this.current);
    else if (beginsEvent(kind) && this.events[kind]++ % SAMPLE_INTERVAL === 0) this.isMeasured = true;
    else return false;
    this.latest = kind;
    this.switchTo(kind);
    return true;
  }

  leave(): void {
    if (this.outer.length > 0) return this.switchTo(this.outer.pop());
    this.switchTo(this.latest);
    this.sources.afterPromises(this.closeEvent);
  }

  recordResult(result: WorkResult): void {
    const use = this.results.get(result);
    if (use) use.count++;
    if (this.isMeasured) this.eventResults.push(result);
  }

  /** What requests have come to since the start of the process, and the processor time of the events that led to it. */
  get byResult(): ReadonlyMap<WorkResult, Readonly<ResultUse>> {
    return this.results;
  }

  /** Attributes all time until now to the start of the process. */
  startEnded(): void {
    this.startMs = this.sources.used();
    for (const kind of Object.keys(this.spent) as WorkKind[]) this.spent[kind] = 0;
  }

  /** Processor time since the start of the process by use, ms. */
  get byUse(): ReadonlyMap<ProcessorUse, number> {
    const { startMs, spent } = this;
    const known = { start: startMs, ...spent };
    const knownMs = Object.values(known).reduce((sum, ms) => sum + ms, 0);
    const uses = Object.entries(known) as [ProcessorUse, number][];
    return new Map([...uses, ['rest', Math.max(0, this.sources.used() - knownMs)]]);
  }

  private switchTo(kind: WorkKind | undefined): void {
    const now = this.sources.now();
    if (this.current) {
      const ms = (now - this.since) * SAMPLE_INTERVAL;
      this.spent[this.current] += ms;
      this.eventMs += ms;
    }
    this.current = kind;
    this.since = now;
  }

  private attributeToResults(): void {
    const msEach = this.eventMs / this.eventResults.length;
    for (const result of this.eventResults) {
      const use = this.results.get(result);
      if (use) use.ms += msEach;
    }
    this.eventResults.length = 0;
    this.eventMs = 0;
  }
}

function beginsEvent(kind: WorkKind): kind is EventKind {
  return kind !== 'calls' && kind !== 'refusals';
}

/** Interval at which the use is compared with the bound, ms. */
const INTERVAL_MS = 10_000;
/** Share of a processor above which an interval is logged: a daemon near it delays requests. */
const MAX_UNLOGGED_SHARE = 0.5;

/** Dependencies of the log. */
export interface ProcessorTimeLogOptions {
  readonly clock: Clock;
  readonly processorTime: Pick<ProcessorTime, 'byUse' | 'byResult'>;
  readonly heap: Pick<HeapActivity, 'totals'>;
  /** Tells the time of garbage collection. */
  readonly metrics: Pick<Metrics, 'gcMs'>;
  readonly log: (message: string, facts: object) => void;
}

/** Totals of a process, ms. */
interface Totals {
  readonly at: number;
  readonly byUse: ReadonlyMap<ProcessorUse, number>;
  readonly byResult: ReadonlyMap<WorkResult, Readonly<ResultUse>>;
  /** Garbage collection, within the uses. */
  readonly gcMs: number;
  readonly heap: HeapTotals;
}

const NOTHING_USED: Omit<Totals, 'at'> = {
  byUse: new Map(),
  byResult: new Map(),
  gcMs: 0,
  heap: { scavenges: 0, markCompacts: 0, allocatedBytes: 0, promotedBytes: 0, compiledBytes: 0 },
};

/** Logs what processor time is spent on: each interval above the bound, and all of it when the process shuts down. */
export class ProcessorTimeLog implements Disposable {
  private timer: Timer;
  private last: Totals;

  constructor(private readonly options: ProcessorTimeLogOptions) {
    this.last = { ...NOTHING_USED, at: options.clock.now() };
    this.timer = this.schedule();
  }

  /** Logs the use since the start of the process. */
  async logTotals(): Promise<void> {
    const totals = await this.totals();
    this.options.log('Processor time since the start, by use.', factsOf(totals, NOTHING_USED));
  }

  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
  }

  private schedule(): Timer {
    return this.options.clock.after(INTERVAL_MS, () => {
      this.timer = this.schedule();
      void this.logIfAboveBound();
    });
  }

  private async totals(): Promise<Totals> {
    const { clock, processorTime, metrics, heap } = this.options;
    const { byUse } = processorTime;
    // A copy: the figures go on changing.
    const byResult = new Map([...processorTime.byResult].map(([result, use]) => [result, { ...use }]));
    return { at: clock.now(), byUse, byResult, gcMs: await metrics.gcMs(), heap: heap.totals };
  }

  private async logIfAboveBound(): Promise<void> {
    const { last } = this;
    const totals = (this.last = await this.totals());
    const forMs = totals.at - last.at;
    const facts = factsOf(totals, last);
    if (facts.usedMs <= forMs * MAX_UNLOGGED_SHARE) return;
    this.options.log('Much processor time was used.', { forMs: Math.round(forMs), ...facts });
  }
}

/** Processor time between two totals by use, ms. */
function factsOf(totals: Omit<Totals, 'at'>, earlier: Omit<Totals, 'at'>) {
  const spent = [...totals.byUse].map(([use, ms]) => [use, ms - (earlier.byUse.get(use) ?? 0)] as const);
  const usedMs = Math.round(spent.reduce((sum, [, ms]) => sum + ms, 0));
  const byUse = Object.fromEntries(spent.map(([use, ms]) => [`${use}Ms`, Math.round(ms)]));
  const gcMs = Math.round(totals.gcMs - earlier.gcMs);
  return { usedMs, ...byUse, gcMs, ...resultFacts(totals, earlier), ...heapFacts(totals.heap, earlier.heap) };
}

/** Requests by what became of them, and the processor time of the events that led to it, ms. */
function resultFacts(totals: Omit<Totals, 'at'>, earlier: Omit<Totals, 'at'>) {
  const facts = [...totals.byResult].flatMap(([result, { count, ms }]) => {
    const before = earlier.byResult.get(result);
    return [
      [result, count - (before?.count ?? 0)] as const,
      [`${result}Ms`, Math.round(ms - (before?.ms ?? 0))] as const,
    ];
  });
  return Object.fromEntries(facts);
}

function heapFacts(totals: HeapTotals, earlier: HeapTotals) {
  return {
    scavenges: totals.scavenges - earlier.scavenges,
    markCompacts: totals.markCompacts - earlier.markCompacts,
    allocatedKb: toKb(totals.allocatedBytes - earlier.allocatedBytes),
    promotedKb: toKb(totals.promotedBytes - earlier.promotedBytes),
    compiledKb: toKb(totals.compiledBytes - earlier.compiledBytes),
  };
}

function toKb(bytes: number): number {
  return Math.round(bytes / 1024);
}
