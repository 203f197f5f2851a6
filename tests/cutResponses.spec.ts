import { type CallResponse, createPart } from '@cleatquay/calls';
import { type RelayGateway } from '@cleatquay/daemon';
import { type AnswerPart, createRefusal, refusalPart } from '@cleatquay/protocol';
import { expect } from 'chai';
import { once } from 'node:events';
import { type AddressInfo, type Socket, connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { startGateway } from './fixtures/callerGateway.js';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';

const PART = Buffer.alloc(70_000, 'x');
/** More than the buffers of both sockets take at once, so that its end is on the way for a while. */
const LONG_BODY = Buffer.alloc(600_000, 'y');

/** What a caller received until its connection ended. */
interface Received {
  readonly text: string;
  /** How the connection ended: in the ordinary way, or with an error. */
  readonly end: 'closed' | 'ECONNRESET';
}

function endOf(caller: Socket): Promise<Received> {
  const chunks: Buffer[] = [];
  let end: Received['end'] = 'closed';
  caller.on('data', (chunk: Buffer) => chunks.push(chunk));
  caller.on('error', () => (end = 'ECONNRESET'));
  return new Promise(resolve =>
    caller.on('close', () => resolve({ text: Buffer.concat(chunks).toString('latin1'), end })),
  );
}

describe('a response that ends before its body is complete', () => {
  let gateway: RelayGateway;
  let unframed: boolean;
  let rest: () => AsyncIterable<AnswerPart>;
  let cuts: string[];

  const firstPart = () => createPart({ head: { status: 200, headers: '', unframed }, body: PART });
  const longResponse = (): CallResponse => ({
    first: createPart({
      head: { status: 200, headers: '', unframed: false },
      body: LONG_BODY,
      end: { length: LONG_BODY.length, crc32: 0 },
    }),
    rest: undefined,
  });

  beforeEach(async () => {
    unframed = true;
    cuts = [];
    rest = () => noParts();
    gateway = await startGateway({
      ingress: {
        handle: ({ path }) =>
          Promise.resolve(path === '/long' ? longResponse() : { first: firstPart(), rest: rest() }),
      },
      onResponseCut: (_requestId, { mark }) => cuts.push(mark),
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

  // Guards against a part of a body that looks complete, since the connection was closed in the ordinary way.
  describe('and that has neither a length nor chunks, ends with a reset', () => {
    const endings: Record<string, () => AsyncIterable<AnswerPart>> = {
      'if its parts end early': () => noParts(),
      'if a refusal comes in place of a part': () =>
        parts(refusalPart(createRefusal('upstreamBroke', 'The upstream failed.'), 0)),
      'if a link is lost': () => failingParts(),
    };
    for (const [name, ending] of Object.entries(endings)) {
      it(name, async () => {
        rest = ending;
        const { text, end } = await endOf(send('/x'));
        expect(text).to.match(/^HTTP\/1.1 200 /);
        expect(end).to.equal('ECONNRESET');
        expect(cuts).to.deep.equal(['reset']);
      });
    }

    it('if its caller speaks HTTP/1.0, which has no chunks', async () => {
      unframed = false;
      const { end } = await endOf(sendAs('HTTP/1.0', '/x'));
      expect(end).to.equal('ECONNRESET');
    });

    it('if the daemon shuts down', async () => {
      rest = () => endlessParts();
      const caller = send('/x');
      const received = endOf(caller);
      await once(caller, 'data');
      gateway.cutOpenResponses();
      gateway.server.closeAllConnections();
      expect((await received).end).to.equal('ECONNRESET');
    });
  });

  it('and that is sent in chunks, ends without the last one', async () => {
    unframed = false;
    const { text, end } = await endOf(send('/x'));
    expect(text).to.include('Transfer-Encoding: chunked').and.not.include('\r\n0\r\n');
    expect(end).to.equal('closed');
    expect(cuts).to.deep.equal(['length-or-chunks']);
  });

  // Guards against a reset that discards an earlier response that is still on its way.
  it('takes nothing from an earlier response on the connection', async () => {
    const caller = send('/long', '/x');
    await once(caller, 'connect');
    caller.pause();
    await sleep(300);
    const received = endOf(caller);
    caller.resume();
    const { text, end } = await received;
    expect(text.match(/y/g)).to.have.lengthOf(LONG_BODY.length);
    expect(end).to.equal('ECONNRESET');
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
