import { createPart, singlePartResponse } from '@cleatquay/calls';
import { type CancelSignal } from '@cleatquay/clock';
import { type AnswerPart, createRefusal, refusalPart } from '@cleatquay/protocol';
import { PipelinedRequests } from '@cleatquay/daemon';
import { expect } from 'chai';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { startGateway } from './fixtures/callerGateway.js';
import { PlatformFleet, routeTo, until } from './fixtures/platformFleet.js';

describe('requests that a caller pipelines on one connection', () => {
  let fleet: PlatformFleet;

  beforeEach(async () => {
    const behaviour = { slots: 8, workMs: 100 };
    fleet = await PlatformFleet.start(
      [
        { service: 'history', behaviour },
        { service: 'history', behaviour },
      ],
      [routeTo('history')],
    );
  });
  afterEach(() => fleet[Symbol.asyncDispose]());

  const requestWithId = (id: string) =>
    `GET /x HTTP/1.1\r\nHost: history.example\r\nDeadline-Ms: 2000\r\nRequest-Id: ${id}\r\n\r\n`;

  /** Sends the bytes in one write; resolves with all that the daemon sends until it closes the connection. */
  const exchange = async (bytes: string): Promise<string> => {
    const [ip, port] = fleet.nodes[0]!.daemon.addresses.get('callers')!.split(':');
    const socket = connect(Number(port), ip);
    socket.write(bytes);
    const chunks: Buffer[] = [];
    for await (const chunk of socket as AsyncIterable<Buffer>) chunks.push(chunk);
    return Buffer.concat(chunks).toString('latin1');
  };
  const statuses = (text: string) => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status);
  const bodies = (text: string) => [...text.matchAll(/(\w+) x{200}/g)].map(([, id]) => id);

  // Guards against a 400 that is sent before the responses to earlier requests, and is taken for one of them.
  it('get their responses before the response to invalid bytes behind them, which run nothing', async () => {
    const text = await exchange(
      `${requestWithId('p1')}${requestWithId('p2')}gibberish\r\n\r\n${requestWithId('p3')}`,
    );
    expect(statuses(text)).to.deep.equal(['200', '200', '400']);
    expect(bodies(text)).to.deep.equal(['p1', 'p2']);
    expect(text.split('HTTP/1.1 400')[1]).to.match(/connection: close/i);
    expect(fleet.runs('p3')).to.equal(0);
  });

  // Guards against requests that run behind a response which closes their connection, and get no response, while the daemon shuts down.
  it('get complete responses in order while the daemon shuts down, the last of which closes the connection', async () => {
    const ids = ['d1', 'd2', 'd3', 'd4'];
    const responses = exchange(ids.map(requestWithId).join(''));
    await until(() => fleet.runs('d1') > 0);
    const drained = fleet.nodes[0]!.daemon.drain();
    const late = exchange(ids.map(id => requestWithId(`late${id}`)).join(''));
    await drained;
    const [node] = fleet.nodes.splice(0, 1);
    await node!.upstream[Symbol.asyncDispose]();
    await node!.daemon[Symbol.asyncDispose]();
    expect(bodies(await responses)).to.deep.equal(ids);
    const lateText = await late;
    expect(bodies(lateText)).to.deep.equal(ids.map(id => `late${id}`));
    const closing = lateText.split('HTTP/1.1 200').map(text => /connection: close/i.test(text));
    expect(closing).to.deep.equal([false, false, false, false, true]);
  });

  // Guards against requests that count as in flight, and go on, for good after their caller has disconnected: a stop would wait for them.
  it('end when the caller disconnects, also those whose responses wait for an earlier one', async () => {
    let inFlight = 0;
    const signals: CancelSignal[] = [];
    const gateway = await startGateway({
      ingress: {
        handle: (_request, _body, signal) => {
          signals.push(signal);
          return new Promise(() => undefined);
        },
      },
      onRequestStart: () => {
        inFlight++;
        return () => inFlight--;
      },
    });
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    caller.write(['p1', 'p2', 'p3'].map(requestWithId).join(''));
    await until(() => signals.length === 3);
    caller.destroy();
    await until(() => signals[0]?.aborted === true);
    await new Promise(resolve => setTimeout(resolve, 50));
    gateway.server.close();
    expect(signals.map(signal => signal.aborted)).to.deep.equal([true, true, true]);
    expect(inFlight).to.equal(0);
  });

  // Guards against requests that run behind a response which is cut, and get no response since it takes their connection with it.
  it('run one after the other if they may change something, and not behind a response that is cut', async () => {
    const handled: string[] = [];
    const gateway = await startGateway({
      ingress: {
        handle: async ({ requestId }) => {
          handled.push(requestId);
          await new Promise(resolve => setTimeout(resolve, 50));
          const isCut = requestId === 'p2';
          const head = { status: 200, headers: '', unframed: false };
          return isCut ? { first: createPart({ head }), rest: noParts() } : refusedResponse();
        },
      },
    });
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    caller.on('error', () => undefined).resume();
    const ids = ['p1', 'p2', 'p3', 'p4'];
    caller.write(
      ids.map(id => requestWithId(id).replace(/GET(.*)\r\n$/s, 'POST$1Content-Length: 0\r\n\r\n')).join(''),
    );
    await once(caller, 'close');
    await new Promise(resolve => setTimeout(resolve, 100));
    gateway.server.close();
    expect(handled).to.deep.equal(['p1', 'p2']);
  });

  // Guards against a daemon that reads what it can't keep: each read would hold another 64 KiB, or take time that other callers need.
  it('are read no further once they are more than the daemon keeps', async () => {
    const sockets: Socket[] = [];
    const gateway = await startGateway({ ingress: { handle: () => new Promise(() => undefined) } });
    gateway.server.on('connection', socket => sockets.push(socket));
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    caller.write(Array.from({ length: 20_000 }, (_, i) => requestWithId(`w${String(i)}`)).join(''));
    await until(() => (sockets[0]?.bytesRead ?? 0) > 0);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(sockets[0]!.bytesRead).to.be.at.most(2 * 65_536);
    caller.destroy();
    gateway.server.closeAllConnections();
    gateway.server.close();
  });

  // Guards against memory that counts as taken after the connection whose requests took it has closed.
  it('have room again once the connections that took all of it have closed', async () => {
    let full = 0;
    let outstanding = 0;
    const server = createServer(() => outstanding++).listen(0, '127.0.0.1');
    new PipelinedRequests(() => full++).watch(server);
    server.on('clientError', () => undefined);
    await once(server, 'listening');
    const send = (count: number) => {
      const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
      caller.on('error', () => undefined).resume();
      caller.write(Array.from({ length: count }, (_, i) => requestWithId(`r${String(i)}`)).join(''));
    };
    for (let i = 1; i <= 20; i++) send(2000);
    await until(() => full >= 20);
    server.closeAllConnections();
    await new Promise(resolve => setTimeout(resolve, 50));
    outstanding = 0;
    send(100);
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(outstanding).to.equal(100);
    server.closeAllConnections();
    server.close();
  });

  // Guards against requests that a daemon takes for outstanding for good: Node.js reports the end of a connection to one response only.
  it('have all ended when their caller disconnects, also those whose turn has not come', async () => {
    let outstanding = 0;
    const gateway = await startGateway({
      ingress: { handle: () => new Promise(() => undefined) },
      onRequestStart: () => {
        outstanding++;
        return () => outstanding--;
      },
    });
    const socket = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    socket.write(Array.from({ length: 40 }, (_, i) => requestWithId(`g${String(i)}`)).join(''));
    await until(() => outstanding === 40);
    socket.destroy();
    await until(() => outstanding === 0);
    gateway.server.close();
  });
});

const refusedResponse = () => singlePartResponse(refusalPart(createRefusal('overloaded', 'Full.'), 0));

// eslint-disable-next-line @typescript-eslint/no-empty-function -- a response that ends early
async function* noParts(): AsyncGenerator<AnswerPart> {}
