/**
 * Guards against calls to the store that never time out: daemons then kept an old configuration for as long as they ran, logged nothing, and
 * did not report the store as unreachable, so that other daemons relied on them.
 *
 * It happens when the connection to the store stalls during a call and garbage is collected meanwhile: the timeout was a signal that only a
 * composite signal referenced, weakly, and Node.js drops the timer with it. `AbortSignal.any([signal, AbortSignal.timeout(500)])` with a
 * garbage collection after 100 ms had not fired after 3 s in 2 of 2 attempts (node 20.20.2). Of nine daemons in the users' record of stalled
 * feeds, two logged a timeout.
 */
import { SystemClock } from '@cleatquay/clock';
import { StoreClient } from '@cleatquay/platform';
import { LoopbackProxy, PlatformStoreStandin } from '@cleatquay/standins';
import { expect } from 'chai';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Well beyond the client's timeout of 1.5 s. */
const MAX_WAIT_MS = 4000;
/** More than one page of the store. */
const MANY_ROWS = 600;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

describe('the client of the store', () => {
  let store: PlatformStoreStandin;
  let proxy: LoopbackProxy;
  let client: StoreClient;
  const { signal } = new AbortController();

  beforeEach(async () => {
    store = new PlatformStoreStandin();
    proxy = await LoopbackProxy.start(await store.listen());
    client = new StoreClient(proxy.address, new SystemClock());
  });

  afterEach(async () => {
    await client[Symbol.asyncDispose]();
    await proxy[Symbol.asyncDispose]();
    await store[Symbol.asyncDispose]();
  });

  const read = () => client.rows('op', signal);

  it('times out on a stalled connection even if garbage is collected meanwhile', async () => {
    // As many calls as the client has connections, so that it opens no new one.
    await Promise.all([read(), read(), read()]);
    proxy.stall();
    const outcome = read().then(
      () => 'a response',
      (error: unknown) => String(error),
    );
    const collecting = setInterval(collectGarbage, 100);
    const deadline = new Promise<string>(resolve => setTimeout(() => resolve('nothing'), MAX_WAIT_MS));
    const first = await Promise.race([outcome, deadline]);
    clearInterval(collecting);
    expect(first).to.contain('TimeoutError');
  });

  it('loses only one call when several idle connections stall', async () => {
    await Promise.all([read(), read(), read()]);
    proxy.stall();
    const lost = await read().catch((error: unknown) => error);
    expect(String(lost)).to.contain('TimeoutError');
    const start = performance.now();
    await read();
    expect(performance.now() - start).to.be.below(1000);
  });

  it('returns changes to rows that were read before the last page', async () => {
    for (let i = 0; i < MANY_ROWS; i++) store.put('daemons', `row-${String(i).padStart(4, '0')}`, 'old');
    const table = client.rows('daemons', signal);
    while (store.calls.get('/cleatquay/rows-get') !== 1) await new Promise(resolve => setImmediate(resolve));
    store.put('daemons', 'row-0000', 'new');
    const { rows, version } = await table;
    const changes = await client.changes('daemons', version, 0, signal);
    const versions = [...rows, ...(changes?.rows ?? [])].filter(({ key }) => key === 'row-0000');
    expect(versions.at(-1)?.text).to.equal('new');
  });
});
