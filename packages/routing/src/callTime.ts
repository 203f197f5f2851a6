/** The expected time of a call at a candidate, and the choice among candidates of one failure domain by it. */
import { type Clock, type Random } from '@cleatquay/clock';
import { type MeasuredCandidate } from './candidateSubset.js';
import { type PeerStatistics } from './peerStatistics.js';

/** Expected time of a call to a route of which no call has ended yet, ms. */
const INITIAL_CALL_MS = 20;
/** Bounds the memory if routes are renamed often. */
const MAX_ROUTES = 256;
/** Weight of a call in the mean time of its route. */
const ROUTE_WEIGHT = 0.02;
/** Number of candidates that are compared for a call. With more, the calls of all daemons go to the same candidate. */
const SAMPLE_SIZE = 4;

/**
 * The approximation of the wait holds up to this utilisation, beyond which it has a pole. Nearer to the pole, small errors of the estimated
 * number of calls would change the wait so much that slow upstreams were preferred.
 */
const MAX_UTILISATION = 0.9;

/**
 * Weight of the wait beyond that utilisation. Above 1, since a queued call also delays those that come later, and is refused if the queue is
 * too long, while slower upstreams have free slots.
 */
const QUEUE_WEIGHT = 8;

/** The figures behind the expected time of a call. */
export interface CallTimeSummary {
  readonly expectedMs: number;
  /** As reported, percent of the usual; 0 if it is not reported. */
  readonly workTimePercent: number;
  readonly workTimeAgeMs: number;
}

/** Expected times of calls, by the measurements of one daemon. */
export class CallTimes {
  /** Mean time of the calls to each route over all candidates, ms. */
  private readonly routeMeans = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /**
   * Expected time of a call to `route` at the candidate, ms, from its start to its response: by the measured speed of the candidate, by how
   * slow it is at this moment, and by the work in front of the call. Defined for candidates that report no load, too, and for those without
   * measurements, which count as average.
   */
  expectedMs(measured: MeasuredCandidate, route: string): number {
    return this.atSpeed(measured, route, measured.statistics.speed.ratio);
  }

  /** The same by measurements alone; undefined if no call to the candidate has ended. */
  measuredMs(measured: MeasuredCandidate, route: string): number | undefined {
    const { measuredRatio } = measured.statistics.speed;
    return measuredRatio === undefined ? undefined : this.atSpeed(measured, route, measuredRatio);
  }

  private atSpeed({ candidate, statistics }: MeasuredCandidate, route: string, ratio: number): number {
    const { speed, work } = statistics;
    const mean = this.routeMeans.get(route) ?? INITIAL_CALL_MS;
    const workTime = 1 + speed.trust * (work.relativeWorkTime(speed.usualWorkTime) - 1);
    const serviceMs = Math.max(mean * ratio * workTime, statistics.outstandingAgeMs());
    return (
      serviceMs *
      (1 + relativeWait(work.expectedCalls(statistics.outstanding) + 1, work.slots(candidate.slots)))
    );
  }

  /** The figures behind an expected time, if the candidate reports its load. */
  summary(measured: MeasuredCandidate, route: string): CallTimeSummary | undefined {
    const { upstream } = measured.statistics.work;
    if (!upstream) return undefined;
    return {
      expectedMs: Math.round(this.expectedMs(measured, route)),
      workTimePercent: upstream.workTimePercent,
      workTimeAgeMs: Math.round(measured.statistics.work.ageMs()),
    };
  }

  /** The candidate with the shortest expected time among a few random ones. */
  choose(
    candidates: readonly MeasuredCandidate[],
    route: string,
    random: Random,
  ): MeasuredCandidate | undefined {
    let best: MeasuredCandidate | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const measured of sample(candidates, SAMPLE_SIZE, random)) {
      const ms = this.expectedMs(measured, route);
      if (best && ms >= bestMs) continue;
      best = measured;
      bestMs = ms;
    }
    return best;
  }

  /** Starts the measurement of a call; the returned function is called when the call has been answered. */
  callStarted({ speed, work }: PeerStatistics, route: string): () => void {
    const startedAt = this.clock.now();
    const relativeWorkTime = work.relativeWorkTime(speed.usualWorkTime);
    return () => {
      const ms = this.clock.now() - startedAt;
      const mean = this.routeMeans.get(route) ?? ms;
      if (this.routeMeans.has(route) || this.routeMeans.size < MAX_ROUTES)
        this.routeMeans.set(route, mean + (ms - mean) * ROUTE_WEIGHT);
      if (mean > 0) speed.record(ms / mean, relativeWorkTime);
    };
  }
}

/** Whether any of the candidates reports its work time. Otherwise the choice does not depend on expected times. */
export function isAnyReporting(candidates: readonly MeasuredCandidate[]): boolean {
  return candidates.some(({ statistics }) => statistics.reportsWorkTime);
}

/**
 * Expected wait in front of a call relative to the time that a call takes, with `calls` at the candidate including this one.
 *
 * By the approximation of Sakasegawa (1977) for several servers, since the number of calls at the candidate is only an estimate: the wait
 * rises steeply before all slots are in use. Beyond that, it grows with each further call.
 */
function relativeWait(calls: number, slots: number): number {
  const utilisation = Math.min(MAX_UTILISATION, calls / slots);
  const wait = utilisation ** (Math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - utilisation));
  return wait + QUEUE_WEIGHT * Math.max(0, calls / slots - MAX_UTILISATION);
}

/** A few different elements in random order. */
function sample<T>(list: readonly T[], size: number, random: Random): T[] {
  const remaining = [...list];
  const count = Math.min(size, remaining.length);
  for (let i = 0; i < count; i++) {
    const j = i + Math.floor(random() * (remaining.length - i));
    const chosen = remaining[j];
    const other = remaining[i];
    if (chosen === undefined || other === undefined) continue;
    remaining[j] = other;
    remaining[i] = chosen;
  }
  return remaining.slice(0, count);
}
