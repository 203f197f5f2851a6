/** The choice itself: near before otherDomain, idle before busy, and never one that would refuse. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Load } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';
import { type Candidate, type Directory } from './directory.js';
import { type CallResult, PeerStatistics } from './peerStatistics.js';

const SAME_DOMAIN_SUBSET_SIZE = 12;
const OTHER_DOMAIN_SUBSET_SIZE = 6;
const SPILLOVER_UTILISATION = 0.9;
/**
 * A far upstream has to be less busy by so much of what it can run at once to be taken before a full near one: what is
 * known of how busy it is may be 0.2 s old.
 */
const OTHER_DOMAIN_MARGIN = 0.25;
const OUTLIER_FACTOR = 3;
const OUTLIER_MIN_SAMPLES = 5;
const OUTLIER_PROBE_RATIO = 0.05;
/** Upstreams that were heard of within so many ms are used by turns, ms: several calls of a service that is called at all. */
const RECENTLY_REPORTED_MS = 500;
/** A bound holds for so many ms, less than a slow upstream needs to be told apart (three calls under way). */
const OUTLIER_BOUND_TTL_MS = 10;
/** A bound holds for so many choices, so that it follows under the heaviest load, too. */
const OUTLIER_BOUND_MAX_CHOICES = 8;

/** What a router needs of its daemon. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: Directory;
  /** ip:port of this daemon's inner protocol. */
  readonly self: string;
  readonly failureDomain: string;
  /** Whether a candidate can be expected to answer; all can, unless this says otherwise. */
  readonly contactOf?: (candidate: Candidate) => 'good' | 'silent' | 'lost';
}

/** A candidate, or why there is none. */
export type Selection =
  | { readonly kind: 'chosen'; readonly candidate: Candidate }
  | { readonly kind: 'refused' }
  | { readonly kind: 'none' };

/** A candidate with what is known of it. */
interface MeasuredCandidate {
  readonly candidate: Candidate;
  readonly statistics: PeerStatistics;
}

interface Subset {
  readonly version: number;
  readonly all: readonly MeasuredCandidate[];
  outlierBound: OutlierBound;
}

/** From which slowness on a candidate is avoided, as it was worked out a moment ago. */
interface OutlierBound {
  readonly ms: number;
  readonly at: number;
  choicesLeft: number;
}

/** Chooses among a bounded subset of each service's upstreams. */
export class Router {
  private readonly statistics = new Map<string, PeerStatistics>();
  private readonly subsets = new Map<string, Subset>();

  constructor(private readonly options: RouterOptions) {}

  /**
   * Chooses for a call to `route` at `level`, not among `tried`, nor among those that are heard to refuse calls at
   * `sendingLevel`.
   */
  choose(
    service: string,
    route: string,
    level: number,
    tried: ReadonlySet<string>,
    sendingLevel = level,
  ): Selection {
    const subset = this.subset(service);
    const untried =
      tried.size === 0 ? subset.all : subset.all.filter(({ candidate }) => !tried.has(candidate.address));
    if (untried.length === 0) return { kind: 'none' };
    const usable = this.withoutOutliers(this.reachable(untried), subset, level);
    const sameDomain = this.pick(this.admitting(usable, route, sendingLevel, true));
    if (sameDomain && this.utilisation(sameDomain) < SPILLOVER_UTILISATION)
      return { kind: 'chosen', candidate: sameDomain.candidate };
    const otherDomain = this.pick(this.admitting(usable, route, sendingLevel, false));
    const chosen = this.preferSameDomain(sameDomain, otherDomain);
    return chosen ? { kind: 'chosen', candidate: chosen.candidate } : { kind: 'refused' };
  }

  /** What the choice of a candidate rests on, for the log. */
  knownOf(candidate: Candidate): { outstanding: number; utilisation: number; loadAgeMs: number } {
    const statistics = this.statisticsOf(candidate.address);
    const utilisation = Math.round(100 * statistics.utilisation(candidate.slots)) / 100;
    return {
      outstanding: statistics.outstanding,
      utilisation,
      loadAgeMs: Math.round(statistics.loadAgeMs()),
    };
  }

  /**
   * The level from which on calls to `route` are refused wherever they go just now; 0 if no upstream of the service is in contact, since
   * work that needs it would be done in vain.
   *
   * Only those count that were heard of last, since that is where the calls go. Nothing is heard of an upstream far away as long as a near one
   * is not busy; taken for open, it would hide that the way on from the near one is closed.
   */
  levelFor(service: string, route: string): number {
    const reachable = this.subset(service).all.filter(
      ({ candidate }) => this.reachabilityOf(candidate) !== 'lost',
    );
    const receivedAt = ({ statistics }: MeasuredCandidate) => statistics.levelReceivedAt(route);
    const latest = reachable.reduce(
      (time, known) => Math.max(time, receivedAt(known)),
      Number.NEGATIVE_INFINITY,
    );
    return reachable
      .filter(known => receivedAt(known) >= latest - RECENTLY_REPORTED_MS)
      .reduce((highest, { statistics }) => Math.max(highest, statistics.admissionLevelFor(route)), 0);
  }

  /** A call to the candidate starts; call the result when it has ended. */
  started(address: string): (result: CallResult) => void {
    const statistics = this.statisticsOf(address);
    const start = statistics.callStarted();
    return result => statistics.callEnded(result, start);
  }

  /** The candidate told its load. */
  heard(address: string, route: string, load: Load): void {
    this.statisticsOf(address).recordLoad(route, load);
  }

  /** Drops the measurements of a candidate that is gone for good. */
  forget(address: string): void {
    this.statistics.delete(address);
    this.subsets.clear();
  }

