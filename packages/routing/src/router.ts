/** Selects the upstream for a call: the same failure domain first, less utilised ones first, and none that would refuse. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Load } from '@cleatquay/protocol';
import { CallTimes, type CallTimeSummary, isAnyReporting } from './callTime.js';
import { type MeasuredCandidate, selectSubset } from './candidateSubset.js';
import { type CrossingReason, Spillover } from './spillover.js';
import { type Candidate, type UpstreamDirectory } from './upstreamDirectory.js';
import { OutlierFilter } from './outlierFilter.js';
import { type CallResult, PeerStatistics } from './peerStatistics.js';

/** Upstreams whose latest reports lie within this time of each other are in use alike: it covers several calls of any service in use. */
const RECENTLY_REPORTED_MS = 500;

/** Settings and dependencies of a router. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: UpstreamDirectory;
  /** ip:port of this daemon's peer protocol. */
  readonly self: string;
  readonly failureDomain: string;
  /** Reachability of a candidate; all count as reachable (`good`) by default. */
  readonly reachabilityOf?: (candidate: Candidate) => 'good' | 'silent' | 'lost';
}

/** The figures behind the choice of a candidate; expected times only if it reports its load. */
type StatisticsSummary = {
  outstanding: number;
  utilisation: number;
  loadAgeMs: number;
  /** Why the candidate is in another failure domain. */
  crossing?: CrossingReason;
} & Partial<CallTimeSummary>;

/** The chosen candidate, or why there is none: all would refuse, or none is left. */
export type Selection =
  | { readonly kind: 'chosen'; readonly candidate: Candidate; readonly crossing?: CrossingReason }
  | { readonly kind: 'refused' }
  | { readonly kind: 'none' };

interface Subset {
  readonly version: number;
  readonly isBalanced: boolean;
  readonly all: readonly MeasuredCandidate[];
  readonly outliers: OutlierFilter;
}

/** Chooses among a bounded subset of each service's upstreams. */
export class Router {
  private readonly statistics = new Map<string, PeerStatistics>();
  private readonly subsets = new Map<string, Subset>();
  private readonly callTimes: CallTimes;
  private readonly spillover: Spillover;

  constructor(private readonly options: RouterOptions) {
    this.callTimes = new CallTimes(options.clock);
    this.spillover = new Spillover({
      ...options,
      pick: (candidates, route) => this.pick(candidates, route),
      expectedTimeMs: (measured, route) => this.callTimes.measuredMs(measured, route),
    });
  }

  /** Calls that crossed to another failure domain, by that. */
  get crossedCalls(): ReadonlyMap<string, number> {
    return this.spillover.crossedCalls;
  }

  /**
   * Selects a candidate for a call to `route` at `level`; leaves out those in `tried`, and those whose reported admission level
   * refuses calls at `forwardingLevel`.
   */
  choose(
    service: string,
    route: string,
    level: number,
    tried: ReadonlySet<string>,
    forwardingLevel = level,
  ): Selection {
    const subset = this.subset(service);
    const untried =
      tried.size === 0 ? subset.all : subset.all.filter(({ candidate }) => !tried.has(candidate.address));
    if (untried.length === 0) return { kind: 'none' };
    const usable = subset.outliers.leaveOut(this.reachable(untried), level);
    const accepts = ({ statistics }: MeasuredCandidate) =>
      statistics.admissionLevelFor(route) > forwardingLevel;
    const choice = this.spillover.choose(service, route, usable, accepts);
    if (!choice) return { kind: 'refused' };
    const { candidate, crossing } = choice;
    return { kind: 'chosen', candidate: candidate.candidate, ...(crossing && { crossing }) };
  }

  /** The figures behind the choice of a candidate, for the decision trace. */
  statisticsSummary(
    { candidate, crossing }: { candidate: Candidate; crossing?: CrossingReason },
    route: string,
  ): StatisticsSummary {
    const statistics = this.statisticsOf(candidate.address);
    const utilisation = Math.round(100 * statistics.utilisation(candidate.slots)) / 100;
    return {
      outstanding: statistics.outstanding,
      utilisation,
      loadAgeMs: Math.round(statistics.loadAgeMs()),
      ...this.callTimes.summary({ candidate, statistics }, route),
      ...(crossing && { crossing }),
    };
  }

