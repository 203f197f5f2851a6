/**
 * Soak of planned stops, on processes: daemons are stopped one after the other and several at once, some suspended in their grace, while callers
 * keep using their connections. CLEATQUAY_SEED and CLEATQUAY_ROUNDS set the seed and the number of rounds.
 */
import { seededRandom } from '@cleatquay/clock';
import { type ReceivedRequest } from '@cleatquay/standins';
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { GRACE_S, ProcessFleet } from './fixtures/platformProcesses.js';
import { type CallerRecord, type Kind, ROUTES, StopCallers } from './fixtures/stopCallers.js';

const SEED = process.env.CLEATQUAY_SEED ?? '1';
const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 4);
const CALLERS_PER_DAEMON = 12;
const SLOTS = 12;
const DOWNLOAD_BYTES = 1_500_000;
const ROUND_PAUSE_MS = 400;
/** Longest time from SIGTERM to the next one, ms: less than any stop takes. */
const MAX_REPEAT_MS = 2000;
/** Longest time between the stops of a roll, in which all daemons stop at the same time for a while, ms. */
const MAX_ROLL_GAP_MS = 1200;
const GRACE_MS = GRACE_S * 1000;
/** The callers and the daemons don't measure a deadline from the same moment, ms. */
const DEADLINE_TOLERANCE_MS = 150;
/** From here on, a daemon that stops may break off what an upstream is at work on, ms after SIGTERM. */
const BREAK_OFF_FROM_MS = (GRACE_MS * 5) / 6;
/** Requests sent later than this after SIGTERM may not be broken off even then, ms. */
const EARLY_MS = 3000;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const FAILED_STATUSES = [0, 502, 504];
/** What a daemon logs of a request when a link is lost on which the peer sends nothing, not even the response to a ping. */
const SILENCE = /has sent nothing for/;
const LOST = 'was lost';
const IDEMPOTENT_KINDS: readonly Kind[] = ['read', 'download'];

/** A stop of a daemon, by `performance.now()`. */
interface Stop {
  readonly node: number;
  readonly at: number;
  readonly tookMs: number;
  readonly wasSuspended: boolean;
}

/** A request at an upstream, with the index of its daemon. */
interface Run {
  readonly node: number;
  readonly received: ReceivedRequest;
}

const VMS = ['orders', 'orders', 'files', 'files'].map(service => ({ service, failureDomain: 'one' }));

function routes() {
  const route = (
    kind: Kind,
    service: string,
    type: 'idempotent' | 'non_idempotent' | 'download' | 'upload',
  ) =>
    routeTo(service, {
      name: kind,
      host: ROUTES[kind].host,
      kind: type,
      timeoutS: ROUTES[kind].timeoutMs / 1000,
    });
  return [
    route('read', 'orders', 'idempotent'),
    route('order', 'orders', 'non_idempotent'),
    route('download', 'files', 'download'),
    route('upload', 'files', 'upload'),
  ];
}

