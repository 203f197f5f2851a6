/**
 * Decides which calls cross to another failure domain. Where upstreams report their load, the share of the calls that cross follows the expected
 * time of a call at home and there, and the room there; docs/design/failure-domains.md has the reasons. Otherwise calls cross when home is full. Home is the failure domain of this daemon.
 */
import { type Clock, type Random } from '@cleatquay/clock';
import { type MeasuredCandidate } from './candidateSubset.js';
import { DomainView, clamp } from './domainView.js';

/** Without reports: from this utilisation on, upstreams in other failure domains are considered. */
const SPILLOVER_UTILISATION = 0.9;
/**
 * Without reports: an upstream in another failure domain must have a utilisation lower by this to be preferred to a full one in the same
 * domain, since the reported utilisation may be 0.2 s old.
 */
const OTHER_DOMAIN_MARGIN = 0.25;

/** Time that a call loses by crossing, ms: 0.9 ms each way. */
const CROSSING_MS = 1.8;
/** Smallest gain that is worth a crossing, ms: traffic between failure domains is charged. */
const MIN_GAIN_MS = 5;
/**
 * Gain relative to the expected time at home: from the first on calls cross, from the second on as many as there is room for. The first is
 * larger than the differences between measured times of equal upstreams.
 */
const MIN_GAIN = 0.25;
const FULL_GAIN = 0.5;
/** Utilisation at home from which calls cross to equally fast upstreams, and to slower ones. */
const BUSY_UTILISATION = 0.8;
const BUSY_UTILISATION_IF_SLOWER = 0.9;
const BUSY_RANGE = 0.2;
/** The other failure domain must be less utilised by the first for calls to cross, and by the sum of both for the full ratio. */
const MIN_DIFFERENCE = 0.1;
const DIFFERENCE_RANGE = 0.3;
/** A failure domain is sent nothing from this predicted utilisation on: the rest is for its own demand. */
const MAX_REMOTE_UTILISATION = 0.95;
const ROOM_RANGE = 0.25;
/** Smaller targets start no crossing, so that a short difference opens no connections. */
const MIN_STARTING_TARGET = 0.08;
/** Some calls always stay, so that the figures of home are current. */
const MAX_TOTAL_RATIO = 0.9;

const REFRESH_INTERVAL_MS = 50;
/** Probes are the only source of reports where nothing crosses; more often while there may be something to gain. */
const PROBE_INTERVAL_MS = 500;
const IDLE_PROBE_INTERVAL_MS = 3000;
const MIN_CALLS_PER_PROBE = 10;
const MIN_CALLS_PER_IDLE_PROBE = 50;
/** Where calls don't take longer, probing starts before home is busy, so that there are reports when calls begin to cross. */
const PROBE_LEAD = 0.1;

/** Why a call crosses: no upstream at home accepts it, they are busy, those there are faster, or to learn about them. */
export type CrossingReason = 'none at home' | 'home busy' | 'faster there' | 'probe';

/** The chosen candidate, and why it is in another failure domain if it is. */
export interface Choice {
  readonly candidate: MeasuredCandidate;
  readonly crossing?: CrossingReason;
}

/** Settings and dependencies. */
export interface SpilloverOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** The failure domain of this daemon. */
  readonly failureDomain: string;
  /** Chooses among candidates of one failure domain. */
  readonly pick: (candidates: readonly MeasuredCandidate[], route: string) => MeasuredCandidate | undefined;
  /** Expected time of a call to the route at the candidate, ms; undefined if nothing is known. */
  readonly expectedTimeMs: (candidate: MeasuredCandidate, route: string) => number | undefined;
}

/** What is known of a service. */
interface ServiceView {
  readonly home: DomainView;
  others: Map<string, DomainView>;
  refreshedAt: number;
  callsSinceProbe: number;
}

/** The choice between failure domains, for all services. */
export class Spillover {
  /** Calls that crossed, by the failure domain that got them. */
  readonly crossedCalls = new Map<string, number>();
  private readonly services = new Map<string, ServiceView>();

  constructor(private readonly options: SpilloverOptions) {}

