/**
 * Messages that end anywhere: any split of their bytes, and an ordinary end or a reset of a connection at any byte, on each hop between a caller
 * and an upstream. `CLEATQUAY_SEED` selects other cases; `CLEATQUAY_ROUNDS` sets their number for each kind of message, without the time limit.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { type ConnectionEnd, type WholeMessage, wholeResponse } from './fixtures/httpMessages.js';
import { PlatformFleet, routeTo } from './fixtures/platformFleet.js';
import { RawUpstream, openConnection } from './fixtures/rawConnections.js';
import { SocketCuts } from './fixtures/socketCuts.js';

const ROUNDS = Number(process.env.CLEATQUAY_ROUNDS ?? 0);
/** For each of the seven tests: all of them within 30 s. */
const TIME_LIMIT_MS = 3500;
const MAX_ROUNDS = 10_000;
const HEARTBEAT_MS = 200;
/** Longer than any response takes that a daemon still sends. */
const MAX_WAIT_MS = 6000;
/** A daemon may refuse requests for this long after its link to the other one, or connections to the upstream, ended. */
const MAX_REFUSALS_MS = 5000;
const REFUSAL_PAUSE_MS = 20;
/** Bytes of heads, chunk sizes and frames beside a body. */
const MAX_OVERHEAD_BYTES = 1200;

type Framing = 'length' | 'chunks' | 'close';

/** A connection that ends; `at` is a position between the first byte and the last one. */
interface Fault {
  readonly hop: 'upstream' | 'link' | 'caller';
  readonly end: ConnectionEnd;
  readonly at: number;
  /** Whether `at` is a position in the head of the message. */
  readonly isInHead: boolean;
}

/** How the upstream begins a response. */
interface Opening {
  readonly version: 'HTTP/1.1' | 'HTTP/1.0';
  /** Whether it announces that it closes its connection after the response. */
  readonly closes: boolean;
  /** Whether an interim response comes first. */
  readonly isInformed: boolean;
}

interface Case {
  /** 0 for the daemon of the upstream, 1 for the other one. */
  readonly ingress: number;
  readonly kind: 'download' | 'non_idempotent' | 'upload';
  readonly framing: Framing;
  readonly opening: Opening;
  readonly bytes: number;
  /** Positions at which the sender pauses between two writes. */
  readonly splits: readonly number[];
  readonly fault: Fault | undefined;
}

const POSITIONS = 1_000_000;
const position = fc.oneof(
  { weight: 8, arbitrary: fc.noBias(fc.integer({ min: 0, max: POSITIONS })).map(at => at / POSITIONS) },
  { weight: 1, arbitrary: fc.constantFrom(0, 1) },
);
const ALL_HOPS = ['upstream', 'link', 'caller'] as const;
const HOPS_BEFORE_INGRESS = ['upstream', 'link'] as const;
const faultOn = (hops: readonly Fault['hop'][]): fc.Arbitrary<Fault | undefined> =>
  fc.option(
    fc.record({
      hop: fc.constantFrom(...hops),
      end: fc.constantFrom('ordinary' as const, 'reset' as const),
      at: position,
      isInHead: fc.nat({ max: 3 }).map(kind => kind === 0),
    }),
    { freq: 5, nil: undefined },
  );
const opening = fc.record<Opening>({
  version: fc.constantFrom('HTTP/1.1', 'HTTP/1.0'),
  closes: fc.boolean(),
  isInformed: fc.boolean(),
});
const bodyBytes = fc.oneof(
  fc.integer({ min: 0, max: 300 }),
  fc.integer({ min: 60_000, max: 70_000 }),
  fc.integer({ min: 70_000, max: 300_000 }),
);
const casesOf = (
  kinds: readonly Case['kind'][],
  framings: readonly Framing[],
  hops: readonly Fault['hop'][],
): fc.Arbitrary<Case> =>
  fc.record({
    ingress: fc.integer({ min: 0, max: 1 }),
    kind: fc.constantFrom(...kinds),
    framing: fc.constantFrom(...framings),
    opening,
    bytes: bodyBytes,
    splits: fc.array(position, { maxLength: 3 }),
    fault: faultOn(hops),
  });

/** Each place of a body differs from its neighbours, so that a part that is missing in the middle shows. */
function bodyOf(length: number): Buffer {
  return Buffer.alloc(length, Buffer.from(Array.from({ length: 251 }, (_, i) => i)));
}

