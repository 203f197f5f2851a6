/** What an experiment gives: figures for each variant, and violated invariants. */
import { type Effect } from '@cleatquay/standins';
import { CLASSES, type ChainClass } from './chain.js';
import { type Sample } from './load.js';

/** Figures of one variant; what an experiment doesn't measure is absent. Rates are in requests a second. */
export interface VariantResult {
  goodput: { total: number; byClass: Record<string, number> };
  offered: { total: number; byClass: Record<string, number> };
  /** Share of each class that was answered whole, over the trigger. */
  answeredShare: Record<string, number>;
  capacity?: number;
  goodputOverCapacity?: number;
  /** From the end of the trigger until goodput is normal for good; -1 when it never was. */
  recoverySeconds?: number;
  /** Most runs of one client send at the first service, by its own ledger. */
  triesPerRequestMax: number;
  /** Share of the upstreams' work that went into requests that failed. */
  wastedWorkFraction?: number;
  notRunButRan: number;
  doubleEffects: number;
  incompleteAnswers: number;
  mismatchedAnswers: number;
  unknownShare: number;
  /** How requests that were due during the trigger ended, by class. */
  outcomes: Record<string, Record<string, number>>;
  /** Mean share of the machine's processors in use; above 0.85 the figures say little. */
  processorUse?: number;
  /** Seconds in which a class was refused while a less important one was answered at a higher share. */
  inversions?: number;
  /** Found by the daemons themselves. */
  invariantViolations?: number;
  /** Answers for which the ledgers show no effect. */
  answeredWithoutEffect?: number;
  /** How often each fault was caused. */
  faults?: Record<string, number>;
}

/** What `bench run --json` prints. */
export interface ExperimentResult {
  experiment: string;
  seed: string;
  variants: Record<string, VariantResult>;
  violations: string[];
}

/** When the trigger began and ended, ms on the load's clock. */
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

/** Rate of whole answers by class between two times. */
export function requestRates(samples: readonly Sample[], from: number, to: number, whole: boolean) {
  const seconds = (to - from) / 1000;
  const counted = samples.filter(s => s.at >= from && s.at < to && (!whole || s.isComplete));
  const of = (name: ChainClass) => counted.filter(s => s.className === name).length / seconds;
  const byClass = Object.fromEntries(CLASSES.map(name => [name, of(name)]));
  return { total: counted.length / seconds, byClass };
}

/** How requests that were due between two times ended, by class. */
export function countOutcomes(samples: readonly Sample[], from: number, to: number): VariantResult['outcomes'] {
  const counted: VariantResult['outcomes'] = {};
  for (const { className, outcome, at } of samples) {
    if (at < from || at >= to) continue;
    const row = (counted[className] ??= {});
    row[outcome] = (row[outcome] ?? 0) + 1;
  }
  return counted;
}

/** Seconds from the trigger's end until the share of answered requests is normal for a second on end; -1 for never. */
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

/** Seconds in which the order of refusal was turned round. */
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

/** Compares what callers were told with what the first service did. */
export function compareWithLedger(samples: readonly Sample[], ledger: readonly Effect[]) {
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

/** Broken promises, as short sentences. */
export function findViolations(variant: string, result: VariantResult, maxAttempts: number): string[] {
  const found: string[] = [];
  for (const name of MUST_BE_ZERO) {
    const count = result[name] ?? 0;
    if (count > 0) found.push(`${variant}: ${name} is ${String(count)}.`);
  }
  if (result.triesPerRequestMax > maxAttempts)
    found.push(`${variant}: ${String(result.triesPerRequestMax)} tries of one request.`);
  return found;
}
