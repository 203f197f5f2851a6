/**
 * Upstreams that respond in odd ways, with daemons as processes. `CLEATQUAY_SEED` selects other responses; `CLEATQUAY_SECONDS` sets the duration.
 */
import { seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { Agent, type ClientRequest, request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { OddUpstream, choicesOf } from './fixtures/oddUpstream.js';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet } from './fixtures/platformProcesses.js';

const SEED = process.env.CLEATQUAY_SEED ?? '1';
const DURATION_MS = Number(process.env.CLEATQUAY_SECONDS ?? 8) * 1000;
const SERVICES = ['orders', 'billing', 'exports'];
const KINDS = ['idempotent', 'non_idempotent', 'upload'] as const;
const CALLERS = 30;
const UNAVAILABLE = 503;
/** Upper bound of the time until a caller sends its next request after one was refused, ms. */
const MAX_PAUSE_MS = 30;
const TIMEOUT_S = 1;
const DEADLINE_MS = 1200;
/** Time in which a request whose deadline has passed must have its response, on a busy machine, ms. */
const MAX_LATE_MS = 8000;
const MAX_UPLOAD_BYTES = 300_000;
/** Longer than the log lines of a daemon are buffered, ms. */
const LOG_DELAY_MS = 1500;
const MIN_REQUESTS = 100;
const EXCEPTION = 'that nothing handles';

type CallEnd = 'response' | 'left' | 'none' | 'late';

describe('upstreams that respond in odd ways', () => {
  const choices = choicesOf(seededRandom(SEED));
  const { chance, pick, below } = choices;
  const counts = new Map<string, number>();
  let fleet: ProcessFleet;
  let upstreams: OddUpstream[];
  let isOver = false;
  let requests = 0;

  before(async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    fleet = await ProcessFleet.start(
      SERVICES.map(service => ({ service, failureDomain: 'z' })),
      SERVICES.flatMap(service =>
        KINDS.map(kind =>
          routeTo(service, {
            name: `${service}-${kind}`,
            host: `${service}-${kind}.example`,
            kind,
            timeoutS: TIMEOUT_S,
          }),
        ),
      ),
      { asDeployed: true },
    );
    upstreams = await Promise.all(fleet.nodes.map((_node, index) => startOdd(index)));
    await fleet.waitForLowLag();
  });

  after(async () => {
    await fleet[Symbol.asyncDispose]();
    for (const upstream of upstreams) await upstream[Symbol.asyncDispose]();
  });

  /** Takes the place of the upstream of a VM. */
  const startOdd = async (index: number): Promise<OddUpstream> => {
    const node = fleet.nodes[index]!;
    const odd = await OddUpstream.start(choices, node.upstream.instanceId, async id => {
      const host = `${pick(SERVICES)}-idempotent.example`;
      await send(new Agent(), node.callerAddress, { id: `${id}.${String(++requests)}`, host, method: 'GET' });
    });
    node.upstream.address = odd.address;
    return odd;
  };

  const writeBody = async (call: ClientRequest, bytes: number): Promise<void> => {
    for (let left = bytes; left > 0 && !call.destroyed;) {
      const part = Math.min(left, 1 + below(65_536));
      call.write(Buffer.alloc(part, 'u'));
      left -= part;
      if (chance(0.5)) await sleep(below(20));
    }
    call.end();
  };

  interface Call {
    readonly id: string;
    readonly host: string;
    readonly method: string;
    readonly bytes?: number;
    readonly leavesAfterMs?: number | undefined;
  }

  /** How a request ends for its caller. */
  const send = (
    agent: Agent,
    address: string,
    { id, host, method, bytes = 0, leavesAfterMs }: Call,
  ): Promise<{ end: CallEnd; status: number; error: string }> =>
    new Promise(resolve => {
      const isChunked = bytes > 0 && chance(0.5);
      const length = method === 'GET' || isChunked ? {} : { 'Content-Length': String(bytes) };
      const headers = { host, 'Request-Id': id, 'Deadline-Ms': String(DEADLINE_MS), ...length };
      let status = 0;
      let failure: NodeJS.ErrnoException | undefined;
      let hasLeft = false;
      const settle = (end: CallEnd) => {
        clearTimeout(timer);
        resolve({ end: hasLeft ? 'left' : end, status, error: failure?.code ?? '' });
      };
      const call = sendRequest(`http://${address}/x`, { agent, method, headers }, response => {
        status = response.statusCode ?? 0;
        response.on('error', () => undefined);
        response.on('close', () => settle('response'));
        response.resume();
      });
      const timer = setTimeout(() => settle('late'), DEADLINE_MS + MAX_LATE_MS);
      call.on('error', error => {
        failure = error;
        settle(status > 0 ? 'response' : 'none');
      });
      void writeBody(call, bytes);
      if (leavesAfterMs !== undefined)
        setTimeout(() => {
          hasLeft = true;
          call.destroy();
        }, leavesAfterMs);
    });

  const createCall = (id: string): Call => {
    const kind = pick(KINDS);
    const method = pick(kind === 'upload' ? ['POST'] : ['GET', 'POST', 'HEAD']);
    const bytes = kind === 'upload' ? 1 + below(MAX_UPLOAD_BYTES) : method === 'POST' ? below(5000) : 0;
    const leavesAfterMs = chance(0.12) ? below(300) : undefined;
    return { id, host: `${pick(SERVICES)}-${kind}.example`, method, bytes, leavesAfterMs };
  };

  /** Sends requests one after another; returns those that were passed on and got no response. */
  const runCaller = async (caller: number): Promise<string[]> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const lost: string[] = [];
    while (!isOver) {
      const call = createCall(`c${String(caller)}x${String(++requests)}`);
      const { callerAddress } = pick(fleet.nodes);
      const { end, status, error } = await send(agent, callerAddress, call);
      const key = end === 'response' ? String(status) : end;
      counts.set(key, (counts.get(key) ?? 0) + 1);
      if (status === UNAVAILABLE) await sleep(below(MAX_PAUSE_MS));
      const isPassedOn = upstreams.some(({ received }) => received.has(call.id));
      if ((end === 'none' && isPassedOn) || end === 'late')
        lost.push(JSON.stringify({ end, error, ...call }));
    }
    agent.destroy();
    return lost;
  };

  // Guards against bytes of an upstream that end a daemon, or leave another request without a response.
  it('end no daemon, and every request that was passed on gets a response', async () => {
    const pids = fleet.nodes.map(({ pid }) => pid);
    const callers = Promise.all(Array.from({ length: CALLERS }, (_, i) => runCaller(i)));
    await sleep(DURATION_MS);
    isOver = true;
    const lost = (await callers).flat();
    await sleep(LOG_DELAY_MS);
    process.stdout.write(`      seed ${SEED}: ${JSON.stringify(Object.fromEntries([...counts].sort()))}\n`);
    const lines = fleet.nodes.flatMap(({ logged }) => logged.map(line => JSON.stringify(line)));
    expect(lines.filter(line => line.includes(EXCEPTION))).to.deep.equal([]);
    expect(fleet.nodes.map(({ pid }) => pid)).to.deep.equal(pids);
    expect(fleet.nodes.map(({ isRunning }) => isRunning)).to.deep.equal([true, true, true]);
    const logOf = (text: string) => lines.filter(line => line.includes((JSON.parse(text) as Call).id));
    expect(lost.map(text => [text, ...logOf(text)])).to.deep.equal([]);
    expect(upstreams.reduce((sum, { received }) => sum + received.size, 0)).to.be.above(MIN_REQUESTS);
  }).timeout(DURATION_MS + 60_000);
});