  /** Measurements by candidate, for a dump. */
  dump(): object {
    return Object.fromEntries(
      [...this.statistics].map(([address, s]) => [
        address,
        { outstanding: s.outstanding, latencyMs: s.latencyMs, samples: s.samples, avoided: s.isBackedOff },
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

  /** Those in the own failure domain, or those outside it, that admit the call as far as is known. */
  private admitting(
    known: readonly MeasuredCandidate[],
    route: string,
    level: number,
    isSameDomain: boolean,
  ): MeasuredCandidate[] {
    const { failureDomain } = this.options;
    return known.filter(
      ({ candidate, statistics }) =>
        (candidate.failureDomain === failureDomain) === isSameDomain &&
        statistics.admissionLevelFor(route) > level,
    );
  }

  /** Two at random, the less busy of them (Mitzenmacher 2001). */
  private pick(known: readonly MeasuredCandidate[]): MeasuredCandidate | undefined {
    if (known.length < 2) return known[0];
    const first = known[Math.floor(this.options.random() * known.length)];
    const second = known[Math.floor(this.options.random() * known.length)];
    return this.lessBusy(first, second);
  }

  private reachabilityOf(candidate: Candidate): 'good' | 'silent' | 'lost' {
    return this.options.contactOf?.(candidate) ?? 'good';
  }

  /** Leaves out those that are out of contact, and unless all are, those that are silent or were just out of reach. */
  private reachable(known: readonly MeasuredCandidate[]): readonly MeasuredCandidate[] {
    const isHealthy = ({ candidate, statistics }: MeasuredCandidate) =>
      !statistics.isBackedOff && this.reachabilityOf(candidate) === 'good';
    const healthy = known.filter(isHealthy);
    if (healthy.length > 0) return healthy;
    return known.filter(({ candidate }) => this.reachabilityOf(candidate) !== 'lost');
  }

  /**
   * Leaves out those far slower than the median of all, near and otherDomain, but for a trickle of the lower classes that
   * finds out when they are well again. Whatever is as fast as the median stays, so that the larger half always does.
   */
  private withoutOutliers(
    known: readonly MeasuredCandidate[],
    subset: Subset,
    level: number,
  ): readonly MeasuredCandidate[] {
    const isProbe = level >= 1 && this.options.random() < OUTLIER_PROBE_RATIO;
    if (known.length < 3 || isProbe) return known;
    const bound = this.outlierBound(known, subset);
    return known.filter(
      ({ statistics }) => statistics.samples < OUTLIER_MIN_SAMPLES || statistics.slownessMs() <= bound,
    );
  }

  /** Worked out anew after some choices or some ms, so that not each choice sorts all candidates. */
  private outlierBound(known: readonly MeasuredCandidate[], subset: Subset): number {
    const now = this.options.clock.now();
    const { outlierBound } = subset;
    if (outlierBound.choicesLeft-- > 0 && now - outlierBound.at < OUTLIER_BOUND_TTL_MS)
      return outlierBound.ms;
    const measured = known.filter(({ statistics }) => statistics.samples >= OUTLIER_MIN_SAMPLES);
    const latencies = measured.map(({ statistics }) => statistics.slownessMs()).sort((a, b) => a - b);
    const median = latencies[Math.floor((latencies.length - 1) / 2)];
    const ms = median === undefined ? Number.POSITIVE_INFINITY : median * OUTLIER_FACTOR;
    subset.outlierBound = { ms, at: now, choicesLeft: OUTLIER_BOUND_MAX_CHOICES };
    return ms;
  }

  private lessBusy(
    a: MeasuredCandidate | undefined,
    b: MeasuredCandidate | undefined,
  ): MeasuredCandidate | undefined {
    if (!a || !b || a === b) return a ?? b;
    return this.utilisation(b) < this.utilisation(a) ? b : a;
  }

  /** Where all are busy, a call that goes far costs bytes between failure domains and gains no room. */
  private preferSameDomain(
    sameDomain: MeasuredCandidate | undefined,
    otherDomain: MeasuredCandidate | undefined,
  ): MeasuredCandidate | undefined {
    if (!sameDomain || !otherDomain) return sameDomain ?? otherDomain;
    return this.utilisation(otherDomain) + OTHER_DOMAIN_MARGIN < this.utilisation(sameDomain)
      ? otherDomain
      : sameDomain;
  }

  private utilisation({ candidate, statistics }: MeasuredCandidate): number {
    return statistics.utilisation(candidate.slots);
  }

  /** By rendezvous hashing, so that it moves little when candidates come and go. */
  private subset(service: string): Subset {
    const { directory, failureDomain } = this.options;
    const version = directory.version(service);
    const known = this.subsets.get(service);
    if (known?.version === version) return known;
    const all = directory.of(service);
    const sameDomain = this.ranked(all.filter(c => c.failureDomain === failureDomain)).slice(
      0,
      SAME_DOMAIN_SUBSET_SIZE,
    );
    const otherDomain = this.ranked(all.filter(c => c.failureDomain !== failureDomain)).slice(
      0,
      OTHER_DOMAIN_SUBSET_SIZE,
    );
    const outlierBound = { ms: Number.POSITIVE_INFINITY, at: Number.NEGATIVE_INFINITY, choicesLeft: 0 };
    const subset = { version, all: [...sameDomain, ...otherDomain], outlierBound };
    this.subsets.set(service, subset);
    return subset;
  }

  private ranked(candidates: Candidate[]): MeasuredCandidate[] {
    return candidates
      .map(candidate => ({ candidate, weight: crc32(`${this.options.self} ${candidate.address}`) }))
      .sort((a, b) => a.weight - b.weight)
      .map(({ candidate }) => ({ candidate, statistics: this.statisticsOf(candidate.address) }));
  }
}
