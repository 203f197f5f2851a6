import {
  type CallHandler,
  LinkClient,
  LinkServer,
  ReplayableBody,
  RequestScheduler,
  UploadBody,
  UploadBudget,
  type UploadSource,
  Uploads,
  refusalForFailure,
  singlePartResponse,
  withUploadIntake,
} from '@cleatquay/calls';
import { NEVER_CANCELLED, SystemClock } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';
import { type RequestHead, createRefusal, refusalPart } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { CALL_CONTEXT } from './fixtures/callContext.js';

const PART = 65_536;
const UPLOADS = 50;
const UPLOAD_BYTES = 3 * 1_048_576;
const HEAD: RequestHead = {
  context: { ...CALL_CONTEXT, remainingMs: 30_000, upload: true },
  service: 's',
  method: 'POST',
  path: '/',
  headers: '',
  fingerprint: '',
  endedStarts: [],
  notice: undefined,
};
const ANSWER = singlePartResponse(refusalPart(createRefusal('overloaded', ''), 0));

/** A body in the given chunks, which may fail at its end. */
function sourceOf(chunks: readonly Uint8Array[], failure?: Failure): UploadSource {
  const left = [...chunks];
  return {
    next: () => (left.length === 0 && failure ? Promise.reject(failure) : Promise.resolve(left.shift())),
    whenClosed: () => undefined,
  };
}

describe('the memory of uploads', () => {
  describe('on a link', () => {
    const clock = new SystemClock();
    let listener: Server;
    let sockets: Socket[];
    let handle: CallHandler;

    beforeEach(async () => {
      sockets = [];
      listener = createServer(socket => {
        sockets.push(socket);
        const scheduler = new RequestScheduler(clock, () => false);
        const configuration = () => ({
          generation: 0,
          applyId: '',
          digest: '',
          baseDigest: '',
          sections: [],
        });
        new LinkServer(socket, {
          clock,
          scheduler,
          process: 'p',
          configuration,
          handle: (...call) => handle(...call),
        });
      });
      await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve));
    });

    afterEach(() => {
      for (const socket of sockets) socket.destroy();
      listener.close();
    });

    const openLink = () => {
      const socket = connect((listener.address() as AddressInfo).port, '127.0.0.1');
      sockets.push(socket);
      return new LinkClient(clock, 'peer', socket, () => undefined);
    };

    // Guards against bodies that collect in daemons while upstreams read slowly: the window of other requests is four parts.
    it('stays below two parts for each of fifty uploads of 3 MB at once, while their upstreams read slowly', async () => {
      let taken = 0;
      let read = 0;
      let heldAtMost = 0;
      handle = async (_head, body) => {
        for await (const chunk of body as AsyncIterable<Uint8Array>) {
          read += chunk.length;
          await sleep(5);
        }
        return ANSWER;
      };
      const link = openLink();
      const uploadOne = async function* () {
        for (let sent = 0; sent < UPLOAD_BYTES; sent += PART) {
          taken += PART;
          heldAtMost = Math.max(heldAtMost, taken - read);
          yield Buffer.alloc(PART);
          await sleep(0);
        }
      };
      await Promise.all(
        Array.from({ length: UPLOADS }, () => link.exchange(HEAD, uploadOne(), NEVER_CANCELLED)),
      );
      expect(read).to.equal(UPLOADS * UPLOAD_BYTES);
      expect(heldAtMost).to.be.at.most(UPLOADS * 2 * PART);
    });

    // Guards against bodies that are taken from their callers before an upstream has capacity for them.
    it('is not used before the upstream takes the body, and the body of a refused attempt can be sent again', async () => {
      handle = () => sleep(20).then(() => ANSWER);
      const reservation = new UploadBudget(10 * PART).reserve(PART)!;
      const body = new UploadBody(sourceOf([Buffer.alloc(PART), Buffer.alloc(PART)]), reservation);
      await openLink().exchange(HEAD, await body.read(), NEVER_CANCELLED);
      expect(body).to.include({ receivedBytes: 0, hasSent: false, isReplayable: true });
    });
  });

  describe('of a daemon', () => {
    it('is never exceeded, and returned by all uploads that have ended', () => {
      const step = fc.record({ upload: fc.nat(9), bytes: fc.nat(400), isEnd: fc.boolean() });
      fc.assert(
        fc.property(fc.array(step), steps => {
          const budget = new UploadBudget(1000);
          const open = new Map<number, { grow: (bytes: number) => boolean } & Disposable>();
          for (const { upload, bytes, isEnd } of steps) {
            const reservation = open.get(upload);
            if (!reservation) {
              const reserved = budget.reserve(bytes);
              if (reserved) open.set(upload, reserved);
            } else if (isEnd) {
              reservation[Symbol.dispose]();
              open.delete(upload);
            } else reservation.grow(bytes);
            expect(budget.bytes).to.be.within(0, 1000);
            expect(budget.uploads).to.equal(open.size);
          }
          for (const reservation of open.values()) reservation[Symbol.dispose]();
          expect(budget.bytes).to.equal(0);
        }),
      );
    });

    it('refuses uploads that do not fit with a number and a time, before their bodies are opened', async () => {
      const full = new UploadBudget(0);
      const source = {
        openUpload: () => expect.fail('opened'),
        [Symbol.asyncIterator]: () => expect.fail('opened'),
      };
      const atIngress = new Uploads(full, () => 0.5).open({ upload: true }, 'POST', source);
      expect(atIngress).to.include({ code: 2017, outcome: 'not-run', retryAfterMs: 600 });
      const decisionTrace = { record: () => undefined, requestEnded: () => undefined } as never;
      const intake = withUploadIntake(() => expect.fail('handled'), {
        budget: full,
        random: () => 0.5,
        decisionTrace,
      });
      const { first } = await intake(HEAD, source as never, NEVER_CANCELLED);
      expect(first.refusal).to.include({ code: 2017, outcome: 'not-run', elsewhereHelps: true });
      expect(full.counts.refused).to.equal(2);
    });

    it('does not concern other requests, whose bodies and handlers stay as they are', async () => {
      const contexts = fc.record({ upload: fc.constant(false), idempotent: fc.boolean(), depth: fc.nat(5) });
      await fc.assert(
        fc.asyncProperty(contexts, fc.constantFrom('GET', 'POST', 'PUT'), async (change, method) => {
          const source = { [Symbol.asyncIterator]: () => sourceIterator() };
          const budget = new UploadBudget(0);
          expect(new Uploads(budget, () => 0).open(change, method, source)).to.be.instanceOf(ReplayableBody);
          const received: unknown[] = [];
          const inner: CallHandler = (...call) => Promise.resolve((received.push(...call), ANSWER));
          const head = { ...HEAD, method, context: { ...CALL_CONTEXT, ...change } };
          const options = { budget, random: () => 0, decisionTrace: undefined as never };
          expect(await withUploadIntake(inner, options)(head, source, NEVER_CANCELLED)).to.equal(ANSWER);
          expect(received[0]).to.equal(head);
          expect(received[1]).to.equal(source);
        }),
      );
    });
  });
});

