import { type Fleet } from '@cleatquay/bench';
import { expect } from 'chai';
import { Agent, request as sendRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { type KeptResponse, sendKept } from './fixtures/keptConnections.js';
import { routeTo } from './fixtures/platformFleet.js';
import { GRACE_S, ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';
import { smallFleet } from './fixtures/smallFleet.js';

const WORK_MS = 700;
const DEADLINE_MS = 3000;
const CALLERS = 7;
/** Few enough for an upstream of the native interface that has just started. */
const NATIVE_CALLERS = 2;
const POLL_MS = 5;
/** The storm ends later than the requests: its event loop has an exception each 10 ms. */
const MAX_STOP_MS = GRACE_S * 1000;
/** Time in which a daemon with nothing in flight closes. */
const MAX_CLOSE_MS = 1500;
const MAX_LOGGED = 20;
const EXCEPTION = /an exception|a rejection/i;
const FAULTS = {
  'an exception in a timer': 'SIGUSR2',
  'an exception in an event of a socket': 'SIGURG',
  'an unhandled rejection': 'SIGWINCH',
  'an exception every 10 ms': 'SIGIO',
} as const;

describe('a daemon as a process that meets an exception which nothing handles', () => {
  let fleet: ProcessFleet;
  let failing: ProcessNode;
  let other: ProcessNode;
  let agents: Agent[];
  let count = 0;

  before(function () {
    this.timeout(120_000);
    ProcessFleet.build();
  });

  beforeEach(async () => {
    fleet = await ProcessFleet.start(
      [
        { service: 'orders', failureDomain: 'z' },
        { service: 'billing', failureDomain: 'z' },
      ],
      ['orders', 'billing'].map(service => routeTo(service, { kind: 'non_idempotent', maxAttempts: 1 })),
      { asDeployed: true, hasExceptions: true },
    );
    failing = fleet.nodes[0]!;
    other = fleet.nodes[1]!;
    agents = [];
    await fleet.waitForLowLag();
  });

  afterEach(async () => {
    for (const agent of agents) agent.destroy();
    await fleet[Symbol.asyncDispose]();
  });

  const keptAgent = () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    agents.push(agent);
    return agent;
  };
  const send = (agent: Agent, node: ProcessNode, service: string): Promise<KeptResponse> => {
    const request = { host: `${service}.example`, path: '/x', id: `q${String(++count)}` };
    return sendKept(agent, node.callerAddress, { ...request, method: 'POST', deadlineMs: DEADLINE_MS });
  };
  /** Requests that the failing daemon passes on, and requests that its upstream runs for the other daemon, all on connections that were used before. */
  const startRequests = async (): Promise<{ responses: Promise<KeptResponse[]> }> => {
    const callers = Array.from({ length: CALLERS }, () => ({ own: keptAgent(), foreign: keptAgent() }));
    const sendAll = () =>
      callers.flatMap(({ own, foreign }) => [send(own, failing, 'billing'), send(foreign, other, 'orders')]);
    for (const { status } of await Promise.all(sendAll())) expect(status).to.equal(200);
    const running = () =>
      fleet.nodes.flatMap(({ upstream }) => upstream.receivedRequests).filter(({ ended }) => !ended).length;
    for (const { upstream } of fleet.nodes) upstream.behaviour.workMs = WORK_MS;
    const responses = Promise.all(sendAll());
    while (running() < 2 * CALLERS) await sleep(POLL_MS);
    return { responses };
  };
  /** Status and `Connection` header of a request on a connection of its own. */
  const sendNew = (): Promise<{ status: number; connection: string | undefined }> =>
    new Promise(resolve => {
      const headers = { host: 'billing.example', 'Request-Id': `n${String(++count)}`, 'Deadline-Ms': '500' };
      const options = { agent: false as const, headers, localAddress: '127.0.0.2' };
      const call = sendRequest(`http://${failing.callerAddress}/x`, options, response => {
        response.resume();
        resolve({ status: response.statusCode ?? 0, connection: response.headers.connection });
      });
      call.on('error', () => resolve({ status: 0, connection: undefined }));
      call.end();
    });
  const exceptionLines = () => failing.logged.filter(line => EXCEPTION.test(JSON.stringify(line)));

  for (const [name, signal] of Object.entries(FAULTS))
    // Guards against requests that end without a response since the process ends.
    it(`responds to all that is in flight, and then ends with code 1: ${name}`, async () => {
      const { responses } = await startRequests();
      const endedAt = failing.ended().then(() => performance.now());
      failing.signal(signal);
      const statuses = (await responses).map(({ status }) => status);
      const respondedAt = performance.now();
      expect(statuses).to.deep.equal(Array(2 * CALLERS).fill(200));
      expect((await endedAt) - respondedAt).to.be.below(MAX_CLOSE_MS);
      expect(await failing.ended()).to.equal(1);
      const [first, ...others] = exceptionLines();
      expect(first).to.include({ inFlight: CALLERS, running: CALLERS });
      expect(first).to.have.property('stack').that.includes('daemonExceptions');
      expect(first).to.have.property('lagMs').that.is.a('number');
      expect(others.length).to.be.below(MAX_LOGGED);
    });

  // Guards against requests that are begun though the process is about to end.
  it('refuses new requests as not run and closes their connections; no second exception ends it', async () => {
    const { responses } = await startRequests();
    failing.signal('SIGUSR2');
    await sleep(50);
    const { status, connection } = await sendNew();
    failing.signal('SIGURG');
    failing.signal('SIGWINCH');
    expect({ status, connection }).to.deep.equal({ status: 503, connection: 'close' });
    for (const { status: inFlight } of await responses) expect(inFlight).to.equal(200);
    expect(await failing.ended()).to.equal(1);
  });

  // Guards against runs that fail since the calls that they make are refused.
  it('serves the calls of the requests that its upstream is running', async () => {
    const { behaviour } = failing.upstream;
    behaviour.workMs = 300;
    behaviour.calls = [{ host: 'billing.example', path: '/x' }];
    const response = send(keptAgent(), other, 'orders');
    while (failing.upstream.receivedRequests.length === 0) await sleep(POLL_MS);
    failing.signal('SIGUSR2');
    expect((await response).status).to.equal(200);
    expect(other.upstream.receivedRequests.length).to.equal(1);
  });

  // Guards against a process that an exception keeps from ending, or that ends later than the platform allows.
  it('ends within its grace, though an upstream does not respond and exceptions go on', async () => {
    other.upstream.behaviour.workMs = 60_000;
    const request = { host: 'billing.example', path: '/x', id: 'long', method: 'POST', deadlineMs: 30_000 };
    const response = sendKept(keptAgent(), failing.callerAddress, request);
    while (other.upstream.receivedRequests.length === 0) await sleep(POLL_MS);
    const startedAt = performance.now();
    failing.signal('SIGIO');
    expect((await response).status).to.be.oneOf([502, 504]);
    expect(await failing.ended()).to.equal(1);
    expect(performance.now() - startedAt).to.be.below(MAX_STOP_MS);
  });

  // Guards against a stop that the platform asks for and that is taken for a failure.
  it('ends with code 0 when it is told to stop meanwhile', async () => {
    const { responses } = await startRequests();
    failing.signal('SIGUSR2');
    await sleep(50);
    failing.signal('SIGTERM');
    for (const { status } of await responses) expect(status).to.equal(200);
    expect(await failing.ended()).to.equal(0);
  });

  // Guards against a VM that stays out of service.
  it('serves again once it has been started anew', async () => {
    failing.signal('SIGUSR2');
    expect(await failing.ended()).to.equal(1);
    await failing.restart();
    await fleet.waitUntilConverged();
    expect((await send(keptAgent(), failing, 'billing')).status).to.equal(200);
  });
});

describe('a daemon of the native interface that meets an exception which nothing handles', () => {
  let fleet: Fleet;

  before(async () => {
    const options = process.env.NODE_OPTIONS;
    process.env.NODE_OPTIONS = `${options ?? ''} --import ./tests/dist/fixtures/daemonExceptions.js`;
    try {
      const behaviour = { serviceMs: WORK_MS };
      fleet = await smallFleet([
        ['alarms', 'regina-a', behaviour],
        ['receiving', 'regina-a', behaviour],
      ]);
    } finally {
      if (options === undefined) delete process.env.NODE_OPTIONS;
      else process.env.NODE_OPTIONS = options;
    }
  });

  after(() => fleet[Symbol.asyncDispose]());

  const send = (daemon: number, path: string) =>
    new Promise<{ status: number; connection: string | undefined }>(resolve => {
      const call = sendRequest(`${fleet.callerUrls[daemon]!}${path}`, { agent: false }, response => {
        response.resume();
        const { statusCode: status = 0, headers } = response;
        response.on('close', () => resolve({ status, connection: headers.connection }));
      });
      call.on('error', () => resolve({ status: 0, connection: undefined }));
      call.end();
    });

  // Guards against requests that end without a response since the process ends.
  it('responds to all that is in flight, refuses new requests, and then ends with code 1', async () => {
    const { daemon } = fleet.nodes[0]!;
    const own = Array.from({ length: NATIVE_CALLERS }, () => send(0, '/receiving/receipts/7'));
    const foreign = Array.from({ length: NATIVE_CALLERS }, () => send(1, '/alarms/alarms/7'));
    await sleep(WORK_MS / 2);
    daemon.signal('SIGUSR2');
    daemon.signal('SIGIO');
    await sleep(50);
    expect(await send(0, '/receiving/receipts/7')).to.deep.equal({ status: 503, connection: 'close' });
    const statuses = (await Promise.all([...own, ...foreign])).map(({ status }) => status);
    expect(statuses).to.deep.equal(Array(2 * NATIVE_CALLERS).fill(200));
    expect(await daemon.exited).to.equal(1);
  });
});
