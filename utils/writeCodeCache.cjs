/**
 * Runs two bundled daemons on stand-ins for a moment, and keeps what V8 compiled meanwhile, so that a daemon that
 * starts needn't compile it again. V8 takes it only with the same flags, so that this runs with those of deploy/.
 */
const { writeFileSync } = require('node:fs');
const { request, Agent } = require('node:http');
const { join } = require('node:path');
const { performance } = require('node:perf_hooks');

const target = join(__dirname, '..', 'target');
const { load, CODE_CACHE } = require(join(target, 'cleatquay.cjs'));
const { PlatformStoreStandin, PlatformUpstreamStandin } = require(join(target, 'standins.cjs'));

/** Enough for every step of a request to be compiled. */
const REQUESTS = 200;
/** Two daemons are ready within a second or two; a build must not wait for ever for those that never are, ms. */
const LONGEST_START_MS = 30_000;
const ANY_PORT = '127.0.0.1:0';

const { script, exports: program } = load();

function settingsFor(service, store) {
  const retries = { ratio: 0, extra: 0, windowMs: 1000 };
  const place = {
    ip: '127.0.0.1',
    failureDomain: 'here',
    seeds: [],
    innerPort: 0,
    gossipPort: 0,
    operatorPort: 0,
  };
  const daemon = {
    ...place,
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
  const daemon = await program.startDaemonWith(settingsFor(service, store));
  const addresses = Object.fromEntries(daemon.addresses);
  const upstream = new PlatformUpstreamStandin(`i-${service}`, service, addresses, { workMs: 1, calls });
  await upstream.listen();
  await upstream.announce();
  return { ...addresses, isReady: () => daemon.isReady };
}

function ask(agent, address, host, method, id) {
  const [ip, port] = address.split(':');
  const headers = { host, 'Request-Id': id, 'Deadline-Ms': '2000' };
  return new Promise(resolve => {
    const call = request({ agent, host: ip, port, path: '/x', method, headers }, answer => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode));
    });
    call.on('error', () => resolve(0));
    call.end(method === 'POST' ? '{}' : undefined);
  });
}

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
  const latest = performance.now() + LONGEST_START_MS;
  while (!nodes.every(node => node.isReady())) {
    if (performance.now() > latest) throw new Error('The daemons did not get ready.');
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  const agent = new Agent({ keepAlive: true });
  const statuses = new Map();
  for (let i = 0; i < REQUESTS; i++) {
    const [host, method] = [
      ['a.example', 'GET'],
      ['b.example', 'GET'],
      ['c.example', 'POST'],
      ['no.example', 'GET'],
    ][i % 4];
    const status = await ask(agent, nodes[(i >> 2) % 2].callers, host, method, `q${String(i)}`);
    statuses.set(status, (statuses.get(status) ?? 0) + 1);
  }
  if ((statuses.get(200) ?? 0) < REQUESTS / 4)
    throw new Error(`Unexpected answers: ${JSON.stringify([...statuses])}`);
  writeFileSync(CODE_CACHE, script.createCachedData());
  process.exit(0);
}

main().catch(error => {
  process.stderr.write(`${String(error.stack)}\n`);
  process.exit(1);
});
