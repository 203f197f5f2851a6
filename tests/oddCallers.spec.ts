/**
 * Callers that do odd things on a kept connection while a request is in flight on it. `CLEATQUAY_SEED` selects other cases; `CLEATQUAY_ROUNDS` sets the
 * number of rounds.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { setImmediate as nextIteration, setTimeout as sleep } from 'node:timers/promises';
import { type WholeMessage, wholeResponse } from './fixtures/httpMessages.js';
import { PlatformFleet, routeTo, until } from './fixtures/platformFleet.js';
import { type ReceivedBytes, openConnection } from './fixtures/rawConnections.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 8);
const CALLERS = 6;
const WORK_MS = 100;
/** Longer than any response takes. */
const MAX_WAIT_MS = 8000;
const POLL_MS = 10;
const LONG_HEADER = 'x'.repeat(40_000);

/** Bytes of a caller. */
interface Piece {
  readonly bytes: string;
  /** Complete requests in it. */
  readonly requests: number;
  /** Whether it ends within a request; what followed would be a part of that. */
  readonly isOpen?: boolean;
}

/** Makes the piece whose first request has this index on the connection. */
type OddThing = (idOf: (index: number) => string, index: number) => Piece;

interface Caller {
  readonly method: 'GET' | 'POST';
  /** Whether all is sent before the first request has reached an upstream. */
  readonly isAtOnce: boolean;
  readonly things: readonly { readonly make: OddThing; readonly isByteByByte: boolean }[];
}

const head = (id: string, method = 'GET', more = '') =>
  `${method} /x HTTP/1.1\r\nHost: history.example\r\nDeadline-Ms: 7000\r\nRequest-Id: ${id}\r\n${more}`;

const oddThings: Record<string, OddThing> = {
  partOfHead: (idOf, index) => ({ bytes: head(idOf(index)), requests: 0, isOpen: true }),
  partOfBody: (idOf, index) => ({
    bytes: `${head(idOf(index), 'POST', 'Content-Length: 100\r\n')}\r\npart`,
    requests: 0,
    isOpen: true,
  }),
  noHttp: () => ({ bytes: 'gibberish\r\n\r\n', requests: 0 }),
  longHead: (idOf, index) => ({
    bytes: `${head(idOf(index), 'GET', `Long: ${LONG_HEADER}\r\n`)}\r\n`,
    requests: 1,
  }),
  requestThatCloses: (idOf, index) => ({
    bytes: `${head(idOf(index), 'GET', 'Connection: close\r\n')}\r\n`,
    requests: 1,
  }),
  request: (idOf, index) => ({ bytes: `${head(idOf(index))}\r\n`, requests: 1 }),
  fewRequests: (idOf, index) => many(idOf, index, 20),
  manyRequests: (idOf, index) => many(idOf, index, 1500),
};

function many(idOf: (index: number) => string, index: number, requests: number): Piece {
  const bytes = Array.from({ length: requests }, (_, i) => `${head(idOf(index + i))}\r\n`).join('');
  return { bytes, requests };
}

const callers: fc.Arbitrary<Caller[]> = fc.array(
  fc.record({
    method: fc.constantFrom('GET' as const, 'POST' as const),
    isAtOnce: fc.boolean(),
    things: fc.array(
      fc.record({
        make: fc.constantFrom(...Object.values(oddThings)),
        isByteByByte: fc.boolean(),
      }),
      { minLength: 1, maxLength: 3 },
    ),
  }),
  { minLength: CALLERS, maxLength: CALLERS },
);

/** The responses on a connection that are whole so far. */
function responsesOf({ bytes, end }: ReceivedBytes): WholeMessage[] {
  const responses: WholeMessage[] = [];
  let response = wholeResponse(bytes, end);
  for (; response; response = wholeResponse(response.rest, end)) responses.push(response);
  return responses;
}

describe('callers that do odd things while a request is in flight', () => {
  let fleet: PlatformFleet;
  let count = 0;

  before(async () => {
    fleet = await PlatformFleet.start(
      [{ service: 'history', behaviour: { slots: 100, workMs: WORK_MS } }],
      [routeTo('history', { kind: 'non_idempotent', maxAttempts: 1, timeoutS: 10, priority: 0 })],
    );
  });
  after(() => fleet[Symbol.asyncDispose]());

  const receivedIds = () => fleet.nodes[0]!.upstream.receivedRequests.map(({ requestId }) => requestId);

  /** Plays a caller, and returns what it received, with the ids that an upstream received of it. */
  const play = async ({ method, isAtOnce, things }: Caller) => {
    const prefix = `odd${String(++count)}n`;
    const idOf = (index: number) => `${prefix}${String(index)}`;
    const connection = openConnection(fleet.nodes[0]!.daemon.addresses.get('callers')!);
    connection.socket.setNoDelay();
    let requests = 1;
    connection.socket.write(`${head(idOf(0), method, 'Content-Length: 0\r\n')}\r\n`);
    if (!isAtOnce) await until(() => receivedIds().includes(idOf(0)));
    for (const { make, isByteByByte } of things) {
      const piece = make(idOf, requests);
      requests += piece.requests;
      await write(connection, piece.bytes, isByteByByte);
      if (piece.isOpen) break;
    }
    const responses = await responsesTo(connection, requests);
    connection.socket.destroy();
    return { idOf, responses, received: receivedIds().filter(id => id.startsWith(prefix)) };
  };

  const write = async ({ socket }: ReceivedBytes, bytes: string, isByteByByte: boolean) => {
    const MAX_SINGLE_BYTES = 400;
    const single = isByteByByte ? Math.min(bytes.length, MAX_SINGLE_BYTES) : 0;
    for (const byte of bytes.slice(0, single)) {
      if (!socket.writable) return;
      socket.write(byte);
      await nextIteration();
    }
    if (socket.writable) socket.write(bytes.slice(single));
  };

  const responsesTo = async (connection: ReceivedBytes, requests: number) => {
    const deadline = performance.now() + MAX_WAIT_MS;
    for (;;) {
      const responses = responsesOf(connection);
      const isOver = connection.end !== undefined || responses.length >= requests;
      if (isOver || performance.now() > deadline) return responses;
      await sleep(POLL_MS);
    }
  };

  // Guards against input, and limits on it, that cost a request its response which an upstream runs.
  it('get the response to each request that was passed on, in order', async () => {
    await fc.assert(
      fc.asyncProperty(callers, async round => {
        for (const { idOf, responses, received } of await Promise.all(round.map(play))) {
          expect(responses.length).to.be.at.least(1);
          const answered = responses.map((_, index) => idOf(index));
          expect(received.filter(id => !answered.includes(id))).to.deep.equal([]);
          responses.forEach(({ start, body }, index) => {
            const id = idOf(index);
            if (received.includes(id)) expect(start).to.equal('200');
            if (start === '200') expect(/^\w+/.exec(body.toString('latin1'))?.[0]).to.equal(id);
          });
        }
      }),
      { numRuns: ROUNDS },
    );
  }).timeout(60_000 + ROUNDS * 2 * MAX_WAIT_MS);
});