  /** Whether calls to the service are balanced between failure domains. */
  isBalanced(service: string): boolean {
    return this.services.has(service);
  }

  /** Chooses one of the candidates that `accepts` the call; undefined if none does. `usable` includes those that don't. */
  choose(
    service: string,
    route: string,
    usable: readonly MeasuredCandidate[],
    accepts: (candidate: MeasuredCandidate) => boolean,
  ): Choice | undefined {
    const { failureDomain } = this.options;
    const pick = (candidates: readonly MeasuredCandidate[]) => this.options.pick(candidates, route);
    const isHome = ({ candidate }: MeasuredCandidate) => candidate.failureDomain === failureDomain;
    const home = pick(usable.filter(c => isHome(c) && accepts(c)));
    const hasReports = usable.some(c => isHome(c) && c.statistics.reportsWorkTime);
    const others = () => usable.filter(c => !isHome(c) && accepts(c));
    const choice =
      home && hasReports
        ? this.balance(service, route, usable, home, others)
        : this.byUtilisation(route, home, others);
    if (choice?.crossing) {
      const { failureDomain: to } = choice.candidate.candidate;
      this.crossedCalls.set(to, (this.crossedCalls.get(to) ?? 0) + 1);
    }
    return choice;
  }

  /** When all are highly utilised, calls to another failure domain cost traffic between domains and gain no capacity. */
  private byUtilisation(
    route: string,
    home: MeasuredCandidate | undefined,
    others: () => readonly MeasuredCandidate[],
  ): Choice | undefined {
    if (home && utilisation(home) < SPILLOVER_UTILISATION) return { candidate: home };
    const other = this.options.pick(others(), route);
    if (!home) return other && { candidate: other, crossing: 'none at home' };
    const isPreferred = other && utilisation(other) + OTHER_DOMAIN_MARGIN < utilisation(home);
    return isPreferred ? { candidate: other, crossing: 'home busy' } : { candidate: home };
  }

  /** Draws by the ratios, and checks the drawn candidate against that at home. */
  private balance(
    service: string,
    route: string,
    usable: readonly MeasuredCandidate[],
    home: MeasuredCandidate,
    others: () => readonly MeasuredCandidate[],
  ): Choice {
    const now = this.options.clock.now();
    const view = this.refreshed(service, route, usable, now);
    view.callsSinceProbe++;
    const drawn = this.draw(view);
    const probed = drawn ? undefined : domainToProbe(view, now);
    const to = drawn ?? probed;
    const other =
      to &&
      this.options.pick(
        others().filter(c => c.candidate.failureDomain === to),
        route,
      );
    const destination = to === undefined ? undefined : view.others.get(to);
    if (!other || !destination) return { candidate: home };
    const crossing = probed === undefined ? this.reasonToCross(route, home, other) : 'probe';
    if (!crossing) return { candidate: home };
    if (crossing === 'probe') {
      view.callsSinceProbe = 0;
      destination.probedAt = now;
    }
    return { candidate: other, crossing };
  }

  private reasonToCross(
    route: string,
    home: MeasuredCandidate,
    other: MeasuredCandidate,
  ): CrossingReason | undefined {
    const { expectedTimeMs } = this.options;
    const [homeMs, otherMs] = [expectedTimeMs(home, route), expectedTimeMs(other, route)];
    if (homeMs !== undefined && otherMs !== undefined && otherMs + CROSSING_MS + MIN_GAIN_MS < homeMs)
      return 'faster there';
    return utilisation(other) + MIN_DIFFERENCE < utilisation(home) ? 'home busy' : undefined;
  }

  /** The failure domain that this call is drawn to cross to. */
  private draw({ others }: ServiceView): string | undefined {
    let left = this.options.random();
    for (const [name, { ratio }] of others) {
      left -= ratio;
      if (left < 0) return name;
    }
    return undefined;
  }