/** A message with its head, and the number of bytes of its head. */
function messageOf(head: string, framing: Framing, body: Buffer): { bytes: Buffer; headBytes: number } {
  const framingHeader = {
    length: `Content-Length: ${String(body.length)}`,
    chunks: 'Transfer-Encoding: chunked',
    close: 'Connection: close',
  }[framing];
  const start = Buffer.from(`${head}\r\n${framingHeader}\r\n\r\n`);
  const framed = framing === 'chunks' ? chunksOf(body) : body;
  return { bytes: Buffer.concat([start, framed]), headBytes: start.length };
}

function chunksOf(body: Buffer): Buffer {
  const pieces: Buffer[] = [];
  for (let at = 0; at < body.length; at += 50_000) {
    const piece = body.subarray(at, at + 50_000);
    pieces.push(Buffer.from(`${piece.length.toString(16)}\r\n`), piece, Buffer.from('\r\n'));
  }
  return Buffer.concat([...pieces, Buffer.from('0\r\n\r\n')]);
}

/** Writes the bytes in pieces, and then ends the connection if `end` says how. */
async function writePieces(
  socket: Socket,
  bytes: Buffer,
  splits: readonly number[],
  end: ConnectionEnd | undefined,
): Promise<void> {
  const ends = splits.map(split => Math.floor(split * bytes.length)).sort((a, b) => a - b);
  let from = 0;
  for (const to of [...ends, bytes.length]) {
    if (to > from) socket.write(bytes.subarray(from, to));
    if (to < bytes.length) await sleep(2);
    from = to;
  }
  if (end === 'ordinary') socket.end();
  if (end === undefined || end === 'ordinary') return;
  await sleep(2);
  socket.resetAndDestroy();
}

/** The number of bytes of a message that are sent before its connection ends. */
function cutIn({ at, isInHead }: Fault, { bytes, headBytes }: { bytes: Buffer; headBytes: number }): number {
  return Math.floor(at * ((isInHead ? headBytes - 1 : bytes.length) + 1));
}

const SERVICES = ['exports', 'alarms'] as const;

const hostOf = (service: string, kind: string): string => `${service}-${kind.replace('_', '-')}.example`;

