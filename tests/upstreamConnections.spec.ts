import { StreamPacer, UpstreamConnections, isConnectFailure, type UpstreamResponse } from '@cleatquay/calls';
import { NEVER_CANCELLED, SystemClock } from '@cleatquay/clock';
import { expect } from 'chai';
import { type AddressInfo, type Server, type Socket, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';
/** Each is read at once; the last one is the first beyond what an exchange buffers for a slow reader, so that nothing is left after it. */
const PIECE = 'x'.repeat(48_000);
const PIECES = 5;
/** Of what arrives while reading is held, the first piece is small enough for a socket to read on, and to buffer more than 64 KiB. */
const HELD_PIECES = [10_000, 200_000].map(bytes => 'x'.repeat(bytes));
const PIECE_INTERVAL_MS = 20;
const SLOW_PIECES = Array.from({ length: PIECES }, () => PIECE);
const LONG_BYTES = PIECES * PIECE.length;
const RESPONSES = 20;

describe('the connections to an upstream', () => {
  let upstream: Server;
  let connections: UpstreamConnections;
  /** How the upstream responds on a connection. */
  let respond: (socket: Socket, path: string) => void;

  beforeEach(async () => {
    upstream = createServer(socket => {
      socket.on('error', () => undefined);
      socket.on('data', chunk => respond(socket, /^GET (\S+)/.exec(String(chunk))?.[1] ?? ''));
    });
    await new Promise<void>(resolve => upstream.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${String((upstream.address() as AddressInfo).port)}`;
    const clock = new SystemClock();
    connections = new UpstreamConnections(clock, address, RESPONSES, new StreamPacer(clock));
  });

  afterEach(async () => {
    upstream.close();
    await connections[Symbol.asyncDispose]();
  });

  let requests = 0;
  const send = (path: string): Promise<UpstreamResponse> =>
    connections.send(
      {
        id: `q${String(++requests)}`,
        method: 'GET',
        path,
        headers: [],
        body: undefined,
        idempotent: true,
        isOwnResponse: () => true,
        onOwnResponse: () => undefined,
      },
      NEVER_CANCELLED,
    );
  /** Reads a response slowly at its beginning; returns its length. */
  const read = async ({ start, rest }: UpstreamResponse, pauseMs = 0): Promise<number> => {
    let bytes = start.length;
    await sleep(pauseMs);
    if (rest) for await (const chunk of rest) bytes += chunk.length;
    return bytes;
  };

  describe('that fail', () => {
    const systemError = (code: string, syscall: string) => Object.assign(new Error(code), { code, syscall });

    // Guards against a request that counts as not run since the network failed while it ran.
    it('count as refused only if they could not be opened', () => {
      expect(isConnectFailure(systemError('EHOSTUNREACH', 'connect'))).to.equal(true);
      expect(isConnectFailure(systemError('EHOSTUNREACH', 'read'))).to.equal(false);
      expect(isConnectFailure(systemError('ECONNRESET', 'connect'))).to.equal(false);
    });

    it('count as refused if the upstream does not listen', async () => {
      await new Promise(resolve => upstream.close(resolve));
      const failure = await send('/').then(
        () => undefined,
        (error: unknown) => error,
      );
      expect(isConnectFailure(failure)).to.equal(true);
    });
  });

  describe('that end with a response', () => {
    // Guards against complete responses that count as truncated since another connection ended.
    it('truncate no other response', async () => {
      respond = (socket, path) => {
        socket.write(`${HEAD}\r\n${'x'.repeat(100_000)}`);
        setTimeout(() => socket.end('x'.repeat(60_000)), Number(path.slice(1)));
      };
      const lengths = await Promise.all(
        Array.from({ length: RESPONSES }, async (_, i) => read(await send(`/${String(10 * i)}`))),
      );
      expect(lengths).to.deep.equal(Array.from({ length: RESPONSES }, () => 160_000));
    });

    for (const hasLength of [false, true]) {
      const title = hasLength ? 'with a length' : 'without a length';
      const headFor = (bytes: number) =>
        `${HEAD}${hasLength ? `Content-Length: ${String(bytes)}\r\n` : ''}\r\n`;
      // Guards against the end of the process, by an assertion of undici, when a paused response ends with its connection.
      it(`deliver it whole to a slow reader, ${title}`, async () => {
        respond = socket => void sendInPieces(socket, headFor(LONG_BYTES));
        const lengths = await Promise.all(
          Array.from({ length: RESPONSES }, async () =>
            read(await send('/'), 2 * PIECES * PIECE_INTERVAL_MS),
          ),
        );
        expect(lengths).to.deep.equal(Array.from({ length: RESPONSES }, () => LONG_BYTES));
      });

      // Guards against a part of a body that counts as bytes outside of it, since it was buffered in one piece.
      it(`deliver it whole to a slow reader, though much of it is read at once, ${title}`, async () => {
        const pieces = [...SLOW_PIECES, ...HELD_PIECES];
        const bytes = pieces.join('').length;
        respond = socket => void sendInPieces(socket, headFor(bytes), pieces);
        expect(await read(await send('/'), 2 * pieces.length * PIECE_INTERVAL_MS)).to.equal(bytes);
      });

      // The same when the connection is reset meanwhile.
      it(`report that it is truncated after a reset, ${title}`, async () => {
        respond = socket => {
          socket.write(headFor(8 * LONG_BYTES) + PIECE.repeat(4 * PIECES));
          setTimeout(() => socket.resetAndDestroy(), 50);
        };
        for (let i = 0; i < RESPONSES; i++) {
          const failure = await read(await send('/'), 10 * i).then(
            () => undefined,
            (error: unknown) => error,
          );
          expect(failure).to.be.instanceOf(Error);
        }
      });
    }
  });
});

async function sendInPieces(socket: Socket, head: string, pieces = SLOW_PIECES): Promise<void> {
  socket.write(head);
  for (const piece of pieces) {
    socket.write(piece);
    await sleep(PIECE_INTERVAL_MS);
  }
  socket.end();
}