  /** The view of the service, brought up to date at most every 50 ms, since it takes reading all candidates. */
  private refreshed(
    service: string,
    route: string,
    usable: readonly MeasuredCandidate[],
    now: number,
  ): ServiceView {
    let view = this.services.get(service);
    if (!view) {
      const refreshedAt = Number.NEGATIVE_INFINITY;
      view = { home: new DomainView(), others: new Map(), refreshedAt, callsSinceProbe: 0 };
      this.services.set(service, view);
    }
    if (now - view.refreshedAt < REFRESH_INTERVAL_MS) return view;
    const { failureDomain } = this.options;
    const expectedTimeMs = (candidate: MeasuredCandidate) => this.options.expectedTimeMs(candidate, route);
    const byDomain = new Map<string, MeasuredCandidate[]>();
    for (const candidate of usable) {
      const group = byDomain.get(candidate.candidate.failureDomain);
      if (group) group.push(candidate);
      else byDomain.set(candidate.candidate.failureDomain, [candidate]);
    }
    const { home } = view;
    home.measure(byDomain.get(failureDomain) ?? [], now, expectedTimeMs);
    byDomain.delete(failureDomain);
    const others = new Map<string, DomainView>();
    for (const [name, candidates] of byDomain) {
      const other = view.others.get(name) ?? new DomainView();
      other.measure(candidates, now, expectedTimeMs);
      others.set(name, other);
    }
    setRatios(home, [...others.values()], now);
    view.others = others;
    view.refreshedAt = now;
    return view;
  }
}

/** Sets the wanted and actual ratios of the other failure domains. */
function setRatios(home: DomainView, others: readonly DomainView[], now: number): void {
  for (const other of others) {
    other.wantedRatio = Math.max(ratioForGain(home, other), ratioForBusyHome(home, other));
    const room = clamp((MAX_REMOTE_UTILISATION - other.risingUtilisation) / ROOM_RANGE);
    const target = other.isCurrent(now) ? other.wantedRatio * room : 0;
    other.approach(other.ratio === 0 && target < MIN_STARTING_TARGET ? 0 : target, now);
  }
  const total = others.reduce((sum, { ratio }) => sum + ratio, 0);
  if (total > MAX_TOTAL_RATIO) for (const other of others) other.ratio *= MAX_TOTAL_RATIO / total;
}

function ratioForGain({ timeMs: homeMs }: DomainView, { timeMs: otherMs }: DomainView): number {
  if (homeMs === undefined || otherMs === undefined) return 0;
  const gainMs = homeMs - otherMs - CROSSING_MS;
  return gainMs < MIN_GAIN_MS ? 0 : clamp((gainMs / homeMs - MIN_GAIN) / (FULL_GAIN - MIN_GAIN));
}

function ratioForBusyHome(home: DomainView, other: DomainView): number {
  const difference = home.predictedUtilisation - other.risingUtilisation;
  const busy = clamp((home.predictedUtilisation - busyFrom(home, other)) / BUSY_RANGE);
  return busy * clamp((difference - MIN_DIFFERENCE) / DIFFERENCE_RANGE);
}

/** The utilisation from which home counts as busy: later if calls take longer there. */
function busyFrom(
  { timeMs: homeMs = Number.POSITIVE_INFINITY }: DomainView,
  { timeMs: otherMs = 0 }: DomainView,
) {
  return otherMs * (1 - MIN_GAIN) > homeMs ? BUSY_UTILISATION_IF_SLOWER : BUSY_UTILISATION;
}

/** The failure domain of which reports are missing, if it may be probed now. */
function domainToProbe({ home, others, callsSinceProbe }: ServiceView, now: number): string | undefined {
  for (const [name, other] of others) {
    const from = busyFrom(home, other);
    const isHomeBusy = home.predictedUtilisation > (from === BUSY_UTILISATION ? from - PROBE_LEAD : from);
    const mayGain = isHomeBusy || other.wantedRatio > 0 || other.timeMs === undefined;
    const isDue = callsSinceProbe >= (mayGain ? MIN_CALLS_PER_PROBE : MIN_CALLS_PER_IDLE_PROBE);
    const intervalMs = mayGain ? PROBE_INTERVAL_MS : IDLE_PROBE_INTERVAL_MS;
    if (isDue && now - other.lastHeardOrProbedAt >= intervalMs) return name;
  }
  return undefined;
}

function utilisation({ candidate, statistics }: MeasuredCandidate): number {
  return statistics.utilisation(candidate.slots);
}