describe('a message whose connection ends anywhere', () => {
  let fleet: PlatformFleet;
  let cuts: SocketCuts;
  /** The second one delimits none of its responses but by their end, and belongs to the other daemon. */
  let upstreams: readonly RawUpstream[];
  const announcing: NodeJS.Timeout[] = [];
  let respondTo: (id: string, socket: Socket) => void;
  let count = 0;

  before(async () => {
    cuts = new SocketCuts();
    upstreams = [await RawUpstream.start(), await RawUpstream.start()];
    const route = { maxAttempts: 1, timeoutS: 3 };
    fleet = await PlatformFleet.start(
      [{ service: 'exports' }, { service: 'alarms' }],
      SERVICES.flatMap(service =>
        (['download', 'non_idempotent', 'upload'] as const).map(kind =>
          routeTo(service, { ...route, name: `${service}-${kind}`, kind, host: hostOf(service, kind) }),
        ),
      ),
    );
    for (const [index, service] of SERVICES.entries()) await startUpstream(index, service);
  });

  /** Announces an upstream that responds with raw bytes in place of the stand-in of a VM. */
  const startUpstream = async (index: number, service: string) => {
    const upstream = upstreams[index]!;
    const { daemon, upstream: standin } = fleet.nodes[index]!;
    standin.stopAnnouncing();
    let sequence = 0;
    const announce = () =>
      daemon.announce({
        service,
        address: upstream.address,
        slots: 50,
        connections: 50,
        state: 'ready',
        instanceId: `raw-${service}`,
        born: 1,
        sequence: ++sequence,
        warmupLeftMs: 0,
      });
    await announce();
    announcing.push(setInterval(() => void announce(), HEARTBEAT_MS));
    upstream.respond = (socket, request) => {
      const id = request.headers.get('request-id');
      if (request.path === '/health')
        socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: raw-${service}\r\nContent-Length: 0\r\n\r\n`);
      else if (id !== undefined) respondTo(id, socket);
    };
  };

  after(async () => {
    announcing.forEach(timer => clearInterval(timer));
    await fleet[Symbol.asyncDispose]();
    await Promise.all(upstreams.map(upstream => upstream[Symbol.asyncDispose]()));
    cuts[Symbol.dispose]();
  });

  afterEach(() => cuts.disarm());

  const headOf = (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Stamp: 1.2`;

  /** HTTP/1.0 has neither chunks nor interim responses. */
  const openedBy = (id: string, framing: Framing, { version, closes, isInformed }: Opening) => {
    const isOld = version === 'HTTP/1.0' && framing !== 'chunks';
    const head = isOld ? headOf(id).replace('HTTP/1.1', version) : headOf(id);
    const interim = isInformed && !isOld ? 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' : '';
    return `${interim}${head}${closes && framing !== 'close' ? '\r\nConnection: close' : ''}`;
  };

  const callersOf = (ingress: number) => fleet.nodes[ingress]!.daemon.addresses.get('callers')!;
  const peersOf = (ingress: number) => fleet.nodes[ingress]!.daemon.membership.me.address;

  /** Sends a request, and resolves with the response if it looks complete to a caller. */
  const exchange = async (
    ingress: number,
    request: Buffer,
    splits: readonly number[],
    end?: ConnectionEnd,
  ): Promise<WholeMessage | undefined> => {
    const caller = openConnection(callersOf(ingress));
    await writePieces(caller.socket, request, splits, end);
    const timer = setTimeout(() => caller.socket.destroy(new Error('No end came.')), MAX_WAIT_MS);
    await caller.closed;
    clearTimeout(timer);
    return wholeResponse(caller.bytes, caller.end);
  };

  const requestHead = (id: string, service: string, kind: Case['kind'], version: string) =>
    [
      `${kind === 'download' ? 'GET' : 'POST'} /x ${version}`,
      `Host: ${hostOf(service, kind)}`,
      `Request-Id: ${id}`,
      'Deadline-Ms: 3000',
      'Connection: close',
    ].join('\r\n');

  /** Ends a connection between daemons, or to the caller, after a part of what it carries of a message. */
  const armCut = ({ hop, end, at }: Fault, ingress: number, target: number, messageBytes: number) => {
    const bytes = Math.floor(at * (messageBytes + MAX_OVERHEAD_BYTES));
    if (hop === 'caller') cuts.arm('server', callersOf(ingress), bytes, end);
    if (hop === 'link') cuts.arm('server', peersOf(target), bytes, end);
  };

  /** Whether the upstream has received a request that looks complete. */
  const runsOf = (id: string) =>
    upstreams.flatMap(({ requests }) => requests).filter(({ headers }) => headers.get('request-id') === id);

  /** Sends one until it isn't refused as not run, each time under another id. */
  const untilAccepted = async (
    kind: Case['kind'],
    send: (id: string) => Promise<WholeMessage | undefined>,
  ): Promise<{ id: string; received: WholeMessage | undefined }> => {
    const startedAt = performance.now();
    for (;;) {
      const id = `q${String(++count)}`;
      const received = await send(id);
      cuts.disarm();
      const isRefused = received?.start === '503' && performance.now() - startedAt < MAX_REFUSALS_MS;
      if (isRefused && kind !== 'download') expect(runsOf(id).length, 'runs of what was refused').to.equal(0);
      if (!isRefused) return { id, received };
      await sleep(REFUSAL_PAUSE_MS);
    }
  };

  const checkResponse = async (one: Case, version: string): Promise<void> => {
    const { ingress, kind, framing, splits, fault: planned } = one;
    const body = bodyOf(one.bytes);
    const target = framing === 'close' ? 1 : 0;
    const isCutAtUpstream = planned?.hop === 'upstream';
    const end = isCutAtUpstream ? planned.end : framing === 'close' ? 'ordinary' : undefined;
    let ended: Promise<unknown> = Promise.resolve();
    let sent: { bytes: Buffer; headBytes: number } = { bytes: Buffer.alloc(0), headBytes: 0 };
    const { received } = await untilAccepted(kind, id => {
      const response = messageOf(openedBy(id, framing, one.opening), framing, body);
      const length = response.bytes.length;
      const sentBytes = isCutAtUpstream ? cutIn(planned, response) : length;
      sent = { ...response, bytes: response.bytes.subarray(0, sentBytes) };
      respondTo = (ofRequest, socket) => {
        if (ofRequest !== id) return void socket.destroy();
        const closed = end && new Promise(resolve => socket.once('close', resolve));
        ended = writePieces(socket, sent.bytes, splits, end).then(() => closed);
      };
      if (planned && !isCutAtUpstream) armCut(planned, ingress, target, length);
      const request = messageOf(
        requestHead(id, SERVICES[target]!, kind, version),
        'length',
        Buffer.alloc(0),
      ).bytes;
      return exchange(ingress, request, []);
    });
    // A connection that ends after a whole response would otherwise end with the request of the next case.
    await ended;
    // Without a length, the ordinary end of the upstream's connection is the end of its body.
    const isEndOfBody = framing === 'close' && end === 'ordinary' && sent.bytes.length >= sent.headBytes;
    const whole = isEndOfBody ? sent.bytes.subarray(sent.headBytes) : body;
    if (received?.start === '200') {
      expect(received.body.equals(whole), 'looks complete, and is not the body').to.equal(true);
      expect(received.rest.length, 'bytes after the response').to.equal(0);
    }
    if (!planned) expect(received?.start, 'a whole response').to.equal('200');
  };

  /** The body of a request: an upstream must not get a part of it that looks whole. */
  const checkRequest = async (one: Case): Promise<void> => {
    const { ingress, kind, framing, splits, fault: planned } = one;
    const body = bodyOf(one.bytes);
    const isCutAtCaller = planned?.hop === 'caller';
    respondTo = (ofRequest, socket) =>
      socket.write(messageOf(headOf(ofRequest), 'length', Buffer.from('ok')).bytes);
    const { id, received } = await untilAccepted(kind, requestId => {
      const request = messageOf(requestHead(requestId, SERVICES[0], kind, 'HTTP/1.1'), framing, body);
      const { bytes } = request;
      const sentBytes = isCutAtCaller ? cutIn(planned, request) : bytes.length;
      const cutAt = planned ? Math.floor(planned.at * (bytes.length + MAX_OVERHEAD_BYTES)) : 0;
      if (planned?.hop === 'link') cuts.arm('client', peersOf(0), cutAt, planned.end);
      if (planned?.hop === 'upstream') cuts.arm('client', upstreams[0]!.address, cutAt, planned.end);
      return exchange(ingress, bytes.subarray(0, sentBytes), splits, isCutAtCaller ? planned.end : undefined);
    });
    const runs = runsOf(id);
    for (const run of runs)
      expect(run.body.equals(body), 'looks complete, and is not the body').to.equal(true);
    expect(runs.length, 'runs').to.be.lessThan(2);
    if (received?.start === '200') expect(runs.length, 'runs of what has a response').to.equal(1);
    if (!planned) expect(received?.start, 'a whole request').to.equal('200');
  };

  const checkAll = async (cases: fc.Arbitrary<Case>, check: (one: Case) => Promise<void>) => {
    const limit = ROUNDS > 0 ? {} : { interruptAfterTimeLimit: TIME_LIMIT_MS, markInterruptAsFailure: false };
    const started = count;
    let running: Promise<void> = Promise.resolve();
    const property = fc.asyncProperty(cases, one => (running = check(one)));
    await fc.assert(property, {
      ...limit,
      numRuns: ROUNDS > 0 ? ROUNDS : MAX_ROUNDS,
      endOnFailure: true,
    });
    // The time limit ends the wait for the latest case, but not the case, which would disturb the next test.
    await running;
    process.stdout.write(`      ${String(count - started)} messages\n`);
  };

  const checkResponses = (
    framings: readonly Framing[],
    hops: readonly Fault['hop'][],
    version = 'HTTP/1.1',
  ) => checkAll(casesOf(['download', 'non_idempotent'], framings, hops), one => checkResponse(one, version));

  // Guards against a part of a response that looks complete to its caller, and a whole one that is cut.
  describe('is never a part of a response that looks complete', () => {
    it('if the response of the upstream has a length', () => checkResponses(['length'], ALL_HOPS));

    it('if the response of the upstream is in chunks', () => checkResponses(['chunks'], ALL_HOPS));

    describe('if only its end delimits the response of the upstream', () => {
      it('and the connection of the upstream or between two daemons ends', () =>
        checkResponses(['close'], HOPS_BEFORE_INGRESS));

      it('and the connection to the caller ends', () => checkResponses(['close'], ['caller']));
    });

    describe('if the caller speaks HTTP/1.0', () => {
      it('and the connection of the upstream or between two daemons ends', () =>
        checkResponses(['length', 'chunks'], HOPS_BEFORE_INGRESS, 'HTTP/1.0'));

      it('and the connection to the caller ends', () => checkResponses(['length'], ['caller'], 'HTTP/1.0'));
    });
  });

  // Guards against a part of a request body that looks complete to an upstream.
  it('is never a part of a request that looks complete', () =>
    checkAll(casesOf(['non_idempotent', 'upload'], ['length', 'chunks'], ALL_HOPS), checkRequest));
}).timeout(ROUNDS > 0 ? 3_600_000 : 60_000);