async function* sourceIterator(): AsyncGenerator<Uint8Array> {
  yield await Promise.resolve(Buffer.alloc(1));
}

describe('the body of an upload at its ingress', () => {
  const chunkLists = fc.array(fc.integer({ min: 1, max: 3 * PART }), { maxLength: 8 });

  // Guards against an attempt that sends a part of the body as if it were the whole.
  it('is read by every attempt from its beginning, whole or with an error, whatever earlier attempts have read', async () => {
    const budgets = fc.integer({ min: 0, max: 12 * PART });
    const attempts = fc.array(fc.nat(9), { maxLength: 4 });
    await fc.assert(
      fc.asyncProperty(chunkLists, budgets, attempts, fc.boolean(), async (sizes, budget, reads, breaks) => {
        const chunks = sizes.map((size, i) => Buffer.alloc(size, i + 1));
        const failure = new Failure('', { result: 'bodyIncomplete' });
        const reservation = new UploadBudget(budget).reserve(0)!;
        const body = new UploadBody(sourceOf(chunks, breaks ? failure : undefined), reservation);
        for (const count of [...reads, Number.POSITIVE_INFINITY]) {
          const wasReplayable = body.isReplayable;
          const read: Uint8Array[] = [];
          let isWhole = false;
          try {
            const iterator = (await body.read())[Symbol.asyncIterator]();
            while (read.length < count && !isWhole) {
              const { value, done } = await iterator.next();
              if (done === true) isWhole = true;
              else read.push(value);
            }
          } catch (error) {
            expect(breaks || !wasReplayable || error === body.failure).to.equal(true);
          }
          expect(read).to.deep.equal(chunks.slice(0, read.length));
          if (isWhole) expect([read.length, breaks]).to.deep.equal([chunks.length, false]);
          if (read.length > 0) expect(body.hasSent).to.equal(true);
        }
      }),
    );
  });

  it('is never refused as not run once a byte of it may have reached the upstream', () => {
    const results = fc.constantFrom('bodyIncomplete', 'bodyTimedOut', 'requestTooLarge');
    fc.assert(
      fc.property(results, fc.boolean(), (result, hasSent) => {
        const refusal = refusalForFailure({ hasSent }, new Failure('', { result }));
        expect(refusal.outcome).to.equal(hasSent ? 'unknown' : 'not-run');
        if (hasSent) expect(refusal.code).to.not.equal(1019);
      }),
    );
  });
});
