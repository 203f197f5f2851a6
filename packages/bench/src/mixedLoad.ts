/** Sends a mix of confirmations and reads with the caller library, and compares their outcomes with the ledgers. */
import { Caller, type CallerResult } from '@cleatquay/caller';
import { type Clock, type Random } from '@cleatquay/clock';
import { type Execution } from '@cleatquay/standins';
import { type VariantResult } from './results.js';

const CONFIRMATION_RATIO = 0.6;
const TIMEOUT_MS = 5000;
const DAEMONS_PER_CALLER = 4;

/** One request, and the result that its caller got. */
export interface SentRequest {
  readonly token: string;
  readonly isConfirmation: boolean;
  readonly result: CallerResult;
  readonly body: { token?: string; children?: unknown[] } | undefined;
}

export interface MixOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** URLs of the daemons that currently accept requests. */
  readonly urls: () => string[];
  readonly ratePerSecond: number;
  /** Prefix of the tokens, which keeps those of several mixes distinct. */
  readonly name: string;
}

/** Sends requests until `isOver` returns true, then waits for all results. */
export async function sendMix(options: MixOptions, isOver: () => boolean): Promise<SentRequest[]> {
  const pending: Promise<SentRequest>[] = [];
  for (let i = 0; !isOver(); i++) {
    pending.push(sendOne(options, `${options.name}-${String(i)}`));
    await options.clock.sleep(1000 / options.ratePerSecond);
  }
  return Promise.all(pending);
}

/** Sends one request by a new client, which knows a few random daemons of the current ones. */
async function sendOne({ clock, random, urls }: MixOptions, token: string): Promise<SentRequest> {
  const daemons = urls()
    .sort(() => random() - 0.5)
    .slice(0, DAEMONS_PER_CALLER);
  const isConfirmation = random() < CONFIRMATION_RATIO;
  await using caller = new Caller({ daemons, clock, random });
  const call = isConfirmation
    ? { method: 'POST', path: '/receiving/receipts', idempotent: false, body: '{}' }
    : { method: 'GET', path: '/history/trucks/7?size=500', idempotent: true };
  const result = await caller.send({ ...call, timeoutMs: TIMEOUT_MS, headers: { 'x-token': token } });
  return { token, isConfirmation, result, body: parseBody(result.body) };
}

function parseBody(body: Buffer): SentRequest['body'] {
  try {
    return JSON.parse(body.toString('utf8')) as SentRequest['body'];
  } catch {
    return undefined;
  }
}

/** Compares the outcomes that callers saw with the ledgers of the upstreams. */
export function toVariantResult(
  requests: readonly SentRequest[],
  ledger: readonly Execution[],
  seconds: number,
): VariantResult {
  const executions = new Map<string, { started: number; done: number }>();
  const attemptsById = new Map<string, number>();
  for (const { token, route, done, requestId } of ledger) {
    attemptsById.set(requestId, (attemptsById.get(requestId) ?? 0) + 1);
    if (route !== 'receiving.confirm' && route !== 'history.read') continue;
    const previous = executions.get(token) ?? { started: 0, done: 0 };
    executions.set(token, { started: previous.started + 1, done: previous.done + (done ? 1 : 0) });
  }
  const confirmations = requests.filter(request => request.isConfirmation);
  const answered = requests.filter(request => request.result.outcome === 'answered');
  const matching = answered.filter(request => request.body?.token === request.token);
  const executionsOf = (request: SentRequest) => executions.get(request.token) ?? { started: 0, done: 0 };
  const confirmed = confirmations.filter(request => request.result.outcome === 'answered');
  return {
    goodput: ratesByClass(matching, seconds),
    offered: ratesByClass(requests, seconds),
    answeredShare: {
      confirmation: confirmed.length / confirmations.length,
      interactive: (answered.length - confirmed.length) / (requests.length - confirmations.length),
    },
    outcomes: countOutcomes(requests),
    triesPerRequestMax: Math.max(0, ...attemptsById.values()),
    notRunButRan: requests.filter(
      request => request.result.outcome === 'not-run' && executionsOf(request).started > 0,
    ).length,
    doubleEffects: confirmations.filter(request => executionsOf(request).done > 1).length,
    answeredWithoutEffect: confirmed.filter(request => executionsOf(request).done === 0).length,
    incompleteAnswers: answered.filter(request => request.body?.children?.length !== 1).length,
    mismatchedAnswers: answered.filter(
      request => request.body !== undefined && request.body.token !== request.token,
    ).length,
    unknownShare: requests.filter(request => request.result.outcome === 'unknown').length / requests.length,
  };
}

function ratesByClass(requests: readonly SentRequest[], seconds: number): VariantResult['goodput'] {
  const confirmations = requests.filter(request => request.isConfirmation).length / seconds;
  const total = requests.length / seconds;
  return { total, byClass: { confirmation: confirmations, interactive: total - confirmations } };
}

function countOutcomes(requests: readonly SentRequest[]): VariantResult['outcomes'] {
  const counted: VariantResult['outcomes'] = {};
  for (const { isConfirmation, result } of requests) {
    const row = (counted[isConfirmation ? 'confirmation' : 'interactive'] ??= {});
    row[result.outcome] = (row[result.outcome] ?? 0) + 1;
  }
  return counted;
}