describe('planned stops of daemons whose callers keep using their connections', () => {
  let fleet: ProcessFleet;
  let callers: StopCallers;
  let random: () => number;
  let brokenOff: Set<string>;

  before(function () {
    this.timeout(120_000);
    ProcessFleet.build();
  });

  beforeEach(async () => {
    random = seededRandom(SEED);
    brokenOff = new Set();
    fleet = await ProcessFleet.start(VMS, routes());
    for (const { upstream } of fleet.nodes) {
      const { behaviour } = upstream;
      behaviour.slots = SLOTS;
      behaviour.bytes = upstream.service === 'files' ? DOWNLOAD_BYTES : 200;
      Object.defineProperty(behaviour, 'workMs', {
        get: () => (random() < 0.03 ? 2500 + random() * 2500 : 30 + random() ** 3 * 1800),
      });
      behaviour.fault = requestId => {
        const draw = random();
        if (draw < 0.03) return 'shed';
        if (draw > 0.02 + 0.03) return 'none';
        brokenOff.add(requestId);
        return 'drop-response';
      };
    }
    await fleet.waitForLowLag();
    callers = new StopCallers(random);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const stop = async (node: number, suspendMs: number): Promise<Stop> => {
    const at = performance.now();
    const stopping = fleet.nodes[node]!;
    const stopped = stopping.stop();
    setTimeout(() => stopping.signal('SIGTERM'), random() * MAX_REPEAT_MS);
    if (suspendMs > 0) {
      await sleep(random() * (GRACE_MS - suspendMs - 500));
      stopping.signal('SIGSTOP');
      await sleep(suspendMs);
      stopping.signal('SIGCONT');
    }
    const tookMs = await stopped;
    stopping.start();
    await stopping.waitUntilReady();
    return { node, at, tookMs, wasSuspended: suspendMs > 0 };
  };

  const playRound = async (round: number): Promise<Stop[]> => {
    const suspendMs = round % 4 === 3 ? 300 + random() * 1000 : 0;
    const first = Math.floor(random() * VMS.length);
    const stops = [stop(first, suspendMs)];
    if (round % 4 === 2) {
      for (let others = 1; others < VMS.length; others++) {
        await sleep(random() * MAX_ROLL_GAP_MS);
        stops.push(stop((first + others) % VMS.length, 0));
      }
    } else if (round % 2 === 1) {
      await sleep(random() * 1500);
      stops.push(stop((first + 1 + Math.floor(random() * (VMS.length - 1))) % VMS.length, 0));
    }
    const done = await Promise.all(stops);
    await fleet.waitUntilConverged();
    await sleep(ROUND_PAUSE_MS);
    return done;
  };

  /** What the daemons logged of a request. */
  const logOf = ({ id, sentAt }: CallerRecord): string => {
    const lines = fleet.nodes.flatMap(({ logged }, node) => logged.map(line => ({ node, line })));
    const named = lines.filter(({ line }) => line['request'] === id);
    const sentDate = performance.timeOrigin + sentAt;
    return named
      .map(({ node, line }) => {
        const { at, msg, why, to, result, state } = line;
        const afterMs = Math.round(Date.parse(String(at)) - sentDate);
        return `\n    ${JSON.stringify({ node, afterMs, msg, why, to, result, state })}`;
      })
      .join('');
  };

  /** What a daemon logged about a stop and its processor time, with the time since SIGTERM, ms. */
  const stepsOf = (node: number, at: number): string[] => {
    const sinceMs = ({ time }: Record<string, unknown>) =>
      Math.round(Number(time) - performance.timeOrigin - at);
    return fleet.nodes[node]!.logged.filter(line => /^(Daemon|Processor): /.test(String(line['msg'])))
      .filter(line => sinceMs(line) > -1000 && sinceMs(line) < GRACE_MS + 1000)
      .map(line => `${String(sinceMs(line))}: ${JSON.stringify(line)}`);
  };

  it(`lose no request that has run (seed ${SEED})`, async function () {
    this.timeout(60_000 + ROUNDS * 15_000);
    for (const [index, { callerAddress }] of fleet.nodes.entries())
      callers.start(index, callerAddress, CALLERS_PER_DAEMON);
    const stops: Stop[] = [];
    for (let round = 0; round < ROUNDS; round++) stops.push(...(await playRound(round)));
    await callers.stop();
    await sleep(2 * ROUND_PAUSE_MS);
    const runs = runsById(fleet);
    let behindSilence = 0;
    const found = callers.records.flatMap(record => {
      const fault = faultOf(record, runs.get(record.id) ?? [], stops, brokenOff.has(record.id));
      // A daemon that gets no processor time, or is suspended, is no planned work: its senders truly don't know the outcome.
      if (fault?.endsWith(LOST) === true && SILENCE.test(logOf(record))) {
        behindSilence++;
        return [];
      }
      return fault === undefined
        ? []
        : [describeFault(fault, record, runs.get(record.id) ?? [], stops) + logOf(record)];
    });
    const late = stops
      .filter(({ tookMs, wasSuspended }) => !wasSuspended && tookMs >= GRACE_MS - 50)
      .map(({ node, at, tookMs }) => ({ node, tookMs, steps: stepsOf(node, at) }));
    const statuses = countBy(callers.records, ({ kind, status }) => `${kind} ${String(status)}`);
    const unanswered = callers.records.filter(
      record => record.status === 0 && (runs.get(record.id)?.length ?? 0) > 0 && !brokenOff.has(record.id),
    );
    const tookS = stops.map(({ tookMs }) => (tookMs / 1000).toFixed(1)).join(', ');
    process.stdout.write(
      `      ${JSON.stringify(statuses)}, ${String(unanswered.length)} ran without an answer, ${String(behindSilence)} behind silent daemons, stops of ${tookS} s\n`,
    );
    expect(found).to.deep.equal([]);
    expect(late).to.deep.equal([]);
    for (const kind of Object.keys(ROUTES)) expect(statuses[`${kind} 200`], kind).to.be.greaterThan(20);
  });
});

function countBy<T>(items: readonly T[], key: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items) counts[key(item)] = (counts[key(item)] ?? 0) + 1;
  return counts;
}

function runsById({ nodes }: ProcessFleet): Map<string, Run[]> {
  const runs = new Map<string, Run[]>();
  for (const [node, { upstream }] of nodes.entries())
    for (const received of upstream.receivedRequests)
      if (received.ran)
        runs.set(received.requestId, [...(runs.get(received.requestId) ?? []), { node, received }]);
  return runs;
}

/** What a request shows to be wrong; undefined if nothing. */
function faultOf(
  record: CallerRecord,
  runs: readonly Run[],
  stops: readonly Stop[],
  isBrokenOff: boolean,
): string | undefined {
  const { kind, status, isWhole, sentAt, endedAt, deadlineMs } = record;
  const isIdempotent = IDEMPOTENT_KINDS.includes(kind);
  if (!isIdempotent && runs.length > 1) return 'ran twice';
  if (!isIdempotent && runs.length > 0 && NOT_RUN_STATUSES.includes(status))
    return 'promised not to run, and ran';
  if (runs.length === 0 || isBrokenOff) return undefined;
  if (endedAt - sentAt >= deadlineMs - DEADLINE_TOLERANCE_MS) return undefined;
  const isLost = !isWhole || FAILED_STATUSES.includes(status);
  if (!isLost || stops.some(stop => mayBreakOff(stop, record, runs))) return undefined;
  return isWhole ? `ran, and its response ${LOST}` : `ran, and its connection ${LOST}`;
}

/** Whether the daemon of the caller, or that of an upstream which ran the request, may have broken it off. */
function mayBreakOff(
  { node, at }: Stop,
  { node: ingress, sentAt, endedAt }: CallerRecord,
  runs: readonly Run[],
): boolean {
  const isConcerned = node === ingress || runs.some(run => run.node === node);
  return (
    isConcerned &&
    sentAt <= at + EARLY_MS &&
    endedAt >= at + BREAK_OFF_FROM_MS &&
    endedAt <= at + GRACE_MS + 1000
  );
}

function isAround({ at }: Stop, { sentAt, endedAt }: CallerRecord): boolean {
  return at <= endedAt && at + GRACE_MS + 1000 >= sentAt;
}

function describeFault(
  fault: string,
  record: CallerRecord,
  runs: readonly Run[],
  stops: readonly Stop[],
): string {
  const ms = (value: number) => String(Math.round(value));
  const stopsAround = stops
    .filter(stop => isAround(stop, record))
    .map(
      ({ node, at, tookMs, wasSuspended }) =>
        `stop of ${String(node)}${wasSuspended ? ' (suspended)' : ''}: sent ${ms(record.sentAt - at)}, ended ${ms(record.endedAt - at)} of ${ms(tookMs)}`,
    );
  const ran = runs.map(
    ({ node, received }) => `ran at ${String(node)} after ${ms(received.at - record.sentAt)}`,
  );
  const { id, kind, node, status, deadlineMs } = record;
  return `${fault}: ${id} ${kind} at ${String(node)}, status ${String(status)}, deadline ${ms(deadlineMs)}; ${[...ran, ...stopsAround].join('; ')}`;
}
