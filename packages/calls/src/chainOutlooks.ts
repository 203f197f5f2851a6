/**
 * What a daemon knows of the calls that the runs of its upstream make: how many each run makes, and how likely all of them succeed. It is
 * learned from the calls themselves and from the outlooks in the responses to them, by route and class, since retries
 * are allocated by class. Nothing is known of routes whose runs make no calls.
 */
import { type Clock } from '@cleatquay/clock';
import { type ChainOutlook } from '@cleatquay/protocol';

/** Time constant of the weight of past calls: a service that recovers shows within a second. */
const MEMORY_MS = 700;
/**
 * Number of calls whose weight an outlook has that came with a response to a call; without any, as many successful calls are assumed. It
 * decides while few calls are known.
 */
const PRIOR_CALLS = 2;
/** Weight of a complete run in the means of its number of calls and of its duration. */
const RUN_WEIGHT = 0.1;
/** Bounds the memory if routes are renamed often. */
const MAX_ROUTES = 256;

/** Why a run that made calls ended without being complete. */
export type WasteCause = 'call-failed' | 'timed-out' | 'disconnected' | 'failed';

/** The route and class of a run. */
export interface RunKind {
  readonly route: string;
  readonly class: number;
}

/** The end of a run. */
export interface RunEnd {
  /** Number of its calls by the route that was called. */
  readonly calls: ReadonlyMap<string, number>;
  readonly tookMs: number;
  /** Absent if it is complete. */
  readonly waste?: WasteCause;
}

/** An amount that decays with time. */
class Recent {
  private value = 0;
  private at = 0;

  add(amount: number, now: number): void {
    this.value = this.valueAt(now) + amount;
    this.at = now;
  }

  valueAt(now: number): number {
    return this.value * Math.exp((this.at - now) / MEMORY_MS);
  }
}

/** Calls of one route by runs of one kind. */
class CalledRoute {
  readonly made = new Recent();
  readonly succeeded = new Recent();
  /** Mean number in a complete run; undefined until there was one. */
  perRun: number | undefined;
  private reported: { readonly outlook: ChainOutlook; readonly at: number } | undefined;

  report(outlook: ChainOutlook, now: number): void {
    this.reported = { outlook, at: now };
  }

  /** Mean number of calls that such a call makes. */
  get callsBelow(): number {
    return this.reported?.outlook.calls ?? 0;
  }

  /** How likely a call succeeds, 0 to 1. */
  completionAt(now: number): number {
    const weight = this.reported ? Math.exp((this.reported.at - now) / MEMORY_MS) : 0;
    const prior = 1 - weight * (1 - (this.reported?.outlook.completion ?? 1));
    const succeeded = this.succeeded.valueAt(now) + PRIOR_CALLS * prior;
    return succeeded / (this.made.valueAt(now) + PRIOR_CALLS);
  }
}

interface KnownRuns {
  readonly called: Map<string, CalledRoute>;
  typicalMs: number;
  completeRuns: number;
}

/** The outlooks of one daemon. */
export class ChainOutlooks {
  /** Runs that made calls and ended since the start of the daemon, and those of them that were wasted. */
  readonly counts = { runs: 0, wasted: { 'call-failed': 0, 'timed-out': 0, disconnected: 0, failed: 0 } };
  private readonly kinds = new Map<string, KnownRuns>();

  constructor(private readonly clock: Clock) {}

  /** Records the end of a call by a run, after its retries, and the outlook that came with the response. */
  recordCall(run: RunKind, called: string, isSuccessful: boolean, outlook: ChainOutlook | undefined): void {
    const known = this.known(run);
    if (!known) return;
    const now = this.clock.now();
    const route = calledRoute(known, called);
    route.made.add(1, now);
    if (isSuccessful) route.succeeded.add(1, now);
    if (outlook && isPlausible(outlook)) route.report(outlook, now);
  }

  /** Records the end of a run. Only complete runs show how many calls a run makes. */
  recordRun(run: RunKind, { calls, tookMs, waste }: RunEnd): void {
    const known = calls.size > 0 ? this.known(run) : this.kinds.get(keyOf(run));
    if (!known) return;
    this.counts.runs++;
    if (waste) {
      this.counts.wasted[waste]++;
      return;
    }
    known.completeRuns++;
    const weight = Math.max(RUN_WEIGHT, 1 / known.completeRuns);
    known.typicalMs += (tookMs - known.typicalMs) * weight;
    for (const name of calls.keys()) calledRoute(known, name);
    for (const [name, route] of known.called) {
      const count = calls.get(name) ?? 0;
      route.perRun = route.perRun === undefined ? count : route.perRun + (count - route.perRun) * RUN_WEIGHT;
    }
  }

  /** The outlook for a run; undefined if it is not known to make calls. */
  outlookOf(run: RunKind): ChainOutlook | undefined {
    const known = this.kinds.get(keyOf(run));
    if (!known || known.called.size === 0) return undefined;
    const now = this.clock.now();
    let completion = 1;
    let calls = 0;
    for (const route of known.called.values()) {
      const perRun = route.perRun ?? 1;
      completion *= route.completionAt(now) ** perRun;
      calls += perRun * (1 + route.callsBelow);
    }
    return { completion, calls, typicalMs: known.typicalMs };
  }

  /** All outlooks, for a dump. */
  dump(): object {
    return Object.fromEntries([...this.kinds.keys()].map(key => [key, this.outlookOf(kindOf(key))]));
  }

  /** The lowest completion of any route; 1 if none is known. */
  get lowestCompletion(): number {
    const all = [...this.kinds.keys()].map(key => this.outlookOf(kindOf(key))?.completion ?? 1);
    return Math.min(1, ...all);
  }

  private known(run: RunKind): KnownRuns | undefined {
    const key = keyOf(run);
    let known = this.kinds.get(key);
    if (!known && this.kinds.size < MAX_ROUTES)
      this.kinds.set(key, (known = { called: new Map(), typicalMs: 0, completeRuns: 0 }));
    return known;
  }
}

/** Whether the figures of another daemon can be used. */
export function isPlausible({ completion, calls }: ChainOutlook): boolean {
  return completion >= 0 && completion <= 1 && calls >= 0 && Number.isFinite(calls);
}

function calledRoute({ called }: KnownRuns, name: string): CalledRoute {
  let route = called.get(name);
  if (!route) called.set(name, (route = new CalledRoute()));
  return route;
}

function keyOf({ route, class: rank }: RunKind): string {
  return `${String(rank)} ${route}`;
}

function kindOf(key: string): RunKind {
  const end = key.indexOf(' ');
  return { class: Number(key.slice(0, end)), route: key.slice(end + 1) };
}
