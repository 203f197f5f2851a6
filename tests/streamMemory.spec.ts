import { LinkClient, LinkServer, RequestScheduler, createPart, replay } from '@cleatquay/calls';
import { NEVER_CANCELLED, SystemClock } from '@cleatquay/clock';
import { type AnswerPart } from '@cleatquay/protocol';
import { expect } from 'chai';
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { CALL_CONTEXT } from './fixtures/callContext.js';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet } from './fixtures/platformProcesses.js';
import { peakMemory } from './fixtures/processMemory.js';

const MEGABYTE = 1_048_576;
const PART_BYTES = 65_536;
const SHARED_BYTES = 8 * MEGABYTE;
const STREAMS = 300;

describe('responses that stream over one link at the same time', () => {
  const clock = new SystemClock();
  let listener: Server;
  let sockets: Socket[];
  let sentParts: number;
  let parts: number;

  const stream = async function* (): AsyncGenerator<AnswerPart> {
    for (let i = 1; i < parts; i++) {
      yield createPart({ body: Buffer.alloc(PART_BYTES) });
      sentParts++;
    }
    yield replay({ head: { status: 200, headers: '', unframed: false }, body: Buffer.alloc(PART_BYTES) });
  };

  beforeEach(async () => {
    sockets = [];
    sentParts = 0;
    listener = createServer(socket => {
      sockets.push(socket);
      new LinkServer(socket, {
        clock,
        scheduler: new RequestScheduler(clock, () => false),
        process: 'p',
        configuration: () => ({ generation: 0, applyId: '', digest: '', baseDigest: '', sections: [] }),
        handle: () => Promise.resolve({ first: createPart({}), rest: stream() }),
      });
    });
    await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    for (const socket of sockets) socket.destroy();
    listener.close();
  });

  const open = async () => {
    const socket = connect((listener.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    const link = new LinkClient(clock, 'peer', socket, () => undefined);
    const texts = { service: 's', method: 'GET', path: '/', headers: '', fingerprint: '' };
    const head = { ...texts, context: CALL_CONTEXT, endedStarts: [], notice: undefined };
    const exchange = () => link.exchange(head, Buffer.alloc(0), NEVER_CANCELLED);
    const responses = await Promise.all(Array.from({ length: STREAMS }, exchange));
    return responses.map(({ rest }) => rest![Symbol.asyncIterator]());
  };

  // Guards against memory that grows with the number of streams whose callers do not read.
  it('buffer one part each, and 8 MiB together, while nobody reads them', async () => {
    parts = 100;
    const streams = await open();
    await Promise.all(streams.map(one => one.next()));
    await sleep(500);
    const unreadBytes = (sentParts - STREAMS) * PART_BYTES;
    expect(unreadBytes).to.be.at.most(SHARED_BYTES + STREAMS * PART_BYTES);
  });

  it('arrive whole, more than the shared memory takes', async () => {
    parts = 6;
    const readAll = async (one: AsyncIterator<AnswerPart>) => {
      let bytes = 0;
      for (let next = await one.next(); next.done !== true; next = await one.next())
        bytes += next.value.body.length;
      return bytes;
    };
    const lengths = await Promise.all((await open()).map(readAll));
    expect(lengths).to.deep.equal(Array(STREAMS).fill(parts * PART_BYTES));
  });
});

describe('responses without end to callers that do not read, six hundred at once', () => {
  const UPSTREAMS = 6;
  const CALLERS = 600;
  const KILLED_AT_BYTES = 350 * MEGABYTE;
  const CHUNKS = `HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n`;

  // Guards against a daemon that is killed for its memory, and with it the requests of all other callers.
  it('leave every daemon below the limit at which it is killed, and other requests are served', async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    await using fleet = await ProcessFleet.start(
      ['history', ...Array<string>(UPSTREAMS).fill('receiving')].map(service => ({
        service,
        failureDomain: 'z',
      })),
      [routeTo('history'), routeTo('receiving', { timeoutS: 3 })],
      { asDeployed: true },
    );
    const [ingress, ...others] = fleet.nodes;
    for (const { upstream } of others)
      Object.assign(upstream.behaviour, {
        slots: CALLERS,
        fault: () => 'endless',
        endless: { beginning: CHUNKS, repeated: `1000\r\n${'x'.repeat(4096)}\r\n` },
      });
    await fleet.waitForLowLag();
    const [host = '', port] = ingress!.callerAddress.split(':');
    const sockets = Array.from({ length: CALLERS }, (_, i) => {
      const socket = connect({ host, port: Number(port), localAddress: '127.0.0.2' });
      socket.on('error', () => undefined);
      socket.pause();
      socket.write(`GET /x HTTP/1.1\r\nHost: receiving.example\r\nRequest-Id: u${String(i)}\r\n\r\n`);
      return socket;
    });
    const peaks = await peakMemory(
      fleet.nodes.map(({ pid }) => pid),
      sleep(4000),
    );
    for (const socket of sockets) socket.destroy();
    for (const bytes of peaks) expect(bytes).to.be.below(KILLED_AT_BYTES);
    const refusals: string[] = [];
    for (let i = 0; i < 20; i++) {
      const { status, text } = await ingress!.exchange({
        host: 'history.example',
        path: '/x',
        id: `o${String(i)}`,
      });
      if (status !== 200) refusals.push(`${String(i)}: ${String(status)} ${text}`);
    }
    expect(refusals).to.deep.equal([]);
  });
});
