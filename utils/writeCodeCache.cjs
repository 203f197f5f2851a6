/**
 * Runs two bundled daemons with stand-ins, sends requests through them and writes what V8 has compiled to a code cache, so that
 * a daemon needn't compile it again at startup. V8 rejects a cache that was created under other flags, so the build runs this
 * script with those of deploy/system.toml.
 */
const { writeFileSync } = require('node:fs');
const { request, Agent } = require('node:http');
const { join } = require('node:path');
const { performance } = require('node:perf_hooks');

const target = join(__dirname, '..', 'target');
const { load, CODE_CACHE } = require(join(target, 'cleatquay.cjs'));
const { PlatformStoreStandin, PlatformUpstreamStandin } = require(join(target, 'standins.cjs'));

/** Enough for V8 to compile all code on the path of a request. */
const REQUESTS = 200;
/** On a busy VM the daemons refuse requests for want of processor time: more are sent until so many were served, for a limited time. */
const MIN_SERVED = REQUESTS / 4;
const MAX_SEND_MS = 30_000;
const REFUSAL_DELAY_MS = 50;
/** Two daemons are ready within a second or two; if they never are, the build must fail instead of waiting forever. */
const MAX_START_MS = 30_000;
const ANY_PORT = '127.0.0.1:0';

const { script, exports: bundle } = load();

function settingsFor(service, store) {
  const retries = { ratio: 0, extra: 0, windowMs: 1000 };
  const location = {
    ip: '127.0.0.1',
    failureDomain: 'here',
    seeds: [],
    innerPort: 0,
    gossipPort: 0,
    operatorPort: 0,
  };
  const daemon = {
    ...location,
    service,
    callers: ANY_PORT,
    heartbeatMs: 1000,
    graceMs: 1000,
    retries,
    logLevel: 'info',
  };
  return { daemon, readiness: ANY_PORT, announcements: ANY_PORT, store };
}

async function startNode(service, store, calls) {
  const daemon = await bundle.startDaemonWith(settingsFor(service, store));
  const addresses = Object.fromEntries(daemon.addresses);
  const upstream = new PlatformUpstreamStandin(`i-${service}`, service, addresses, { workMs: 1, calls });
  await upstream.listen();
  await upstream.announce();
  return { ...addresses, isReady: () => daemon.isReady };
}

function sendRequest(agent, address, host, method, id) {
  const [ip, port] = address.split(':');
  const headers = { host, 'Request-Id': id, 'Deadline-Ms': '2000' };
  return new Promise(resolve => {
    const call = request({ agent, host: ip, port, path: '/x', method, headers }, response => {
      response.resume();
      response.on('end', () => resolve(response.statusCode));
    });
    call.on('error', () => resolve(0));
    call.end(method === 'POST' ? '{}' : undefined);
  });
}

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

async function main() {
  const store = new PlatformStoreStandin();
  const address = await store.listen();
  const route = (name, kind, service) => ({
    name,
    host: `${name}.example`,
    pathPrefix: '/',
    kind,
    timeoutS: 2,
    service,
    maxAttempts: 2,
  });
  const routes = [
    route('a', 'idempotent', 'a'),
    route('b', 'idempotent', 'b'),
    route('c', 'non_idempotent', 'b'),
  ];
  const limits = { maxHeaderBytes: 16384, maxBodyBytes: 1e6, headerTimeoutS: 3, idleTimeoutS: 15 };
  store.put('op', 'config', JSON.stringify({ version: '00000001', routes, services: [], limits }));
  const nodes = [
    await startNode('a', address, [{ host: 'b.example', path: '/y' }]),
    await startNode('b', address, []),
  ];
  const deadline = performance.now() + MAX_START_MS;
  while (!nodes.every(node => node.isReady())) {
    if (performance.now() > deadline) throw new Error('The daemons were not ready in time.');
    await sleep(20);
  }
  const agent = new Agent({ keepAlive: true });
  const statuses = new Map();
  const served = () => statuses.get(200) ?? 0;
  const sendBy = performance.now() + MAX_SEND_MS;
  for (let i = 0; i < REQUESTS || (served() < MIN_SERVED && performance.now() < sendBy); i++) {
    const [host, method] = [
      ['a.example', 'GET'],
      ['b.example', 'GET'],
      ['c.example', 'POST'],
      ['no.example', 'GET'],
    ][i % 4];
    const status = await sendRequest(agent, nodes[(i >> 2) % 2].callers, host, method, `q${String(i)}`);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
    if (i >= REQUESTS) await sleep(REFUSAL_DELAY_MS);
  }
  if (served() < MIN_SERVED)
    throw new Error(`Unexpected response statuses: ${JSON.stringify([...statuses])}`);
  writeFileSync(CODE_CACHE, script.createCachedData());
  process.exit(0);
}

main().catch(error => {
  process.stderr.write(`${String(error.stack)}\n`);
  process.exit(1);
});
