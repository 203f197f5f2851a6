import { expect } from 'chai';
import { type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { wholeResponse } from './fixtures/httpMessages.js';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';
import { RawUpstream, openConnection } from './fixtures/rawConnections.js';

const HEARTBEAT_MS = 200;
const BODY = 'the body of the upstream';

describe('a response of an upstream', () => {
  let fleet: PlatformFleet;
  let upstream: RawUpstream;
  let announcing: NodeJS.Timeout;
  let count = 0;

  before(async () => {
    upstream = await RawUpstream.start();
    fleet = await PlatformFleet.start(
      [{ service: 'exports' }, { service: 'alarms' }],
      [routeTo('exports', { kind: 'non_idempotent', maxAttempts: 1, timeoutS: 1 })],
    );
    const { daemon, upstream: standin } = fleet.nodes[0]!;
    standin.stopAnnouncing();
    let sequence = 0;
    const announce = () =>
      daemon.announce({
        service: 'exports',
        address: upstream.address,
        slots: 50,
        connections: 50,
        state: 'ready',
        instanceId: 'raw',
        born: 1,
        sequence: ++sequence,
        warmupLeftMs: 0,
      });
    await announce();
    announcing = setInterval(() => void announce(), HEARTBEAT_MS);
  });

  after(async () => {
    clearInterval(announcing);
    await fleet[Symbol.asyncDispose]();
    await upstream[Symbol.asyncDispose]();
  });

  /** The response to a request whose upstream does `respond`. */
  const responseTo = async (
    respond: (socket: Socket, own: string) => void,
    ingress: number,
    method = 'POST',
  ) => {
    const id = `q${String(++count)}`;
    upstream.respond = (socket, { headers, path }) => {
      if (path === '/health') socket.end('HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n');
      else if (headers.get('request-id') === id)
        respond(socket, `Request-Id: ${id}\r\nServer-Stamp: 1.2\r\n`);
    };
    const caller = openConnection(fleet.nodes[ingress]!.daemon.addresses.get('callers')!);
    caller.socket.write(
      `${method} /x HTTP/1.1\r\nHost: exports.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    );
    await caller.closed;
    return wholeResponse(caller.bytes, caller.end);
  };

  const LENGTH = `Content-Length: ${String(BODY.length)}\r\n\r\n${BODY}`;
  const CHUNKS = `Transfer-Encoding: chunked\r\n\r\n${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n\r\n`;
  const EXTRA = {
    'more bytes': () => 'more bytes of the body',
    'a second response': (own: string) => `HTTP/1.1 200 OK\r\n${own}${LENGTH}`,
  };

  // Guards against a response that is longer than that of its upstream.
  describe('has none of the bytes that follow it', () => {
    for (const [extraName, extra] of Object.entries(EXTRA))
      for (const [framing, text] of Object.entries({ 'with a length': LENGTH, 'in chunks': CHUNKS }))
        for (const close of ['', 'Connection: close\r\n'])
          for (const ingress of [0, 1])
            it(`${framing}, ${extraName}${close === '' ? '' : ', last on its connection'}, daemon ${String(ingress)}`, async () => {
              const received = await responseTo(
                (socket, own) => socket.write(`HTTP/1.1 200 OK\r\n${own}${close}${text}${extra(own)}`),
                ingress,
              );
              expect(received?.start).to.equal('200');
              expect(received?.body.toString()).to.equal(BODY);
              expect(received?.rest.length).to.equal(0);
            });

    it('after one that has no body', async () => {
      const received = await responseTo(
        (socket, own) => socket.write(`HTTP/1.1 204 No Content\r\n${own}\r\n${BODY}`),
        1,
      );
      expect(received?.start).to.equal('204');
      expect(received?.rest.length).to.equal(0);
    });

    it('or that come before it as interim responses', async () => {
      const received = await responseTo(
        (socket, own) =>
          socket.write(`HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n${own}${LENGTH}`),
        1,
      );
      expect(received?.start).to.equal('200');
      expect(received?.body.toString()).to.equal(BODY);
    });
  });

  // Guards against whole responses that are refused, or get a wrong length, since they state that of another response.
  describe('that has no body is whole whatever length it states', () => {
    for (const [method, status] of [
      ['POST', 204],
      ['POST', 304],
      ['HEAD', 200],
    ] as const)
      for (const length of [0, 500])
        for (const ingress of [0, 1])
          it(`${method}, ${String(status)}, ${String(length)} bytes, daemon ${String(ingress)}`, async () => {
            const received = await responseTo(
              (socket, own) =>
                socket.write(
                  `HTTP/1.1 ${String(status)} x\r\n${own}Content-Length: ${String(length)}\r\n\r\n`,
                ),
              ingress,
              method,
            );
            expect(received?.start).to.equal(String(status));
            expect(received?.headers.get('content-length')).to.equal(undefined);
            expect(received?.body.length).to.equal(0);
          });
  });

  // Guards against bytes that are no response and reach a caller as one, or end the daemon.
  for (const status of ['000', '001', '099', '1000', '20', 'two'])
    it(`is none with the status ${status}`, async () => {
      for (const ingress of [0, 1]) {
        const received = await responseTo(
          (socket, own) => socket.write(`HTTP/1.1 ${status} OK\r\n${own}${LENGTH}`),
          ingress,
        );
        expect(received?.start).to.equal('502');
      }
      const next = await responseTo((socket, own) => socket.write(`HTTP/1.1 200 OK\r\n${own}${LENGTH}`), 1);
      expect(next?.start).to.equal('200');
    });

  // Guards against a response that looks whole though only an interim one came before the end.
  it('is not an interim one at whose end the connection ends', async () => {
    const received = await responseTo(
      (socket, own) => socket.end(`HTTP/1.1 103 Early Hints\r\n${own}\r\n`),
      1,
    );
    expect(received?.start).to.equal('502');
  });

  // Guards against a transfer coding that delimits nothing, so that a reset is taken for the end of the body.
  for (const coding of ['identity', 'gzip'])
    it(`with the transfer coding ${coding} and without chunks is not complete after a reset`, async () => {
      const received = await responseTo((socket, own) => {
        socket.write(
          `HTTP/1.1 200 OK\r\n${own}Transfer-Encoding: ${coding}\r\nConnection: close\r\n\r\npart`,
        );
        void sleep(50).then(() => socket.resetAndDestroy());
      }, 1);
      expect(received?.start).to.not.equal('200');
    });
});
