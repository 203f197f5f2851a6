/**
 * What users saw: during a planned restart, a daemon closed connections on which requests were waiting for answers, without a
 * word. An upstream had just begun to work on them.
 *
 * Order of events: the daemon is told to end and its readiness check fails. For a moment nothing is in flight. It stops waiting,
 * lets nobody in any more, and gives its last bytes 100 ms to leave. A caller that still has an open connection sends a request in
 * these 100 ms; the daemon sends it on, and closes all connections before the answer is there.
 *
 * Cause: the decision to end took effect on the listeners only. Whatever came over an open connection was still taken, up to the
 * end of the whole grace, though the daemon was to live for 100 ms more.
 *
 * Evidence: the connections were closed 2.78 s after the daemon had been told to end. Its grace would have lasted for 5.1 s;
 * 2.3 s until it is seen unready, a wait for a moment with nothing in flight, and 0.1 s make 2.4 s and more. Other daemons logged their end
 * 2.50 to 2.51 s after they were told. Here, on the code before: one request ran and got no answer, in 3 of 3 runs.
 */
import { expect } from 'chai';
import { once } from 'node:events';
import { type Socket, connect } from 'node:net';
import { PlatformFleet, type PlatformNode, routeTo } from './fixtures/platformFleet.js';

/** Work of an upstream on a request, ms: longer than a daemon waits with its last bytes. */
const WORK_MS = 150;
/** Between two requests, ms: after each there is a moment with nothing in flight. */
const EVERY_MS = 190;
const DEADLINE_MS = 400;
/** Longer than the grace of the daemon, which is 3 s. */
const REQUESTS = 18;

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Sends a request over an open connection; gives the status, 0 if the connection ends without an answer. */
async function askOver(socket: Socket, id: string): Promise<number> {
  if (socket.destroyed) return 0;
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  const closed = once(socket, 'close');
  socket.write(
    `GET /x HTTP/1.1\r\nHost: history.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${String(DEADLINE_MS)}\r\n\r\n`,
  );
  await closed;
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
}

describe('an entry that ends while callers keep using their open connections', () => {
  let fleet: PlatformFleet;
  let entry: PlatformNode;

  beforeEach(async () => {
    const behaviour = { workMs: WORK_MS };
    fleet = await PlatformFleet.start(
      [{ service: 'alarms' }, { service: 'history', behaviour }],
      [routeTo('history')],
    );
    entry = fleet.nodes.splice(0, 1)[0]!;
  });

  afterEach(async () => {
    await entry.upstream[Symbol.asyncDispose]();
    await entry.store[Symbol.asyncDispose]();
    await fleet[Symbol.asyncDispose]();
  });

  const connections = async () => {
    const [ip, port] = entry.daemon.addresses.get('callers')!.split(':');
    const sockets = Array.from({ length: REQUESTS }, () => connect(Number(port), ip));
    await Promise.all(sockets.map(socket => once(socket, 'connect')));
    for (const socket of sockets) socket.on('error', () => undefined);
    return sockets;
  };
  const endEntry = async () => {
    await entry.daemon.drain();
    await entry.daemon[Symbol.asyncDispose]();
  };

  it('gives an answer to each request that it has sent on', async () => {
    const sockets = await connections();
    const ended = endEntry();
    const statuses: Promise<number>[] = [];
    for (const [index, socket] of sockets.entries()) {
      statuses.push(askOver(socket, `kept-${String(index)}`));
      await pause(EVERY_MS);
    }
    await ended;
    const unanswered = (await Promise.all(statuses))
      .map((status, index) => ({ status, runs: fleet.runs(`kept-${String(index)}`) }))
      .filter(({ status, runs }) => status === 0 && runs > 0);
    expect(unanswered).to.deep.equal([]);
    expect(await Promise.all(statuses)).to.include(200);
  });
});
