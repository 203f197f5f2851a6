/** What callers are told, under random faults, compared with what the upstreams did. */
import { Caller, type CallerResult } from '@cleatquay/caller';
import { type Clock, type Random, SystemClock, seededRandom } from '@cleatquay/clock';
import { type Effect } from '@cleatquay/standins';
import { deployments, fileOf } from '../deployments.js';
import { FaultPlan } from '../faultPlan.js';
import { Fleet, type FleetNode } from '../fleet.js';
import { type VariantResult } from '../results.js';

const RATE_PER_SECOND = 80;
const CONFIRMATIONS = 0.6;
const TIMEOUT_MS = 5000;
const FAULT_EVERY_MS = 1000;
const DAEMONS_PER_CALLER = 4;
const SETTLE_MS = 3000;
const BEHAVIOUR = { slots: 40, serviceMs: 25 };
const DOMAINS = ['regina-a', 'moose-b', 'swift-c'];
const UPSTREAMS: Readonly<Record<string, number>> = { receiving: 3, history: 3, alarms: 3 };

interface Asked {
  readonly token: string;
  readonly isConfirmation: boolean;
  readonly result: CallerResult;
  readonly body: { token?: string; children?: unknown[] } | undefined;
}

/** Runs the fleet for `seconds`, with faults or without. */
export async function runTruth(withFaults: boolean, seed: string, seconds: number): Promise<VariantResult> {
  const deployment = deployments.frostline;
  if (!deployment) throw new Error('The deployment is missing.');
  const file = fileOf(deployment);
  const nodes = Object.entries(UPSTREAMS).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, i) => ({
      service,
      failureDomain: DOMAINS[i] ?? '',
      behaviour: BEHAVIOUR,
    })),
  );
  const daemonFlags = ['--faultHooks', '--logLevel=info'];
  await using fleet = await Fleet.start({ path: deployment.path, file, nodes, seed, daemonFlags });
  const clock = new SystemClock();
  const random = seededRandom(`${seed}-load`);
  const everyNode: FleetNode[] = [...fleet.nodes];
  const plan = new FaultPlan(fleet, clock, seededRandom(`${seed}-faults`), BEHAVIOUR, (_old, fresh) =>
    everyNode.push(fresh),
  );
  const faults = withFaults ? plan.run(seconds * 1000, FAULT_EVERY_MS) : undefined;
  const asked = await sendMix(fleet, clock, random, seconds);
  await faults;
  await clock.sleep(SETTLE_MS);
  const ledger = everyNode.flatMap(node => fleet.ledger(node));
  return { ...compare(asked, ledger, seconds), faults: plan.counts };
}

async function sendMix(fleet: Fleet, clock: Clock, random: Random, seconds: number): Promise<Asked[]> {
  const pending: Promise<Asked>[] = [];
  const end = clock.now() + seconds * 1000;
  for (let i = 0; clock.now() < end; i++) {
    pending.push(ask(fleet, clock, random, `t${String(i)}`));
    await clock.sleep(1000 / RATE_PER_SECOND);
  }
  return Promise.all(pending);
}

/** One client with a few daemons of its own choice, as they are there just now. */
async function ask(fleet: Fleet, clock: Clock, random: Random, token: string): Promise<Asked> {
  const urls = fleet.callerUrls.sort(() => random() - 0.5).slice(0, DAEMONS_PER_CALLER);
  const isConfirmation = random() < CONFIRMATIONS;
  await using caller = new Caller({ daemons: urls, clock, random });
  const call = isConfirmation
    ? { method: 'POST', path: '/receiving/receipts', idempotent: false, body: '{}' }
    : { method: 'GET', path: '/history/trucks/7?size=500', idempotent: true };
  const result = await caller.send({ ...call, timeoutMs: TIMEOUT_MS, headers: { 'x-token': token } });
  return { token, isConfirmation, result, body: parse(result.body) };
}

function parse(body: Buffer): Asked['body'] {
  try {
    return JSON.parse(body.toString('utf8')) as Asked['body'];
  } catch {
    return undefined;
  }
}

function compare(asked: readonly Asked[], ledger: readonly Effect[], seconds: number): VariantResult {
  const runs = new Map<string, { started: number; done: number }>();
  const runsById = new Map<string, number>();
  for (const { token, route, done, requestId } of ledger) {
    runsById.set(requestId, (runsById.get(requestId) ?? 0) + 1);
    if (route !== 'receiving.confirm') continue;
    const known = runs.get(token) ?? { started: 0, done: 0 };
    runs.set(token, { started: known.started + 1, done: known.done + (done ? 1 : 0) });
  }
  const confirmations = asked.filter(a => a.isConfirmation);
  const answered = asked.filter(a => a.result.outcome === 'answered');
  const whole = answered.filter(a => a.body?.token === a.token);
  const runsOf = (a: Asked) => runs.get(a.token) ?? { started: 0, done: 0 };
  const confirmed = confirmations.filter(a => a.result.outcome === 'answered');
  return {
    goodput: byClass(whole, seconds),
    offered: byClass(asked, seconds),
    answeredShare: {
      confirmation: confirmed.length / confirmations.length,
      interactive: (answered.length - confirmed.length) / (asked.length - confirmations.length),
    },
    outcomes: outcomesOf(asked),
    triesPerRequestMax: Math.max(0, ...runsById.values()),
    notRunButRan: confirmations.filter(a => a.result.outcome === 'not-run' && runsOf(a).started > 0).length,
    doubleEffects: confirmations.filter(a => runsOf(a).done > 1).length,
    answeredWithoutEffect: confirmed.filter(a => runsOf(a).done === 0).length,
    incompleteAnswers: answered.filter(a => a.body?.children?.length !== 1).length,
    mismatchedAnswers: answered.filter(a => a.body !== undefined && a.body.token !== a.token).length,
    unknownShare: asked.filter(a => a.result.outcome === 'unknown').length / asked.length,
  };
}

function byClass(asked: readonly Asked[], seconds: number): VariantResult['goodput'] {
  const confirmations = asked.filter(a => a.isConfirmation).length / seconds;
  const total = asked.length / seconds;
  return { total, byClass: { confirmation: confirmations, interactive: total - confirmations } };
}

function outcomesOf(asked: readonly Asked[]): VariantResult['outcomes'] {
  const counted: VariantResult['outcomes'] = {};
  for (const { isConfirmation, result } of asked) {
    const row = (counted[isConfirmation ? 'confirmation' : 'interactive'] ??= {});
    row[result.outcome] = (row[result.outcome] ?? 0) + 1;
  }
  return counted;
}
