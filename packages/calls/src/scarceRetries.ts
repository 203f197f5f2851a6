/**
 * Allocates the retries of one service after refusals by its upstreams, while more are needed than the budget has. A chain of calls
 * succeeds only if every call does, so that retries which are spread evenly complete hardly any chain.
 */
import { type Clock } from '@cleatquay/clock';
import {
  type CallGroup,
  FIRST_LOWER,
  type RetryPlace,
  isLateCall,
  positionOf,
  rangeOf,
} from './retryPositions.js';

/** Time constant of the measured demand: long enough for some requests of the top class at each daemon. */
const DEMAND_TIME_CONSTANT_MS = 500;
/**
 * Ratio of the budget that lower classes may use even if the top class needs all of it, so that no class is starved of retries for as long
 * as a service sheds.
 */
const LOWER_CLASSES_RATIO = 0.12;
/**
 * Ratio of the budget that lower classes may use at most while the top class needs any retries: its demand is measured by few calls at each
 * daemon, and what lower classes use while it seems small is missing later.
 */
const MAX_LOWER_CLASSES_RATIO = 0.6;
/** Ratio of the budget after which lower classes get none: the few calls of the top class at each daemon come unevenly. */
const LOWER_CLASSES_USABLE_RATIO = 0.85;
/**
 * Part of a window for which the demand of the first chains of the top class is reserved when the others request retries. Where the top class
 * needs far more than there is, some of its chains are then completed; a longer time would leave retries unused when a service recovers sooner.
 */
const TOP_CLASS_HORIZON = 0.25;
/** The same while the top class needs more than there are: its late calls and those of lower classes use what would be left unused. */
const SHORT_HORIZON = 0.07;

/**
 * Lower classes may use this many times their part of a window in one bucket. When a service begins to shed, they would use up what the
 * top class will need before its demand shows, and what later windows do not allow since fewer requests are made.
 */
const MAX_CONCENTRATION = 1.5;

/**
 * While the top class needs more retries than there are: ratio of the budget for late calls of lower classes. Their chains are shorter, and
 * a retry completes more of them.
 */
const LATE_LOWER_RATIO = 0.85;
/** As `MAX_CONCENTRATION`, for these calls. */
const MAX_LATE_CONCENTRATION = 3;

/** Retries granted in one bucket of the window, by position. */
export type GrantsByPosition = Map<number, number>;

interface Demand {
  value: number;
  at: number;
}

/** The use of the budget when a retry is requested. */
export interface BudgetUse {
  /** Retries in the window, of all kinds. */
  readonly used: number;
  /** Retries that the window allows. */
  readonly allowed: number;
  /** Retries that a window allows at the present rate of requests. */
  readonly usable: number;
  /** Those granted in the window after refusals by upstreams. */
  readonly granted: readonly GrantsByPosition[];
  /** Those granted in the current bucket, which is this part of a window. */
  readonly latest: GrantsByPosition;
  readonly latestPart: number;
}

/** Measures the demand for retries by position in the order of calls, and decides which are granted. */
export class ScarceRetries {
  private readonly demand = new Map<number, Demand>();

  constructor(
    private readonly clock: Clock,
    private readonly windowMs: number,
  ) {}

  /** Counts a requested retry, whether it is granted or not. */
  countDemand(place: RetryPlace): void {
    const position = positionOf(place);
    const value = this.demandAt(position) + 1;
    this.demand.set(position, { value, at: this.clock.now() });
  }

  /** Whether the retry of a call is granted. */
  isGranted(place: RetryPlace, use: BudgetUse): boolean {
    const { used, allowed, usable } = use;
    if (used + 1 > allowed) return false;
    const position = positionOf(place);
    const isTop = place.order < 1;
    const isTopShort = this.needed(0, FIRST_LOWER) > usable;
    if (!isTopShort) return isTop ? this.isGrantedToTop(position, use) : this.isGrantedToLower(position, use);
    const isLate = isLateCall(place);
    if (!isLate && used + this.lateNeed + 1 > allowed) return false;
    if (isTop) return this.isGrantedToShortTop(position, use);
    return isLate ? isGrantedToLateLower(use) : this.isGrantedToLower(position, use);
  }