  /**
   * The admission level of the service for `route`: calls at or above it are refused by all upstreams in use. 0 if no upstream is reachable,
   * since work that needs the service would be wasted.
   *
   * Only upstreams with the most recent reports count, since these receive the calls. There are no reports from other failure domains while
   * upstreams in the same one have capacity; counted as open, they would hide that the upstreams in use refuse calls.
   */
  admissionLevelFor(service: string, route: string): number {
    const reachable = this.subset(service).all.filter(
      ({ candidate }) => this.reachabilityOf(candidate) !== 'lost',
    );
    const receivedAt = ({ statistics }: MeasuredCandidate) => statistics.levelReceivedAt(route);
    const latest = reachable.reduce(
      (time, candidate) => Math.max(time, receivedAt(candidate)),
      Number.NEGATIVE_INFINITY,
    );
    return reachable
      .filter(candidate => receivedAt(candidate) >= latest - RECENTLY_REPORTED_MS)
      .reduce((highest, { statistics }) => Math.max(highest, statistics.admissionLevelFor(route)), 0);
  }

  /** Records the start of a call to the candidate; the returned function records its end. */
  trackCall(address: string, route = ''): (result: CallResult) => void {
    const statistics = this.statisticsOf(address);
    const recordTime = this.callTimes.callStarted(statistics, route);
    const start = statistics.callStarted();
    return result => {
      statistics.callEnded(result, start);
      if (result === 'answered') recordTime();
    };
  }

  /** Records the load that the candidate reports. */
  recordLoad(address: string, route: string, load: Load): void {
    this.statisticsOf(address).recordLoad(route, load);
  }

  /** Deletes the statistics of a candidate that was removed permanently. */
  forget(address: string): void {
    this.statistics.delete(address);
    this.subsets.clear();
  }

  /** Statistics by candidate, for a dump. */
  dump(): object {
    return Object.fromEntries(
      [...this.statistics].map(([address, s]) => [
        address,
        {
          ...{
            outstanding: s.outstanding,
            latencyMs: s.latencyMs,
            samples: s.samples,
            avoided: s.isBackedOff,
          },
          ...(s.work.upstream && { reported: s.work.upstream, speed: s.speed.ratio, trust: s.speed.trust }),
        },
      ]),
    );
  }

  private statisticsOf(address: string): PeerStatistics {
    let statistics = this.statistics.get(address);
    if (!statistics) {
      statistics = new PeerStatistics(this.options.clock);
      this.statistics.set(address, statistics);
    }
    return statistics;
  }

  /**
   * The less utilised of two random candidates: power of two choices (Mitzenmacher 2001). Where upstreams report their load, one with a short
   * expected time.
   */
  private pick(candidates: readonly MeasuredCandidate[], route: string): MeasuredCandidate | undefined {
    if (candidates.length < 2) return candidates[0];
    if (isAnyReporting(candidates)) return this.callTimes.choose(candidates, route, this.options.random);
    const first = candidates[Math.floor(this.options.random() * candidates.length)];
    const second = candidates[Math.floor(this.options.random() * candidates.length)];
    return this.lessUtilised(first, second);
  }

  private reachabilityOf(candidate: Candidate): 'good' | 'silent' | 'lost' {
    return this.options.reachabilityOf?.(candidate) ?? 'good';
  }

  /** Leaves out unreachable candidates; also unresponsive and backed-off ones, unless no others remain. */
  private reachable(candidates: readonly MeasuredCandidate[]): readonly MeasuredCandidate[] {
    const isHealthy = ({ candidate, statistics }: MeasuredCandidate) =>
      !statistics.isBackedOff && this.reachabilityOf(candidate) === 'good';
    const healthy = candidates.filter(isHealthy);
    if (healthy.length > 0) return healthy;
    return candidates.filter(({ candidate }) => this.reachabilityOf(candidate) !== 'lost');
  }

  private lessUtilised(
    a: MeasuredCandidate | undefined,
    b: MeasuredCandidate | undefined,
  ): MeasuredCandidate | undefined {
    if (!a || !b || a === b) return a ?? b;
    return this.utilisation(b) < this.utilisation(a) ? b : a;
  }

  private utilisation({ candidate, statistics }: MeasuredCandidate): number {
    return statistics.utilisation(candidate.slots);
  }

  private subset(service: string): Subset {
    const { directory } = this.options;
    const version = directory.version(service);
    const isBalanced = this.spillover.isBalanced(service);
    const cached = this.subsets.get(service);
    if (cached?.version === version && cached.isBalanced === isBalanced) return cached;
    const selected = selectSubset(directory.of(service), { ...this.options, isBalanced });
    const all = selected.map(c => ({ candidate: c, statistics: this.statisticsOf(c.address) }));
    const subset = { version, isBalanced, all, outliers: new OutlierFilter(this.options) };
    this.subsets.set(service, subset);
    return subset;
  }
}
