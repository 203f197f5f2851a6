/**
 * The order in which the calls of one service get retries while these are scarce, as numbered positions: calls at the same position are alike.
 * Calls are grouped by class, and by how much of their chain is done.
 */

/**
 * Late calls belong to chains of which a good part is done: a retry for one of them completes a chain several times as often as one for a first
 * call, after which most of the chain is still to come.
 */
export type CallGroup = 'late-top' | 'early-top' | 'late-lower' | 'early-lower';

/** In the order of their positions. */
const GROUPS: readonly CallGroup[] = ['late-top', 'early-top', 'late-lower', 'early-lower'];
/** Positions of each lower class. */
const POSITIONS_PER_CLASS = 16;
/** The top class may need several times the budget, so that few of its chains can be completed. */
const TOP_CLASS_POSITIONS = 64;
/** Enough for 256 lower classes. */
const POSITIONS_PER_GROUP = 4096;
/** Calls at risk from which on a call is late. The chains of the top class are longer; one of its calls counts as one more at risk. */
const LATE_TOP_CALLS = 4;
const LATE_LOWER_CALLS = 2;

/** The place of a call among those that need retries. */
export interface RetryPlace {
  /** Lowest first; the integer part is its class. */
  readonly order: number;
  /** Calls made earlier for the same request, whose work is lost if this call fails. */
  readonly callsBefore: number;
}

/** Whether a good part of the call's chain is done. */
export function isLateCall({ order, callsBefore }: RetryPlace): boolean {
  return callsBefore >= (order < 1 ? LATE_TOP_CALLS : LATE_LOWER_CALLS);
}

/** The position of a call: by its group, and within that by its order. */
export function positionOf(place: RetryPlace): number {
  const { order } = place;
  const isTop = order < 1;
  const { first, last } = rangeOf(`${isLateCall(place) ? 'late' : 'early'}-${isTop ? 'top' : 'lower'}`);
  const withinGroup = isTop ? order * TOP_CLASS_POSITIONS : (order - 1) * POSITIONS_PER_CLASS;
  return Math.min(first + Math.floor(withinGroup), last);
}

/** The first and the last position of a group. */
export function rangeOf(group: CallGroup): { readonly first: number; readonly last: number } {
  const first = GROUPS.indexOf(group) * POSITIONS_PER_GROUP;
  return { first, last: first + POSITIONS_PER_GROUP - 1 };
}

/** The first position of the lower classes. */
export const FIRST_LOWER = rangeOf('late-lower').first;
