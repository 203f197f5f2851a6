import { deployments, operatorFileOf } from '@cleatquay/bench';
import { SystemClock } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { StoreClient } from '@cleatquay/platform';
import { StoreStandin } from '@cleatquay/standins';
import { HttpStore } from '@cleatquay/store';
import { expect } from 'chai';
import { type Socket } from 'node:net';
import { type WholeMessage } from './fixtures/httpMessages.js';
import { RawUpstream, sendWithoutEnd } from './fixtures/rawConnections.js';

const CLOSE_DELIMITED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

const ENDINGS: Record<string, (socket: Socket, text: string) => void> = {
  'the ordinary end of its connection': (socket, text) => socket.end(text),
  'a reset of its connection': (socket, text) =>
    socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 5)),
};

describe('a response of the store without a length that is cut off by', () => {
  let server: RawUpstream;

  beforeEach(async () => {
    server = await RawUpstream.start();
  });

  afterEach(() => server[Symbol.asyncDispose]());

  for (const [name, end] of Object.entries(ENDINGS)) {
    describe(name, () => {
      // Guards against a part of a page that is read as all rows.
      it('is no page of rows, whatever its length', async () => {
        const rows = ['a', 'b'].map(key => ({ key, value: 'e30=', rowVersion: 7 }));
        const page = JSON.stringify({ rows, hasMore: false, rowVersion: 9 });
        await using client = new StoreClient(server.address, new SystemClock());
        const { signal } = new AbortController();
        for (let length = 0; length < page.length; length++) {
          server.respond = socket => end(socket, `${CLOSE_DELIMITED}${page.slice(0, length)}`);
          const outcome = await client.rows('servers', signal).then(
            () => 'rows',
            () => 'failed',
          );
          expect(outcome, `of ${String(length)} bytes`).to.equal('failed');
        }
        server.respond = socket => end(socket, `${CLOSE_DELIMITED}${page}`);
        expect((await client.rows('servers', signal)).rows).to.have.lengthOf(2);
      });

      // Guards against an accepted configuration that the command reports as failed, and a part of an object that is read as all of it.
      describe('when the configuration is written or read', () => {
        let store: StoreStandin;
        let configurations: ConfigurationStore;
        let platform: HttpStore;
        let isCut: (request: WholeMessage, path: string) => boolean;
        let cuts: number;

        beforeEach(async () => {
          store = new StoreStandin();
          cuts = 0;
          const url = await store.listen();
          platform = new HttpStore(`http://${server.address}`);
          configurations = new ConfigurationStore(platform, new SystemClock());
          server.respond = (socket, request) => void forward(socket, request, url);
        });

        afterEach(async () => {
          await platform[Symbol.asyncDispose]();
          await store[Symbol.asyncDispose]();
        });

        const forward = async (socket: Socket, request: WholeMessage, url: string) => {
          const { start: method, body, path } = request;
          const response = await fetch(`${url}${path}`, { method, ...(method !== 'GET' && { body }) });
          const text = await response.text();
          if (response.status === 200 && isCut(request, path) && cuts++ === 0)
            return end(socket, `${CLOSE_DELIMITED}${text.slice(0, -2)}`);
          const head = `HTTP/1.1 ${String(response.status)} x\r\nContent-Length: ${String(Buffer.byteLength(text))}`;
          socket.end(`${head}\r\nConnection: close\r\n\r\n${text}`);
        };

        it('does not make an accepted configuration a failed one', async () => {
          isCut = (_request, path) => path === '/table';
          const { applied } = await configurations.apply(operatorFileOf(deployments.frostline!));
          expect(applied.generation).to.equal(1);
          expect(cuts).to.be.greaterThan(0);
        });

        it('is no object, and reported as a store that does not respond', async () => {
          isCut = (_request, path) => path.startsWith('/objects/');
          await configurations.apply(operatorFileOf(deployments.frostline!));
          await platform.put('section-x', '{"timeoutMs":1}');
          cuts = 0;
          const outcome = await platform.get('section-x').then(
            text => text,
            (error: unknown) => (error as { result?: string }).result,
          );
          expect(outcome).to.equal('platformDown');
        });
      });
    });
  }
});

describe('a response of the store', () => {
  /** Several times the longest response that a client of the store accepts. */
  const MAX_SENT_BYTES = 100_000_000;
  const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n';
  let server: RawUpstream;

  beforeEach(async () => {
    server = await RawUpstream.start();
  });

  afterEach(() => server[Symbol.asyncDispose]());

  const resultOf = (call: Promise<unknown>): Promise<string | undefined> =>
    call.then(
      () => 'done',
      (error: unknown) => (error as { result?: string }).result,
    );

  // Guards against a process that runs out of memory by what the store sends.
  for (const client of ['rows', 'objects'] as const)
    it(`without end is read up to a limit, ${client}`, async () => {
      let sentBytes = () => MAX_SENT_BYTES;
      server.respond = socket => {
        socket.write(`${HEAD}{"rows":[`);
        sentBytes = sendWithoutEnd(socket, MAX_SENT_BYTES);
      };
      await using rows = new StoreClient(server.address, new SystemClock());
      await using objects = new HttpStore(`http://${server.address}`);
      const call = client === 'rows' ? rows.rows('daemons', new AbortController().signal) : objects.get('x');
      expect(await resultOf(call)).to.equal('platformAnswerInvalid');
      expect(sentBytes()).to.be.below(MAX_SENT_BYTES);
    });

  // Guards against reads that never end, or miss rows, since a page says that there are more and doesn't advance.
  for (const [name, keys] of Object.entries({ 'no rows': [], 'the rows of the page before': ['a'] }))
    it(`that states more rows after ${name} is refused`, async () => {
      const rows = keys.map(key => ({ key, value: 'e30=', rowVersion: 7 }));
      const page = JSON.stringify({ rows, hasMore: true, rowVersion: 9 });
      server.respond = socket => socket.end(`${HEAD}${page}`);
      await using client = new StoreClient(server.address, new SystemClock());
      const call = client.rows('daemons', AbortSignal.timeout(3000));
      expect(await resultOf(call)).to.equal('platformAnswerInvalid');
      expect(server.requests.length).to.be.below(3);
    });

  // Guards against the text of an error that is read as an object.
  it('with an error status is no object', async () => {
    server.respond = socket => socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\n{}');
    await using client = new HttpStore(`http://${server.address}`);
    expect(await resultOf(client.get('x'))).to.equal('platformDown');
  });
});

describe('an object of the store with the content of another one', () => {
  // Guards against a configuration that no operator has applied.
  it('is no section of a configuration', async () => {
    await using store = new StoreStandin();
    await using platform = new HttpStore(await store.listen());
    await new ConfigurationStore(platform, new SystemClock()).apply(operatorFileOf(deployments.frostline!));
    const isManifest = (name: string) => name.startsWith('manifest-');
    const altered = {
      read: (key: string) => platform.read(key),
      commit: () => Promise.reject(new Error('Not used.')),
      put: () => Promise.reject(new Error('Not used.')),
      get: async (name: string) => {
        const content = await platform.get(name);
        return isManifest(name) ? content : content?.replace(/"slots":\d+/, '"slots":1');
      },
    };
    const configurations = new ConfigurationStore(altered, new SystemClock());
    const outcome = await configurations.read().then(
      () => 'read',
      (error: unknown) => (error as { result?: string }).result,
    );
    expect(outcome).to.equal('platformAnswerInvalid');
  });
});
