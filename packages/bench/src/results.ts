/** Results of an experiment: figures for each variant, and violated invariants. */
import { type Execution } from '@cleatquay/standins';
import { CLASSES, type ChainClass } from './chain.js';
import { type Sample } from './openLoopLoad.js';

/** Figures of one variant; those that an experiment doesn't measure are absent. Rates are in requests a second. */
export interface VariantResult {
  goodput: { total: number; byClass: Record<string, number> };
  offered: { total: number; byClass: Record<string, number> };
  /**
   * Ratio of answered requests by class, or by failure domain; in overload experiments, ratio of complete responses to the
   * requests that were due during the trigger.
   */
  answeredShare: Record<string, number>;
  /** Capacity of the bottleneck during the trigger. */
  capacity?: number;
  /** Total goodput relative to the capacity or the offered rate, whichever is lower. */
  goodputOverCapacity?: number;
  /** Seconds from the end of the trigger until the success ratio is normal and stays so; -1 if it never does. */
  recoverySeconds?: number;
  /** Highest number of executions under one request id, from the ledgers of the upstreams. */
  triesPerRequestMax: number;
  /** Ratio of the upstreams' work that was spent on requests that failed. */
  wastedWorkFraction?: number;
  /** Requests whose outcome was `not-run` although a ledger shows an execution. */
  notRunButRan: number;
  /** Requests that may run only once and took effect more than once. */
  doubleEffects: number;
  incompleteAnswers: number;
  /** Responses that belong to another request. */
  mismatchedAnswers: number;
  /** Ratio of requests with the outcome `unknown`. */
  unknownShare: number;
  /** Outcomes by class; in overload experiments, of the requests that were due during the trigger. */
  outcomes: Record<string, Record<string, number>>;
  /** Mean utilisation of the machine's processors; above 0.85 the machine, not the upstreams, limits the figures. */
  processorUse?: number;
  /** One-second intervals in which a class had a success ratio more than 0.1 below that of the next lower class. */
  inversions?: number;
  /** Reported by the daemons in their metrics. */
  invariantViolations?: number;
  /** Responses to requests for which no ledger shows an effect. */
  answeredWithoutEffect?: number;
  /** Number of injections, by fault. */
  faults?: Record<string, number>;
}

/** Printed by `bench run --json`. */
export interface ExperimentResult {
  experiment: string;
  seed: string;
  variants: Record<string, VariantResult>;
  violations: string[];
}

/** Start and end of the trigger, ms on the clock of the load. */
export interface Trigger {
  readonly from: number;
  readonly to: number;
}

const MUST_BE_ZERO = [
  'notRunButRan',
  'doubleEffects',
  'incompleteAnswers',
  'mismatchedAnswers',
  'answeredWithoutEffect',
  'invariantViolations',
] as const;
const RECOVERY_STEP_MS = 250;
const NORMAL_RATIO = 0.95;
const RECOVERY_WINDOW_MS = 1000;
const INVERSION_MARGIN = 0.1;

/** Rate of requests that were due between two times, by class; optionally only those with a complete response. */
export function requestRates(samples: readonly Sample[], from: number, to: number, completeOnly: boolean) {
  const seconds = (to - from) / 1000;
  const counted = samples.filter(s => s.at >= from && s.at < to && (!completeOnly || s.isComplete));
  const of = (name: ChainClass) => counted.filter(s => s.className === name).length / seconds;
  const byClass = Object.fromEntries(CLASSES.map(name => [name, of(name)]));
  return { total: counted.length / seconds, byClass };
}

/** Counts the outcomes of requests that were due between two times, by class. */
export function countOutcomes(
  samples: readonly Sample[],
  from: number,
  to: number,
): VariantResult['outcomes'] {
  const counted: VariantResult['outcomes'] = {};
  for (const { className, outcome, at } of samples) {
    if (at < from || at >= to) continue;
    const row = (counted[className] ??= {});
    row[outcome] = (row[outcome] ?? 0) + 1;
  }
  return counted;
}

/**
 * Seconds from the end of the trigger until the success ratio is normal over one second and over all of the remaining time;
 * -1 if it never is.
 */
export function recoverySeconds(samples: readonly Sample[], trigger: Trigger, end: number): number {
  const share = (from: number, to: number) => {
    const due = samples.filter(s => s.at >= from && s.at < to);
    return due.length === 0 ? 1 : due.filter(s => s.isComplete).length / due.length;
  };
  for (let at = trigger.to; at + RECOVERY_WINDOW_MS <= end; at += RECOVERY_STEP_MS) {
    if (share(at, at + RECOVERY_WINDOW_MS) >= NORMAL_RATIO && share(at, end) >= NORMAL_RATIO)
      return (at - trigger.to) / 1000;
  }
  return -1;
}

/** Counts one-second intervals in which a class had a success ratio more than `INVERSION_MARGIN` below that of the next lower class. */
export function countInversions(samples: readonly Sample[], trigger: Trigger): number {
  let count = 0;
  for (let at = trigger.from; at < trigger.to; at += 1000) {
    const shares = CLASSES.map(name => {
      const due = samples.filter(s => s.className === name && s.at >= at && s.at < at + 1000);
      return due.length === 0 ? undefined : due.filter(s => s.isComplete).length / due.length;
    }).filter(share => share !== undefined);
    if (shares.some((share, i) => (shares[i + 1] ?? 0) > share + INVERSION_MARGIN)) count++;
  }
  return count;
}

/** Compares the outcomes that callers saw with the ledgers of the first service. */
export function compareWithLedger(samples: readonly Sample[], ledger: readonly Execution[]) {
  const ran = new Set(ledger.map(effect => effect.requestId));
  const completedByToken = new Map<string, number>();
  const attemptsById = new Map<string, number>();
  for (const { token, route, done, requestId } of ledger) {
    if (done && route.endsWith('.critical'))
      completedByToken.set(token, (completedByToken.get(token) ?? 0) + 1);
    attemptsById.set(requestId, (attemptsById.get(requestId) ?? 0) + 1);
  }
  return {
    notRunButRan: samples.flatMap(s => s.notRunIds).filter(id => id !== '' && ran.has(id)).length,
    doubleEffects: [...completedByToken.values()].filter(count => count > 1).length,
    incompleteAnswers: samples.filter(s => s.outcome === 'answered' && !s.isComplete).length,
    mismatchedAnswers: samples.filter(s => s.isMismatched).length,
    triesPerRequestMax: Math.max(0, ...attemptsById.values()),
    unknownShare: samples.filter(s => s.outcome === 'unknown').length / Math.max(1, samples.length),
  };
}

/** Violated invariants, as short sentences. */
export function findViolations(variant: string, result: VariantResult, maxAttempts: number): string[] {
  const found: string[] = [];
  for (const name of MUST_BE_ZERO) {
    const count = result[name] ?? 0;
    if (count > 0) found.push(`${variant}: ${name} is ${String(count)}.`);
  }
  if (result.triesPerRequestMax > maxAttempts)
    found.push(`${variant}: ${String(result.triesPerRequestMax)} attempts of one request.`);
  return found;
}
