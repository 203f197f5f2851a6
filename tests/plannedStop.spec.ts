import { expect } from 'chai';
import { once } from 'node:events';
import { type Socket, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { type CallerResponse, PlatformFleet, type PlatformNode, routeTo } from './fixtures/platformFleet.js';

/** Longer than the stopping daemon waits for requests in flight: 85% of its grace of 3 s. */
const LONG_WORK_MS = 2800;
const DEADLINE_MS = 5000;
const KEPT_CONNECTIONS = 8;
/** Longer than the stopping daemon leaves for the last responses. */
const STANDSTILL_MS = 250;

/** Holds up the event loop of this process, and with it the daemons. */
function standStill(): void {
  const until = performance.now() + STANDSTILL_MS;
  while (performance.now() < until);
}

/** Sends a request over an open connection; returns the status, or 0 if the connection closes without a response. */
async function sendOver(socket: Socket, id: string): Promise<number> {
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.write(`GET /x HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 400\r\n\r\n`);
  await closed;
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
}

describe('a daemon in a planned stop', () => {
  let fleet: PlatformFleet;
  let stopping: PlatformNode;
  let other: PlatformNode;

  beforeEach(async () => {
    const behaviour = { workMs: LONG_WORK_MS, slots: 20 };
    fleet = await PlatformFleet.start(
      [
        { service: 'orders', behaviour },
        { service: 'orders', behaviour },
      ],
      [routeTo('orders', { kind: 'non_idempotent', timeoutS: DEADLINE_MS / 1000 })],
    );
    stopping = fleet.nodes.splice(0, 1)[0]!;
    other = fleet.nodes[0]!;
  });

  afterEach(async () => {
    await stopping.upstream[Symbol.asyncDispose]();
    await stopping.store[Symbol.asyncDispose]();
    await fleet[Symbol.asyncDispose]();
  });

  const order = (node: PlatformNode): Promise<CallerResponse | undefined> =>
    fleet
      .send(node, { host: 'orders.example', method: 'POST', body: '{}', deadlineMs: DEADLINE_MS })
      .catch(() => undefined);
  const orders = (node: PlatformNode) => Promise.all(Array.from({ length: 8 }, () => order(node)));
  const stop = async () => {
    await stopping.daemon.drain();
    await stopping.daemon[Symbol.asyncDispose]();
  };
  const statuses = (responses: readonly (CallerResponse | undefined)[]) => responses.map(r => r?.status);

  // Guards against requests from other daemons that are passed on late in the grace, and cut off at its end.
  it('refuses requests from other daemons that may take longer than it waits', async () => {
    const stopped = stop();
    await sleep(500);
    const responses = await orders(other);
    await stopped;
    expect(statuses(responses)).to.deep.equal(Array(8).fill(200));
    expect(stopping.upstream.receivedRequests).to.deep.equal([]);
  });

  // Guards against connections that are closed without a response to a request that has run.
  it('responds to requests that outlast its grace before it closes their connections', async () => {
    const responses = orders(stopping);
    await sleep(100);
    const [, ...received] = await Promise.all([stop(), responses]);
    expect(statuses(received.flat())).to.deep.equal(Array(8).fill(504));
  });

  // Guards against requests that a daemon reads late, as its event loop lags, and whose connections it closes without a response.
  it('responds to requests that it has read late before it closes their connections', async () => {
    const [ip, port] = stopping.daemon.addresses.get('callers')!.split(':');
    const sockets = Array.from({ length: KEPT_CONNECTIONS }, () => connect(Number(port), ip));
    for (const socket of sockets) socket.on('error', () => undefined);
    await Promise.all(sockets.map(socket => once(socket, 'connect')));
    await stopping.daemon.drain();
    const closed = stopping.daemon[Symbol.asyncDispose]();
    // After this phase of the event loop, timers run before connections are read.
    await new Promise(setImmediate);
    const received = sockets.map((socket, i) => sendOver(socket, `late-${String(i)}`));
    standStill();
    const [statuses] = await Promise.all([Promise.all(received), closed]);
    expect(statuses).to.deep.equal(Array(KEPT_CONNECTIONS).fill(503));
  });
});
