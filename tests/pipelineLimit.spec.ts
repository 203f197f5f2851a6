import { expect } from 'chai';
import { type WholeMessage, wholeResponse } from './fixtures/httpMessages.js';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet } from './fixtures/platformProcesses.js';
import { type ReceivedBytes, openConnection } from './fixtures/rawConnections.js';

const WORK_MS = 1500;
const REQUESTS_BEHIND = 12_000;
/** A daemon serves so many requests of a connection at the same time. */
const MIN_SERVED = 16;
const CONNECTIONS = [1, 4];

const head = (method: string, host: string, id: string) =>
  `${method} /x HTTP/1.1\r\nHost: ${host}.example\r\nDeadline-Ms: 10000\r\nRequest-Id: ${id}\r\n`;

/** All responses on a connection that has ended. */
function responsesOf({ bytes, end }: ReceivedBytes): WholeMessage[] {
  const responses: WholeMessage[] = [];
  for (let rest = bytes; rest.length > 0;) {
    const response = wholeResponse(rest, end);
    if (!response) throw new Error('The last response is incomplete.');
    responses.push(response);
    rest = response.rest;
  }
  return responses;
}

describe('a caller that pipelines more requests than a daemon keeps', () => {
  let fleet: ProcessFleet;

  before(async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    fleet = await ProcessFleet.start(
      ['history', 'receiving'].map(service => ({ service, failureDomain: 'z' })),
      [routeTo('history'), routeTo('receiving', { kind: 'non_idempotent', maxAttempts: 1, timeoutS: 10 })],
    );
    const [history, receiving] = fleet.nodes;
    Object.assign(history!.upstream.behaviour, { slots: 100 });
    Object.assign(receiving!.upstream.behaviour, { workMs: WORK_MS, slots: 100 });
    await fleet.waitForLowLag();
  });

  after(() => fleet[Symbol.asyncDispose]());

  /** Ids of the requests of a connection that upstreams have received. */
  const receivedOf = (prefix: string) =>
    fleet.nodes
      .flatMap(({ upstream }) => upstream.receivedRequests.map(({ requestId }) => requestId))
      .filter(id => id.startsWith(prefix));

  /** A request that runs for a while, and many behind it, in one write. */
  const sendMany = async (prefix: string): Promise<ReceivedBytes> => {
    const connection = openConnection(fleet.nodes[0]!.callerAddress);
    const behind = Array.from(
      { length: REQUESTS_BEHIND },
      (_, i) => `${head('GET', 'history', `${prefix}${String(i + 1)}`)}\r\n`,
    );
    const first = `${head('POST', 'receiving', `${prefix}0`)}Content-Length: 0\r\n\r\n`;
    connection.socket.write(first + behind.join(''));
    await connection.closed;
    return connection;
  };

  const expectServedInOrder = (prefix: string, connection: ReceivedBytes) => {
    expect(connection.end).to.equal('ordinary');
    const responses = responsesOf(connection);
    const last = responses.pop()!;
    expect(last.start).to.equal('503');
    expect(last.headers.get('connection')).to.equal('close');
    expect(responses.length).to.be.at.least(MIN_SERVED);
    const ids = responses.map((_, i) => `${prefix}${String(i)}`);
    expect(responses.map(({ body }) => /^\w+/.exec(body.toString('latin1'))?.[0])).to.deep.equal(ids);
    expect(receivedOf(prefix).sort()).to.deep.equal(ids.sort());
  };

  for (const count of CONNECTIONS)
    // Guards against a limit on what waits that ends what runs, and against requests that run and get no response.
    it(`gets all responses to what was passed on, then an orderly end, on ${String(count)} connections`, async () => {
      const prefixes = Array.from({ length: count }, (_, i) => `c${String(count)}x${String(i)}n`);
      const connections = await Promise.all(prefixes.map(sendMany));
      prefixes.forEach((prefix, i) => expectServedInOrder(prefix, connections[i]!));
    });
});
