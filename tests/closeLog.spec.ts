import { type CallResponse, createPart, singlePartResponse } from '@cleatquay/calls';
import { CloseLog, type RelayGateway } from '@cleatquay/daemon';
import { type AnswerPart, createRefusal, refusalPart } from '@cleatquay/protocol';
import { expect } from 'chai';
import { once } from 'node:events';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { startGateway } from './fixtures/callerGateway.js';
import { until } from './fixtures/platformFleet.js';

const request = (id: string) => `GET /x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\n\r\n`;
const requests = (count: number) =>
  Array.from({ length: count }, (_, i) => request(`r${String(i)}`)).join('');

const refused = singlePartResponse(refusalPart(createRefusal('overloaded', 'Full.'), 0));

// eslint-disable-next-line @typescript-eslint/no-empty-function -- a response that ends early
async function* noParts(): AsyncGenerator<AnswerPart> {}

// Guards against connections that end with requests in flight while nothing says who decided on that.
describe('CloseLog', () => {
  let lines: object[];
  let closeLog: CloseLog;
  let gateway: RelayGateway;
  let handled: number;
  let response: Promise<CallResponse>;

  beforeEach(async () => {
    lines = [];
    handled = 0;
    response = new Promise(() => undefined);
    closeLog = new CloseLog({ lagMs: () => 7.4, log: (_message, facts) => lines.push(facts) });
    gateway = await startGateway({
      closeLog,
      ingress: {
        handle: () => {
          handled++;
          return response;
        },
      },
    });
  });
  afterEach(() => gateway.server.closeAllConnections());

  const send = async (bytes: string, count: number): Promise<Socket> => {
    const socket = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined).resume();
    socket.write(bytes);
    await until(() => handled === count);
    return socket;
  };

  it('says how far the requests on the connection were', async () => {
    await send(requests(20), 16);
    gateway.server.closeAllConnections();
    await until(() => lines.length === 1);
    const facts = { requests: 20, waiting: 4, 'passed-on': 16, responding: 0 };
    expect(lines).to.deep.equal([{ reason: 'unasked', ...facts, lagMs: 7 }]);
  });

  it('tells an end of the sending side, a reset, a close that nothing asked for, and the end of a drain apart', async () => {
    (await send(request('a'), 1)).end();
    await until(() => lines.length === 1);
    (await send(request('b'), 2)).resetAndDestroy();
    await until(() => lines.length === 2);
    const unasked = await send(request('c'), 3);
    gateway.server.closeAllConnections();
    await once(unasked, 'close');
    await until(() => lines.length === 3);
    await send(request('d'), 4);
    closeLog.endDrain();
    gateway.server.closeAllConnections();
    await until(() => lines.length === 4);
    const reasons = lines.map(line => (line as { reason: string }).reason);
    expect(reasons).to.deep.equal(['callerEnd', 'socketError', 'unasked', 'drainEnd']);
  });

  it('names a response that was cut', async () => {
    const first = createPart({ head: { status: 200, headers: '', unframed: false } });
    response = Promise.resolve({ first, rest: noParts() });
    await send(request('a'), 1);
    await until(() => lines.length === 1);
    expect(lines[0]).to.include({ reason: 'cutResponse', requests: 1, responding: 1 });
  });

  it('writes nothing for a connection without a request in flight', async () => {
    response = Promise.resolve(refused);
    const socket = await send(request('a'), 1);
    await until(() => socket.bytesRead > 0);
    socket.end();
    await once(socket, 'close');
    await new Promise(resolve => setTimeout(resolve, 50));
    expect(lines).to.deep.equal([]);
  });
});
