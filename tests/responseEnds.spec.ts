import { expect } from 'chai';
import { type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';
import { RawExchange, type RawRequest, type RawResponse } from './fixtures/rawCaller.js';

const SHORT_BYTES = 10_000;
const LONG_BYTES = 400_000;
/** Enough for each daemon to have begun a long response, and less than the half that the upstream sends at first. */
const BEGUN_BYTES = 100_000;
const REQUESTS = 12;
const ALL_BEGUN = Array.from({ length: REQUESTS }, () => 200);
/** Time that a daemon takes after its start until it serves all requests. */
const STABLE_MS = 300;
/** Time from the crash of an upstream to its next start. */
const RESTART_MS = 500;
/** More than a daemon collects for a caller that can't be told the end of a body without its length. */
const UNCOLLECTABLE_BYTES = 2_000_000;

type Framing = 'length' | 'chunks' | 'close';
/** What the upstream does after the first half of a body. */
type Half = 'continues' | 'waits' | 'ends' | 'resets' | 'crashes';

const FRAMINGS: readonly Framing[] = ['length', 'chunks', 'close'];
const VERSIONS = ['HTTP/1.1', 'HTTP/1.0'] as const;
const HOSTS = ['idempotent.example', 'non_idempotent.example'];
/** Of the upstream whose responses all are delimited by the end of their connection. */
const CLOSING_HOSTS = ['plain-idempotent.example', 'plain-non_idempotent.example'];

/** Of a route on which the upstream that otherwise sends lengths sends none. */
const UNDELIMITED_HOST = 'undelimited.example';
/** Of another such route, on which it completes all responses. */
const EXPORT_HOST = 'export.example';
/** More than show that the upstream means to send none there. */
const MANY = 40;

/** A request's path tells the upstream how to respond. */
const pathOf = (framing: Framing, bytes: number, half: Half): string =>
  `/${framing}/${String(bytes)}/${half}`;

const bodyOf = (id: string, bytes: number): string => `${id} `.repeat(bytes).slice(0, bytes);

function writeHead(socket: Socket, id: string, framing: Framing, bytes: number): void {
  const fields = {
    length: `Content-Length: ${String(bytes)}\r\n`,
    chunks: 'Transfer-Encoding: chunked\r\n',
    close: 'Connection: close\r\n',
  };
  socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Stamp: s\r\n${fields[framing]}\r\n`);
}

/** A path to which the upstream responds with this header field, half of the body, and the ordinary end of its connection. */
const pathOfField = (field: string, bytes: number): string =>
  `/field/${String(bytes)}/${encodeURIComponent(field)}`;

function respondWithField(socket: Socket, id: string, path: string): void {
  const [, , bytes, field] = path.split('/') as [string, string, string, string];
  socket.write(
    `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Stamp: s\r\n${decodeURIComponent(field)}\r\n\r\n`,
  );
  socket.end(bodyOf(id, Number(bytes)).slice(0, Number(bytes) / 2));
}

/** Responds as the path of the request says. */
function respond(socket: Socket, id: string, path: string): void {
  if (path.startsWith('/field/')) return respondWithField(socket, id, path);
  const [, framing, length, half] = path.split('/') as [string, Framing, string, Half];
  const text = bodyOf(id, Number(length));
  const middle = Math.floor(text.length / 2);
  const write = (part: string) =>
    socket.write(framing === 'chunks' ? `${part.length.toString(16)}\r\n${part}\r\n` : part);
  writeHead(socket, id, framing, text.length);
  write(text.slice(0, middle));
  if (half === 'waits' || half === 'crashes') return;
  if (half === 'ends') return void socket.end();
  if (half === 'resets') return void setTimeout(() => socket.resetAndDestroy(), 50);
  setTimeout(() => {
    write(text.slice(middle));
    if (framing === 'chunks') socket.write('0\r\n\r\n');
    if (framing === 'close') socket.end();
  }, 20);
}

describe('the end of a response', () => {
  let fleet: ProcessFleet;
  let upstream: ProcessNode['upstream'];
  let requests = 0;

  before(async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    fleet = await ProcessFleet.start(
      ['history', 'receiving'].map(service => ({ service, failureDomain: 'z' })),
      [
        ...(['idempotent', 'non_idempotent'] as const).map(kind =>
          routeTo('receiving', { name: kind, host: `${kind}.example`, kind, timeoutS: 8 }),
        ),
        ...[UNDELIMITED_HOST, EXPORT_HOST].map(host =>
          routeTo('receiving', { name: host, host, kind: 'non_idempotent', timeoutS: 8 }),
        ),
        ...(['idempotent', 'non_idempotent'] as const).map(kind =>
          routeTo('history', { name: `plain-${kind}`, host: `plain-${kind}.example`, kind, timeoutS: 8 }),
        ),
      ],
      { asDeployed: true },
    );
    upstream = fleet.nodes[1]!.upstream;
    upstream.behaviour.slots = 200;
    upstream.behaviour.scripted = respond;
    upstream.behaviour.fault = (_id, path) => (path === '/ordinary' ? 'none' : 'scripted');
    const { behaviour } = fleet.nodes[0]!.upstream;
    behaviour.slots = 200;
    behaviour.restartDelayMs = RESTART_MS;
    behaviour.fault = () => 'scripted';
    behaviour.scripted = (socket, id, path) => {
      respond(socket, id, path);
      if (path.endsWith('crashes')) setTimeout(() => void fleet.nodes[0]!.upstream.crash(), 50);
    };
    await fleet.waitForLowLag();
  });

  after(() => fleet[Symbol.asyncDispose]());

  const send = (node: number, request: Omit<RawRequest, 'id'>) => {
    const id = `r${String(++requests)}`;
    const exchange = new RawExchange(fleet.nodes[node]!.callerAddress, { ...request, id });
    return { id, exchange };
  };

  const isPart = (id: string, bytes: number, { status, body, looksWhole }: RawResponse) =>
    looksWhole && status === 200 && body.toString('latin1') !== bodyOf(id, bytes);

  /** The ordinary responses of the upstream have lengths. */
  const sendOrdinary = async () => {
    for (const node of [0, 1])
      for (const host of HOSTS) {
        const { status, looksWhole } = await send(node, { host, path: '/ordinary' }).exchange.ended;
        expect([status, looksWhole]).to.deep.equal([200, true]);
      }
  };

  describe('of the upstream, whole', () => {
    for (const version of VERSIONS)
      for (const framing of FRAMINGS)
        for (const bytes of [SHORT_BYTES, LONG_BYTES])
          // Guards against whole responses that are refused, cut or lengthened.
          it(`is whole in ${version} where it has ${String(bytes)} bytes and is delimited by ${framing}`, async () => {
            for (const node of [0, 1])
              for (const host of framing === 'close' ? CLOSING_HOSTS : HOSTS) {
                const path = pathOf(framing, bytes, 'continues');
                const { id, exchange } = send(node, { host, path, version });
                const { status, body, looksWhole } = await exchange.ended;
                expect([status, looksWhole]).to.deep.equal([200, true]);
                expect(body.toString('latin1')).to.equal(bodyOf(id, bytes));
              }
          });
  });

  // Guards against an ordinary end of the connection that is the kernel's, not the daemon's.
  describe('when a daemon ends without a word', () => {
    let ended: ProcessNode | undefined;

    afterEach(async () => {
      await ended?.restart();
      await fleet.waitUntilConverged();
      await sleep(STABLE_MS);
    });

    for (const killed of ['caller', 'upstream'] as const)
      for (const signal of ['SIGKILL', 'SIGABRT'] as const)
        for (const framing of FRAMINGS)
          for (const version of VERSIONS)
            it(`by ${signal}, that of the ${killed}, shows in ${version} where the upstream delimits it by ${framing}`, async () => {
              const isClosing = framing === 'close';
              const host = (isClosing ? CLOSING_HOSTS : HOSTS)[1]!;
              const entry = isClosing ? 1 : 0;
              const path = pathOf(framing, LONG_BYTES, 'waits');
              const sent = Array.from({ length: REQUESTS }, () => send(entry, { host, path, version }));
              const isCollected = version === 'HTTP/1.0' && framing !== 'length';
              if (isCollected) await sleep(500);
              else await Promise.all(sent.map(({ exchange }) => exchange.received(BEGUN_BYTES)));
              ended = fleet.nodes[killed === 'caller' ? entry : 1 - entry]!;
              ended.signal(signal);
              const responses = await Promise.all(sent.map(({ exchange }) => exchange.ended));
              if (!isCollected) expect(responses.map(({ status }) => status)).to.deep.equal(ALL_BEGUN);
              const parts = responses.filter((response, i) => isPart(sent[i]!.id, LONG_BYTES, response));
              expect(parts.length).to.equal(0);
            });
  });

  describe('when the upstream ends it early', () => {
    const ways = ['ends', 'resets'] as const;
    for (const half of ways)
      for (const framing of FRAMINGS)
        for (const bytes of [SHORT_BYTES, LONG_BYTES])
          // Guards against a part that counts as whole since its connection was closed in the ordinary way.
          it(`after ${String(bytes / 2)} bytes, and ${half} a response that is delimited by ${framing}, shows to its caller`, async () => {
            await sendOrdinary();
            const sent = Array.from({ length: REQUESTS }, (_, i) =>
              send(i % 2, { host: HOSTS[i % 4 < 2 ? 0 : 1]!, path: pathOf(framing, bytes, half) }),
            );
            const responses = await Promise.all(sent.map(({ exchange }) => exchange.ended));
            const parts = responses.filter((response, i) => isPart(sent[i]!.id, bytes, response));
            expect(parts.length).to.equal(0);
          });
  });

  /** Sends requests to both routes through both daemons, and returns the responses that look whole and aren't. */
  const partsOf = async (path: string, bytes: number): Promise<RawResponse[]> => {
    const sent = Array.from({ length: REQUESTS }, (_, i) =>
      send(i % 2, { host: HOSTS[i % 4 < 2 ? 0 : 1]!, path }),
    );
    const responses = await Promise.all(sent.map(({ exchange }) => exchange.ended));
    return responses.filter((response, i) => isPart(sent[i]!.id, bytes, response));
  };

  // Guards against refused parts that, by their number, make the next ones count as whole.
  it('shows however many responses in a row the upstream has ended early', async () => {
    await sendOrdinary();
    const path = pathOf('close', SHORT_BYTES, 'ends');
    const parts: RawResponse[] = [];
    for (let i = 0; i < 8; i++) parts.push(...(await partsOf(path, SHORT_BYTES)));
    expect(parts.length).to.equal(0);
  });

  // Guards against whole responses that are refused for good on a route of an upstream that sends lengths on others.
  it('is that of its connection on a route on which the upstream sends no other responses', async () => {
    await sendOrdinary();
    const path = pathOf('close', SHORT_BYTES, 'continues');
    const statuses: number[] = [];
    for (let i = 0; i < 40; i++)
      statuses.push((await send(i % 2, { host: UNDELIMITED_HOST, path }).exchange.ended).status);
    expect(statuses.slice(0, 32)).to.deep.equal(Array.from({ length: 32 }, () => 502));
    expect(statuses.slice(32)).to.deep.equal(Array.from({ length: 8 }, () => 200));
  });

  for (const coding of ['identity', 'gzip', 'chunked, gzip'])
    for (const bytes of [SHORT_BYTES, LONG_BYTES])
      // Guards against a transfer coding that is taken for chunks: without them last, the end of the connection delimits the body.
      it(`does not show by the transfer coding ${coding} after ${String(bytes / 2)} bytes`, async () => {
        await sendOrdinary();
        const parts = await partsOf(pathOfField(`Transfer-Encoding: ${coding}`, bytes), bytes);
        expect(parts.length).to.equal(0);
      });

  // Guards against a part that counts as whole at a daemon that has seen no other response of the upstream.
  it('is not that of the first response of a service after the start of its daemon', async () => {
    await sendOrdinary();
    await fleet.nodes[1]!.restart();
    await fleet.waitUntilConverged();
    await sleep(STABLE_MS);
    const { id, exchange } = send(1, { host: HOSTS[1]!, path: pathOf('close', SHORT_BYTES, 'ends') });
    expect(isPart(id, SHORT_BYTES, await exchange.ended)).to.equal(false);
  });

  // Guards against whole responses that are refused again after each start of a daemon.
  it('is believed by the next process of a daemon on a route on which no response had a length', async () => {
    await sendOrdinary();
    const path = pathOf('close', SHORT_BYTES, 'continues');
    const exportOnce = () => send(1, { host: EXPORT_HOST, path }).exchange.ended;
    for (let i = 0; i < MANY; i++) await exportOnce();
    await sleep(STABLE_MS);
    await fleet.nodes[1]!.restart();
    await fleet.waitUntilConverged();
    await sleep(STABLE_MS);
    const { status, looksWhole, body } = await exportOnce();
    expect([status, looksWhole, body.length]).to.deep.equal([200, true, SHORT_BYTES]);
  });
  for (const length of ['9007199254740993', '9223372036854775807', '18446744073709551615'])
    // Guards against a daemon, or a link with all of its calls, that ends by a length which it cannot encode or decode.
    it(`ends neither daemon nor link where it states ${length} bytes`, async () => {
      upstream.behaviour.workMs = 800;
      const others = Array.from({ length: REQUESTS }, () => send(0, { host: HOSTS[1]!, path: '/ordinary' }));
      await sleep(200);
      const parts = await partsOf(pathOfField(`Content-Length: ${length}`, LONG_BYTES), LONG_BYTES);
      const responses = await Promise.all(others.map(({ exchange }) => exchange.ended));
      upstream.behaviour.workMs = 5;
      const refusals = responses.filter(({ status }) => status !== 200);
      expect(refusals.map(({ body }) => body.toString('latin1'))).to.deep.equal([]);
      expect(parts.length).to.equal(0);
      await sendOrdinary();
    });

  // Guards against odd or contradictory header fields that are taken for a delimiter.
  for (const fields of [
    ['Content-Length:'],
    ['Content-Length: 0x1388'],
    ['Content-Length: +5000'],
    ['Content-Length: -1'],
    ['Content-Length: 5000, 10000'],
    ['Content-Length: 5000', 'Content-Length: 10000'],
    ['Content-Length: 10000', 'Transfer-Encoding: gzip'],
    ['Content-Length: 5000', 'Transfer-Encoding: chunked'],
    ['Transfer-Encoding: xchunked'],
    ['Transfer-Encoding: chunked', 'Transfer-Encoding: identity'],
    ['Transfer-Encoding:'],
    ['Content-Length : 5000'],
  ])
    it(`does not show by "${fields.join('" and "')}"`, async () => {
      await sendOrdinary();
      const parts = await partsOf(pathOfField(fields.join('\r\n'), SHORT_BYTES), SHORT_BYTES);
      expect(parts.length).to.equal(0);
    });

  // Guards against the end of a connection that the kernel closed for an upstream that is gone, also after it has announced that it leaves.
  for (const state of ['ready', 'leaving'] as const)
    for (const bytes of [SHORT_BYTES, LONG_BYTES])
      for (const host of CLOSING_HOSTS)
        it(`is not that of an upstream that is ${state} and crashes after ${String(bytes / 2)} bytes, at ${host}`, async () => {
          const path = pathOf('close', bytes, state === 'ready' ? 'crashes' : 'waits');
          const sent = Array.from({ length: REQUESTS }, (_, i) => send(i % 2, { host, path }));
          if (state === 'leaving') {
            const closing = fleet.nodes[0]!.upstream;
            const hasReceived = () => sent.every(({ id }) => closing.countRuns(id) > 0);
            while (!hasReceived()) await sleep(20);
            await closing.leave();
            await sleep(100);
            void closing.crash();
          }
          const responses = await Promise.all(sent.map(({ exchange }) => exchange.ended));
          const parts = responses.filter((response, i) => isPart(sent[i]!.id, bytes, response));
          await sleep(RESTART_MS + STABLE_MS);
          await fleet.waitUntilConverged();
          await sleep(STABLE_MS);
          expect(parts.length).to.equal(0);
        });

  it('is not invented for a caller that speaks HTTP/1.0 where the body is too long to be collected', async () => {
    const path = pathOf('chunks', UNCOLLECTABLE_BYTES, 'continues');
    const { exchange } = send(0, { host: HOSTS[0]!, path, version: 'HTTP/1.0' });
    const { status, delimiter, looksWhole } = await exchange.ended;
    expect([status, delimiter, looksWhole]).to.deep.equal([502, 'length', true]);
  });
});
