/**
 * The connections to an upstream that responds in odd ways, without a daemon around them, which would soon use the upstream no more. `CLEATQUAY_SEED`
 * selects other responses; `CLEATQUAY_SECONDS` sets the duration.
 */
import { type CallBody, StreamPacer, UpstreamConnections, type UpstreamResponse } from '@cleatquay/calls';
import { Cancellation, SystemClock, seededRandom } from '@cleatquay/clock';
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { OddUpstream, choicesOf } from './fixtures/oddUpstream.js';

const SEED = process.env.CLEATQUAY_SEED ?? '1';
const DURATION_MS = Number(process.env.CLEATQUAY_SECONDS ?? 5) * 1000;
const SENDERS = 40;
const CONNECTIONS = 20;
const DEADLINE_MS = 700;
/** Time in which a cancelled request must have ended, on a busy machine, ms. */
const MAX_LATE_MS = 8000;
/** Upper bound of the time before a response is read on, in which what is buffered of it reaches its bound, ms. */
const MAX_PAUSE_MS = 200;
const MAX_BODY_BYTES = 200_000;
const MIN_REQUESTS = 200;

describe('the connections to an upstream that responds in odd ways', () => {
  const choices = choicesOf(seededRandom(SEED));
  const { chance, pick, below } = choices;
  const exceptions: string[] = [];
  const recordException = (error: unknown) =>
    void exceptions.push(error instanceof Error ? String(error.stack) : String(error));
  let upstream: OddUpstream;
  let connections: UpstreamConnections;
  let listeners: ((error: Error) => void)[];
  let isOver = false;
  let requests = 0;

  before(async () => {
    upstream = await OddUpstream.start(choices, 'i', () => Promise.resolve());
    const clock = new SystemClock();
    connections = new UpstreamConnections(clock, upstream.address, CONNECTIONS, new StreamPacer(clock));
    // Those of mocha would end the test with the first one.
    listeners = process.listeners('uncaughtException') as typeof listeners;
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', recordException);
  });

  after(async () => {
    process.removeAllListeners('uncaughtException');
    for (const listener of listeners) process.on('uncaughtException', listener);
    await connections[Symbol.asyncDispose]();
    await upstream[Symbol.asyncDispose]();
  });

  async function* streamed(bytes: number): AsyncGenerator<Buffer> {
    for (let left = bytes; left > 0;) {
      const part = Math.min(left, 1 + below(65_536));
      left -= part;
      yield Buffer.alloc(part, 'u');
      if (chance(0.5)) await sleep(below(10));
      if (chance(0.02)) throw new Error('The body broke off.');
    }
  }

  const createBody = (): CallBody => {
    const bytes = 1 + below(MAX_BODY_BYTES);
    return chance(0.5) ? Buffer.alloc(below(5000), 'u') : streamed(bytes);
  };

  /** Reads a response at some speed, or a part of it. */
  const read = async ({ rest }: UpstreamResponse): Promise<void> => {
    if (!rest || chance(0.1)) return;
    if (chance(0.5)) await sleep(below(MAX_PAUSE_MS));
    const iterator = rest[Symbol.asyncIterator]();
    while ((await iterator.next()).done !== true) {
      if (chance(0.3)) await sleep(below(20));
      if (chance(0.1)) return void (await iterator.return?.());
    }
  };

  const send = async (): Promise<void> => {
    const cancellation = new Cancellation();
    const timeoutMs = chance(0.2) ? below(50) : DEADLINE_MS;
    const timer = setTimeout(() => cancellation.abort(new Error('Cancelled.')), timeoutMs);
    const id = `q${String(++requests)}`;
    const method = pick(['GET', 'POST', 'HEAD', 'POST']);
    const body = method === 'POST' && chance(0.7) ? createBody() : undefined;
    const request = {
      id,
      method,
      path: '/x',
      headers: ['Request-Id', id],
      body,
      idempotent: chance(0.7),
      isOwnResponse: (_status: number, headers: Record<string, unknown>) => headers['request-id'] === id,
      onOwnResponse: () => undefined,
    };
    await connections
      .send(request, cancellation.signal)
      .then(read)
      .catch(() => undefined);
    clearTimeout(timer);
    if (chance(0.5)) await sleep(below(20));
    // A response that is not read to its end has to be cancelled.
    cancellation.abort(new Error('The caller has left.'));
  };

  /** Sends requests one after another; returns how many did not end. */
  const sendAll = async (): Promise<number> => {
    while (!isOver) {
      const late = sleep(DEADLINE_MS + MAX_LATE_MS, 'late', { ref: false });
      if ((await Promise.race([send(), late])) === 'late') return 1;
    }
    return 0;
  };

  // Guards against exceptions of the HTTP client in events of sockets and timers, which nothing handles.
  it('end all requests, and throw nothing outside of them', async () => {
    const senders = Promise.all(Array.from({ length: SENDERS }, sendAll));
    await sleep(DURATION_MS);
    isOver = true;
    const late = (await senders).reduce((sum, count) => sum + count, 0);
    process.stdout.write(`      seed ${SEED}: ${String(requests)} requests\n`);
    expect([...new Set(exceptions)]).to.deep.equal([]);
    expect(late).to.equal(0);
    expect(requests).to.be.above(MIN_REQUESTS);
  }).timeout(DURATION_MS + 60_000);
});