  /** Whether more retries are needed at present than `perMs`. */
  isDemandAbove(perMs: number): boolean {
    let needed = 0;
    for (const position of this.demand.keys()) needed += this.demandAt(position);
    return needed > perMs * DEMAND_TIME_CONSTANT_MS;
  }

  /** Whether the top class gets one after what its first chains need in a part of a window. */
  private isGrantedToTop(position: number, { used, allowed }: BudgetUse): boolean {
    return used + this.needed(0, position) * TOP_CLASS_HORIZON + 1 <= allowed;
  }

  /** The same while it needs more than there are: late calls of lower classes have a part of them. */
  private isGrantedToShortTop(position: number, { used, allowed }: BudgetUse): boolean {
    const lateLower = Math.min(this.neededIn('late-lower'), allowed * LATE_LOWER_RATIO);
    return used + (this.needed(0, position) + lateLower) * SHORT_HORIZON + 1 <= allowed;
  }

  /** Whether lower classes get one of those that the top class does not need. */
  private isGrantedToLower(position: number, use: BudgetUse): boolean {
    const { used, granted, latest, latestPart } = use;
    const allowed = use.allowed * LOWER_CLASSES_USABLE_RATIO;
    if (used + 1 > allowed) return false;
    const grantedAt = sumByPosition(granted);
    const topClass = this.expected(grantedAt, 0, FIRST_LOWER);
    const maxLower = topClass > 0 ? allowed * MAX_LOWER_CLASSES_RATIO : allowed;
    const available = Math.max(Math.min(allowed - topClass, maxLower), allowed * LOWER_CLASSES_RATIO);
    const isSpreadOut =
      sumFrom(latest, FIRST_LOWER, position) + 1 <= available * latestPart * MAX_CONCENTRATION;
    const before = this.expected(grantedAt, FIRST_LOWER, position);
    return isSpreadOut && before + sumFrom(grantedAt, position) + 1 <= available;
  }

  /** Retries that late calls need in a window. */
  private get lateNeed(): number {
    return this.neededIn('late-top') + this.neededIn('late-lower');
  }

  private neededIn(group: CallGroup): number {
    const { first, last } = rangeOf(group);
    return this.needed(first, last + 1);
  }

  /** Retries that calls at the positions from `first` to below `end` have used in the window, or need in one, whichever is more. */
  private expected(grantedAt: GrantsByPosition, first: number, end: number): number {
    let used = 0;
    for (const [position, count] of grantedAt) if (position >= first && position < end) used += count;
    return Math.max(used, this.needed(first, end));
  }

  /** Retries that these calls need in a window, by their present demand. */
  private needed(first: number, end: number): number {
    let needed = 0;
    for (const position of this.demand.keys())
      if (position >= first && position < end) needed += this.demandAt(position);
    return (needed / DEMAND_TIME_CONSTANT_MS) * this.windowMs;
  }

  private demandAt(position: number): number {
    const demand = this.demand.get(position);
    if (!demand) return 0;
    return demand.value * Math.exp((demand.at - this.clock.now()) / DEMAND_TIME_CONSTANT_MS);
  }
}

/** Whether late calls of lower classes get one of those that are left to them while the top class needs more than there are. */
function isGrantedToLateLower({ allowed, granted, latest, latestPart }: BudgetUse): boolean {
  const available = allowed * LATE_LOWER_RATIO;
  const { first, last } = rangeOf('late-lower');
  const isSpreadOut = sumFrom(latest, first, last) + 1 <= available * latestPart * MAX_LATE_CONCENTRATION;
  return isSpreadOut && sumFrom(sumByPosition(granted), first, last) + 1 <= available;
}

function sumFrom(grants: GrantsByPosition, first: number, last = Number.POSITIVE_INFINITY): number {
  let sum = 0;
  for (const [position, count] of grants) if (position >= first && position <= last) sum += count;
  return sum;
}

function sumByPosition(granted: readonly GrantsByPosition[]): GrantsByPosition {
  const sum: GrantsByPosition = new Map();
  for (const grants of granted)
    for (const [position, count] of grants) sum.set(position, (sum.get(position) ?? 0) + count);
  return sum;
}
