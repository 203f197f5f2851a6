import { RequestDeduplicator, createPart } from '@cleatquay/calls';
import { ManualClock, NEVER_CANCELLED } from '@cleatquay/clock';
import { expect } from 'chai';
import { setTimeout as sleep } from 'node:timers/promises';
import { routeTo, until } from './fixtures/platformFleet.js';
import { ProcessFleet, type ProcessNode } from './fixtures/platformProcesses.js';

const PART_BYTES = 65_536;
const MAX_STORED_BYTES = 1_048_576;
const TIMEOUT_MS = 1000;
/** Time after the timeout of the route by which a response has ended, and a connection on which nobody waits is closed. */
const SLACK_MS = 500;
const REQUESTS = 12;
const ORDINARY_REQUESTS = 100;
const ORDINARY_INTERVAL_MS = 15;
const MAX_RESIDENT_BYTES = 128 * 1_048_576;
const NOT_RUN_STATUSES = [408, 421, 429, 503];

const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: s\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** Where the bytes come. */
const PLACES = {
  'a header value': { beginning: `${HEAD}X-Long: `, repeated: 'x' },
  'header lines': { beginning: HEAD, repeated: 'X-A: 1\r\n' },
  'interim responses': { beginning: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'bytes that are no HTTP': { beginning: '', repeated: 'x' },
  'a chunk extension': { beginning: `${CHUNKED}5;a=`, repeated: 'x' },
  chunks: { beginning: CHUNKED, repeated: `1000\r\n${'x'.repeat(4096)}\r\n` },
  'chunks of a byte': { beginning: CHUNKED, repeated: '1\r\nx\r\n' },
  trailers: { beginning: `${CHUNKED}0\r\n`, repeated: 'X-A: 1\r\n' },
  'a body without a length': { beginning: `${HEAD}\r\n`, repeated: 'x' },
  'what follows a whole response': { beginning: `${HEAD}Content-Length: 2\r\n\r\nok`, repeated: 'x' },
};

describe('an upstream that sends bytes without end', () => {
  let fleet: ProcessFleet;
  let upstream: ProcessNode['upstream'];

  before(async function () {
    this.timeout(120_000);
    ProcessFleet.build();
    fleet = await ProcessFleet.start(
      ['history', 'receiving'].map(service => ({ service, failureDomain: 'z' })),
      [
        routeTo('history'),
        ...(['idempotent', 'non_idempotent'] as const).map(kind =>
          routeTo('receiving', { name: kind, host: `${kind}.example`, kind, timeoutS: TIMEOUT_MS / 1000 }),
        ),
      ],
      { asDeployed: true },
    );
    upstream = fleet.nodes[1]!.upstream;
    upstream.behaviour.fault = (_id, path) => (path === '/endless' ? 'endless' : 'none');
    await fleet.waitForLowLag();
  });

  after(() => fleet[Symbol.asyncDispose]());

  let requests = 0;
  const send = async (i: number, host: string, path: string) => {
    const startedAt = performance.now();
    const id = `q${String(++requests)}`;
    const response = await fleet.nodes[i % 2]!.exchange({ host: `${host}.example`, path, id, body: '{}' });
    return { id, ...response, tookMs: performance.now() - startedAt, runs: upstream.countRuns(id) };
  };

  /** Requests to the endless upstream through both daemons. */
  const sendEndless = (kind: string) =>
    Promise.all(Array.from({ length: REQUESTS }, (_, i) => send(i, kind, '/endless')));

  const sendOrdinary = async () => {
    const responses: ReturnType<typeof send>[] = [];
    for (let i = 0; i < ORDINARY_REQUESTS; i++) {
      responses.push(send(i, i % 4 < 2 ? 'history' : 'idempotent', '/x'));
      await sleep(ORDINARY_INTERVAL_MS);
    }
    return Promise.all(responses);
  };

  for (const [place, endless] of Object.entries(PLACES))
    for (const kind of ['idempotent', 'non_idempotent'])
      // Guards against connections that are read for as long as bytes come, while other requests fail.
      it(`in ${place} ends ${kind} requests in time, has its connections closed, and disturbs no other request`, async () => {
        upstream.behaviour.endless = endless;
        const [results, ordinary] = await Promise.all([sendEndless(kind), sendOrdinary()]);
        expect(ordinary.filter(({ status, isWhole }) => status !== 200 || !isWhole)).to.deep.equal([]);
        for (const { id, status, isWhole, tookMs, runs } of results) {
          expect(tookMs, id).to.be.below(TIMEOUT_MS + SLACK_MS);
          if (place === 'what follows a whole response')
            expect([status, isWhole], id).to.deep.equal([200, true]);
          else expect(status === 200 && isWhole, id).to.equal(false);
          if (NOT_RUN_STATUSES.includes(status)) expect(runs, id).to.equal(0);
          if (kind === 'non_idempotent') expect(runs, id).to.be.at.most(1);
        }
        const waitedFrom = performance.now();
        await until(() => upstream.endlessSockets.size === 0);
        expect(performance.now() - waitedFrom).to.be.below(SLACK_MS);
        for (const node of fleet.nodes)
          expect(await node.gauge('process_resident_memory_bytes')).to.be.below(MAX_RESIDENT_BYTES);
      });
});

describe('an endless response to a request that runs once', () => {
  // Guards against a response that is read until its time is up though it can't be stored any more.
  it('is read no further than what can be stored', async () => {
    let parts = 0;
    let isLeft = false;
    async function* endless() {
      try {
        for (; parts < 1000; parts++) yield createPart({ body: Buffer.alloc(PART_BYTES) });
      } finally {
        isLeft = true;
      }
    }
    const deduplicator = new RequestDeduplicator(new ManualClock());
    const head = { status: 200, headers: '', unframed: true };
    const response = { first: createPart({ head }), rest: endless() };
    const result = deduplicator.runOnce('a', 1000, 1000, NEVER_CANCELLED, () => Promise.resolve(response));
    const { value } = await result.next();
    expect(value).to.have.nested.property('refusal.outcome', 'unknown');
    expect(isLeft).to.equal(true);
    expect(parts * PART_BYTES).to.be.below(MAX_STORED_BYTES + 2 * PART_BYTES);
  });
});
