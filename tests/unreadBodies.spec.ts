import { type CallBody, UploadBudget, Uploads, createPart, singlePartResponse } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { Metrics, type RelayGateway, UnreadBodies } from '@cleatquay/daemon';
import { createRefusal, refusalPart } from '@cleatquay/protocol';
import { type RouteLimits } from '@cleatquay/routes';
import { expect } from 'chai';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startGateway } from './fixtures/callerGateway.js';
import { PlatformFleet, configurationText, routeTo, until } from './fixtures/platformFleet.js';

/** More than is buffered of a body, in the daemon and in the buffers of a connection. */
const LONG_BYTES = 8 * 1_048_576;
const BODY_LIMIT = 32 * 1_048_576;
const IDLE_TIMEOUT_MS = 1000;
const CHECK_INTERVAL_MS = 250;
const NEXT_RESPONSE_MS = 3000;

/** A caller's connection, on which requests are sent in turn. */
class Connection {
  private received = '';
  isClosed = false;
  readonly socket: Socket;

  constructor(address: string) {
    const [host = '', port] = address.split(':');
    this.socket = connect({ host, port: Number(port) });
    this.socket.on('data', (chunk: Buffer) => (this.received += chunk.toString('latin1')));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.isClosed = true));
  }

  /** Sends a request whose body is announced with a length, or sent as one chunk, of which `sentBytes` are sent. */
  send(id: string, host: string, bytes: number, { chunked = false, sentBytes = bytes } = {}): void {
    const framing = chunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${String(bytes)}`;
    this.socket.write(
      `POST /x HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: 5000\r\n${framing}\r\n\r\n`,
    );
    if (chunked) this.socket.write(`${bytes.toString(16)}\r\n`);
    this.socket.write(Buffer.alloc(sentBytes, 'x'));
    if (chunked) this.socket.write('\r\n0\r\n\r\n');
  }

  /** Keeps sending a little, so that the connection is never idle. */
  keepSending(): Disposable {
    const timer = setInterval(() => this.socket.write('x'), 100);
    return { [Symbol.dispose]: () => clearInterval(timer) };
  }

  /** The statuses of the responses so far. */
  get statuses(): number[] {
    return [...this.received.matchAll(/HTTP\/1.1 (\d{3}) /g)].map(([, status]) => Number(status));
  }
}

// Guards against a connection that is never read again since a part of a body was left on it.
describe('a connection whose request was answered before its body was read', () => {
  let gateway: RelayGateway;
  let unreadBodies: UnreadBodies;
  let clock: ManualClock;
  let limits: RouteLimits;
  /** What is read of a body before the response. */
  let read: (body: CallBody) => Promise<void>;

  const address = () => `127.0.0.1:${String((gateway.server.address() as AddressInfo).port)}`;
  const refusal = () => singlePartResponse(refusalPart(createRefusal('noUpstream', 'There is none.'), 0));
  const answer = () =>
    singlePartResponse(
      createPart({ head: { status: 200, headers: '', unframed: false }, end: { length: 0, crc32: 0 } }),
    );

  beforeEach(async () => {
    clock = new ManualClock();
    limits = {
      headerBytes: 16_384,
      bodyBytes: BODY_LIMIT,
      headerTimeoutMs: 5000,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
    };
    read = () => Promise.resolve();
    unreadBodies = new UnreadBodies({ clock, metrics: new Metrics(), log: () => undefined });
    gateway = await startGateway({
      ingress: {
        handle: async ({ host }, body) => {
          if (host === 'next.example') return answer();
          await read(body);
          return refusal();
        },
      },
      limits: () => limits,
      unreadBodies,
    });
  });

  afterEach(() => {
    gateway.server.closeAllConnections();
    gateway.server.close();
  });

  const uploads = new Uploads(new UploadBudget(0), () => 0.5);
  const readings: Record<string, (body: CallBody) => Promise<void>> = {
    'nothing of it': () => Promise.resolve(),
    'its beginning': async source => {
      const body = uploads.open({ upload: false }, 'POST', source);
      if ('prefetch' in body) await body.prefetch(false);
    },
    'its beginning and some of its stream': async source => {
      const body = uploads.open({ upload: false }, 'POST', source);
      if (!('read' in body)) return;
      for await (const chunk of (await body.read()) as AsyncIterable<Uint8Array>) if (chunk.length > 0) break;
    },
  };
  for (const [name, reading] of Object.entries(readings)) {
    for (const chunked of [false, true]) {
      it(`serves the next request if ${name} had been read${chunked ? ', in chunks' : ''}`, async () => {
        read = reading;
        const connection = new Connection(address());
        connection.send('long', 'first.example', LONG_BYTES, { chunked });
        connection.send('next', 'next.example', 2);
        await until(() => connection.statuses.length === 2);
        expect(connection.statuses).to.deep.equal([503, 200]);
      }).timeout(NEXT_RESPONSE_MS);
    }
  }

  it('is closed if its caller sends the rest too slowly', async () => {
    const connection = new Connection(address());
    connection.send('slow', 'first.example', LONG_BYTES, { sentBytes: 100_000 });
    await until(() => connection.statuses.length === 1);
    using sending = connection.keepSending();
    void sending;
    clock.advance(IDLE_TIMEOUT_MS / 2);
    await sleep(1.5 * IDLE_TIMEOUT_MS);
    expect(connection.isClosed).to.equal(false);
    clock.advance(IDLE_TIMEOUT_MS / 2);
    await until(() => connection.isClosed);
  }).timeout(2 * NEXT_RESPONSE_MS);

  it('is closed if the rest is longer than a body may be', async () => {
    limits = { ...limits, bodyBytes: LONG_BYTES / 8, idleTimeoutMs: 60_000 };
    const connection = new Connection(address());
    connection.send('endless', 'first.example', 2 * LONG_BYTES, { chunked: true, sentBytes: LONG_BYTES });
    using sending = connection.keepSending();
    void sending;
    await until(() => {
      clock.advance(CHECK_INTERVAL_MS);
      return connection.isClosed;
    });
    expect(connection.statuses).to.deep.equal([503]);
  }).timeout(NEXT_RESPONSE_MS);
});

describe('a connection whose long request was answered early by an upstream', () => {
  let fleet: PlatformFleet;

  const ROUTES = ['receiving', 'alarms'].map(service =>
    routeTo(service, { kind: 'non_idempotent', maxAttempts: 1 }),
  );
  const GENERATION = 0x100;

  beforeEach(async () => {
    fleet = await PlatformFleet.start([{ service: 'receiving' }, { service: 'alarms' }], ROUTES);
    const configuration = JSON.parse(configurationText(GENERATION, ROUTES)) as { limits: object };
    const limits = { ...configuration.limits, maxBodyBytes: BODY_LIMIT };
    fleet.store.put('op', 'config', JSON.stringify({ ...configuration, limits }));
    await until(() => fleet.nodes.every(({ daemon }) => daemon.configuration.generation === GENERATION));
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  for (const fault of ['shed', 'respond-before-body'] as const) {
    for (const [index, daemon] of ['the daemon of the upstream', 'the daemon of another VM'].entries()) {
      it(`serves the next request at ${daemon} after "${fault}"`, async () => {
        fleet.nodes[0]!.upstream.behaviour.fault = () => fault;
        const connection = new Connection(fleet.nodes[index]!.daemon.addresses.get('callers')!);
        connection.send(`long-${fault}`, 'receiving.example', LONG_BYTES);
        await until(() => connection.statuses.length === 1);
        connection.send('next', 'alarms.example', 2);
        await until(() => connection.statuses.length === 2 || connection.isClosed);
        expect(connection.statuses).to.deep.equal([fault === 'shed' ? 503 : 200, 200]);
        connection.socket.destroy();
      }).timeout(NEXT_RESPONSE_MS);
    }
  }
});
