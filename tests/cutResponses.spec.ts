import { type CallResponse, createPart } from '@cleatquay/calls';
import { type RelayGateway } from '@cleatquay/daemon';
import { type AnswerPart, createRefusal, refusalPart } from '@cleatquay/protocol';
import { expect } from 'chai';
import { once } from 'node:events';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startGateway } from './fixtures/callerGateway.js';
import { type RawResponse, parseResponse } from './fixtures/rawCaller.js';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const PART = Buffer.alloc(70_000, 'x');
/** More than the buffers of both sockets take at once, so that its end is on the way for a while. */
const LONG_BODY = Buffer.alloc(600_000, 'y');

function endOf(caller: Socket): Promise<RawResponse> {
  const chunks: Buffer[] = [];
  let error: string | undefined;
  caller.on('data', (chunk: Buffer) => chunks.push(chunk));
  caller.on('error', ({ code }: NodeJS.ErrnoException) => (error = code));
  return new Promise(resolve =>
    caller.on('close', () => resolve(parseResponse(Buffer.concat(chunks), error))),
  );
}

describe('a response that ends before its body is complete', () => {
  let gateway: RelayGateway;
  let length: number | undefined;
  let rest: () => AsyncIterable<AnswerPart>;
  let cuts: (string | undefined)[];

  const firstPart = () =>
    createPart({ head: { status: 200, headers: '', unframed: length === undefined, length }, body: PART });
  const longResponse = (): CallResponse => ({
    first: createPart({
      head: { status: 200, headers: '', unframed: false },
      body: LONG_BODY,
      end: { length: LONG_BODY.length, crc32: 0 },
    }),
    rest: undefined,
  });

  beforeEach(async () => {
    length = undefined;
    cuts = [];
    rest = () => noParts();
    gateway = await startGateway({
      ingress: {
        handle: ({ path }) =>
          Promise.resolve(path === '/long' ? longResponse() : { first: firstPart(), rest: rest() }),
      },
      onResponseCut: (_requestId, { delimiter }) => cuts.push(delimiter),
    });
  });

  afterEach(() => {
    gateway.server.closeAllConnections();
    gateway.server.close();
  });

  const send = (...paths: string[]): Socket => sendAs('HTTP/1.1', ...paths);
  const sendAs = (version: string, ...paths: string[]): Socket => {
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    for (const path of paths)
      caller.write(`GET ${path} ${version}\r\nHost: history.example\r\nRequest-Id: q${path}\r\n\r\n`);
    return caller;
  };

  const endings: Record<string, () => AsyncIterable<AnswerPart>> = {
    'if its parts end early': () => noParts(),
    'if a refusal comes in place of a part': () =>
      parts(refusalPart(createRefusal('upstreamBroke', 'The upstream failed.'), 0)),
    'if a link is lost': () => failingParts(),
    'if its last part states another length': () =>
      parts(createPart({ body: PART, end: { length: PART.length, crc32: 0 } })),
  };

  // Guards against a part of a body that looks complete, since the connection was closed in the ordinary way.
  for (const [name, ending] of Object.entries(endings)) {
    it(`lacks its last chunk if the upstream stated no length, ${name}`, async () => {
      rest = ending;
      const { status, delimiter, looksWhole } = await endOf(send('/x'));
      expect([status, delimiter, looksWhole]).to.deep.equal([200, 'chunks', false]);
      expect(cuts).to.deep.equal(['chunks']);
    });

    it(`lacks bytes of its length if the upstream stated one, ${name}`, async () => {
      length = LONG_BODY.length;
      rest = ending;
      for (const version of ['HTTP/1.1', 'HTTP/1.0']) {
        const { status, delimiter, looksWhole } = await endOf(sendAs(version, '/x'));
        expect([status, delimiter, looksWhole]).to.deep.equal([200, 'length', false]);
      }
      expect(cuts).to.deep.equal(['length', 'length']);
    });

    it(`is refused if its caller takes no chunks and the upstream stated no length, ${name}`, async () => {
      rest = ending;
      const { status, delimiter, looksWhole } = await endOf(sendAs('HTTP/1.0', '/x'));
      expect([status, delimiter, looksWhole]).to.deep.equal([502, 'length', true]);
    });
  }

  // Guards against a connection that is closed with no byte of the response: its head is written, but not sent yet.
  for (const [name, stated] of Object.entries({ 'with a length': LONG_BODY.length, 'in chunks': undefined }))
    it(`begins though its upstream has failed by then, ${name}, also on a kept connection`, async () => {
      length = stated;
      rest = () => ({ [Symbol.asyncIterator]: () => ({ next: () => Promise.reject(new Error('lost')) }) });
      const { status, looksWhole } = await endOf(send('/x'));
      expect([status, looksWhole]).to.deep.equal([200, false]);
      const caller = send('/long');
      const received: Buffer[] = [];
      caller.on('data', (chunk: Buffer) => received.push(chunk));
      while (Buffer.concat(received).length < LONG_BODY.length) await once(caller, 'data');
      await sleep(50);
      received.length = 0;
      const ended = endOf(caller);
      caller.write('GET /x HTTP/1.1\r\nHost: history.example\r\nRequest-Id: kept\r\n\r\n');
      const later = await ended;
      expect([later.status, later.looksWhole]).to.deep.equal([200, false]);
    });

  it('lacks its last chunk if the daemon closes its connections', async () => {
    rest = () => endlessParts();
    const caller = send('/x');
    const received = endOf(caller);
    await once(caller, 'data');
    gateway.server.closeAllConnections();
    expect(await received).to.include({ delimiter: 'chunks', looksWhole: false });
  });

  // Guards against an end of the connection that discards an earlier response that is still on its way.
  it('takes nothing from an earlier response on the connection', async () => {
    const caller = send('/long', '/x');
    await once(caller, 'connect');
    caller.pause();
    await sleep(300);
    const chunks: Buffer[] = [];
    caller.on('data', (chunk: Buffer) => chunks.push(chunk));
    caller.resume();
    await once(caller, 'close');
    const text = Buffer.concat(chunks).toString('latin1');
    expect(text.match(/y/g)).to.have.lengthOf(LONG_BODY.length);
    expect(text).to.not.include('\r\n0\r\n');
  });

  describe('because its upstream reset the connection', () => {
    let fleet: PlatformFleet;

    beforeEach(async () => {
      const behaviour = { bytes: 160_000, fault: () => 'reset-close-delimited' as const };
      fleet = await PlatformFleet.start(
        [{ service: 'exports', behaviour }, { service: 'alarms' }],
        [routeTo('exports', { maxAttempts: 1, kind: 'download' })],
      );
    });

    afterEach(() => fleet[Symbol.asyncDispose]());

    for (const [index, daemon] of ['of the upstream', 'of another VM'].entries()) {
      it(`is incomplete for a caller of the daemon ${daemon}`, async () => {
        const { status, isWhole } = await fleet.send(index, { host: 'exports.example' });
        expect(status).to.equal(200);
        expect(isWhole).to.equal(false);
      });
    }
  });
});

function noParts(): AsyncIterable<AnswerPart> {
  return parts();
}

async function* parts(...all: AnswerPart[]): AsyncGenerator<AnswerPart> {
  await sleep(20);
  yield* all;
}

async function* failingParts(): AsyncGenerator<AnswerPart> {
  yield createPart({ body: PART });
  await sleep(20);
  throw new Error('The link was lost.');
}

async function* endlessParts(): AsyncGenerator<AnswerPart> {
  await sleep(60_000);
  yield createPart({ body: PART });
}
