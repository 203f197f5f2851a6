/** The choice itself: near before far, idle before busy, and never one that would refuse. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type Load } from '@cleatquay/protocol';
import { crc32 } from 'node:zlib';
import { type Candidate, type Directory } from './directory.js';
import { type CallResult, PeerStatistics } from './peerStatistics.js';

const NEAR_SUBSET = 12;
const FAR_SUBSET = 6;
const SPILL_AT = 0.9;
const GRAY_FACTOR = 3;
const GRAY_SAMPLES = 5;
const GRAY_TRICKLE = 0.05;

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

interface Subset {
  readonly version: number;
  readonly near: Candidate[];
  readonly far: Candidate[];
}

/** Chooses among a bounded subset of each service's upstreams. */
export class Router {
  private readonly statistics = new Map<string, PeerStatistics>();
  private readonly subsets = new Map<string, Subset>();

  constructor(private readonly options: RouterOptions) {}

  /** Chooses for a call to `route` at `level`, not among `tried`. */
  choose(service: string, route: string, level: number, tried: ReadonlySet<string>): Selection {
    const subset = this.subset(service);
    if (subset.near.length + subset.far.length === 0) return { kind: 'none' };
    const untried = [...subset.near, ...subset.far].filter(candidate => !tried.has(candidate.address));
    if (untried.length === 0) return { kind: 'none' };
    const usable = this.withoutGray(this.reachable(untried), level);
    const near = usable.filter(candidate => candidate.failureDomain === this.options.failureDomain);
    const far = usable.filter(candidate => candidate.failureDomain !== this.options.failureDomain);
    const admits = (c: Candidate) => this.statisticsOf(c.address).levelFor(route) > level;
    const best = this.pick(near.filter(admits));
    if (best && this.utilisation(best) < SPILL_AT) return { kind: 'chosen', candidate: best };
    const further = this.pick(far.filter(admits));
    const candidate = this.lessBusy(best, further);
    return candidate ? { kind: 'chosen', candidate } : { kind: 'refused' };
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
   * The level from which on every upstream of the service refuses calls to `route`; 0 if none is in contact, since work
   * that needs it would be done in vain.
   */
  levelFor(service: string, route: string): number {
    const { near, far } = this.subset(service);
    const levels = this.inContact([...near, ...far]).map(c => this.statisticsOf(c.address).levelFor(route));
    return Math.max(0, ...levels);
  }

  /** A call to the candidate starts; call the result when it has ended. */
  started(address: string): (result: CallResult) => void {
    const statistics = this.statisticsOf(address);
    const start = statistics.started();
    return result => statistics.ended(result, start);
  }

  /** The candidate told its load. */
  heard(address: string, route: string, load: Load): void {
    this.statisticsOf(address).heard(route, load);
  }

  /** Drops the measurements of a candidate that is gone for good. */
  forget(address: string): void {
    this.statistics.delete(address);
  }

  /** Measurements by candidate, for a dump. */
  dump(): object {
    return Object.fromEntries(
      [...this.statistics].map(([address, s]) => [
        address,
        { outstanding: s.outstanding, latencyMs: s.latencyMs, samples: s.samples, avoided: s.isAvoided },
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

  /** Two at random, the less busy of them (Mitzenmacher 2001). */
  private pick(candidates: Candidate[]): Candidate | undefined {
    const first = candidates[Math.floor(this.options.random() * candidates.length)];
    const second = candidates[Math.floor(this.options.random() * candidates.length)];
    return this.lessBusy(first, second);
  }

  private inContact(candidates: Candidate[]): Candidate[] {
    const { contactOf = () => 'good' } = this.options;
    return candidates.filter(candidate => contactOf(candidate) !== 'lost');
  }

  /** Leaves out those that are out of contact, and unless all are, those that are silent or were just out of reach. */
  private reachable(candidates: Candidate[]): Candidate[] {
    const { contactOf = () => 'good' } = this.options;
    const inContact = this.inContact(candidates);
    const reachable = inContact.filter(
      c => contactOf(c) === 'good' && !this.statisticsOf(c.address).isAvoided,
    );
    return reachable.length > 0 ? reachable : inContact;
  }

  /**
   * Leaves out those far slower than the median of all, near and far, but for a trickle of the lower classes that
   * finds out when they are well again. Whatever is as fast as the median stays, so that the larger half always does.
   */
  private withoutGray(candidates: Candidate[], level: number): Candidate[] {
    const isTrickle = level >= 1 && this.options.random() < GRAY_TRICKLE;
    if (candidates.length < 3 || isTrickle) return candidates;
    const measured = candidates.map(c => this.statisticsOf(c.address)).filter(s => s.samples >= GRAY_SAMPLES);
    const latencies = measured.map(s => s.slownessMs()).sort((a, b) => a - b);
    const median = latencies[Math.floor((latencies.length - 1) / 2)];
    if (median === undefined) return candidates;
    const bound = median * GRAY_FACTOR;
    return candidates.filter(c => {
      const statistics = this.statisticsOf(c.address);
      return statistics.samples < GRAY_SAMPLES || statistics.slownessMs() <= bound;
    });
  }

  private lessBusy(a: Candidate | undefined, b: Candidate | undefined): Candidate | undefined {
    if (!a || !b) return a ?? b;
    return this.utilisation(b) < this.utilisation(a) ? b : a;
  }

  private utilisation(candidate: Candidate): number {
    return this.statisticsOf(candidate.address).utilisation(candidate.slots);
  }

  /** By rendezvous hashing, so that it moves little when candidates come and go. */
  private subset(service: string): Subset {
    const { directory, failureDomain } = this.options;
    const version = directory.version(service);
    const known = this.subsets.get(service);
    if (known?.version === version) return known;
    const all = directory.of(service);
    const near = this.ranked(all.filter(c => c.failureDomain === failureDomain)).slice(0, NEAR_SUBSET);
    const far = this.ranked(all.filter(c => c.failureDomain !== failureDomain)).slice(0, FAR_SUBSET);
    const subset = { version, near, far };
    this.subsets.set(service, subset);
    return subset;
  }

  private ranked(candidates: Candidate[]): Candidate[] {
    const weight = (c: Candidate) => crc32(`${this.options.self} ${c.address}`);
    return candidates.sort((a, b) => weight(a) - weight(b));
  }
}
