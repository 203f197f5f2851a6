/** `npm start`: runs a whole deployment on loopback, sends a mix of requests through it and prints a table of the results. */
import { Caller } from '@cleatquay/caller';
import { type Random, SystemClock, seededRandom } from '@cleatquay/clock';
import { CallGraph, type Route } from '@cleatquay/settings';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureAddedLatency } from './addedLatency.js';
import { type RequestResult, ClassStatistics, isCompleteResponse } from './classStatistics.js';
import { deployments, operatorFileOf } from './deployments.js';
import { Fleet } from './fleet.js';
import { table } from './table.js';

const REQUESTS = 600;
const RATE_PER_SECOND = 100;

const argv = await yargs(hideBin(process.argv))
  .options({
    deployment: { choices: Object.keys(deployments), default: 'frostline' },
    once: { type: 'boolean', default: false, describe: 'exit after printing the table' },
    seed: { type: 'string', default: '1' },
  })
  .strict()
  .parse();

const deployment = deployments[argv.deployment];
if (!deployment) throw new Error(`No deployment is named ${argv.deployment}.`);
const clock = new SystemClock();
const random: Random = seededRandom(argv.seed);
const file = operatorFileOf(deployment);
const graph = new CallGraph(file);
const routes = Object.entries(file.services).flatMap(([service, { routes: declared }]) =>
  Object.keys(declared).flatMap(name => graph.get(`${service}.${name}`) ?? []),
);

const nodes = Object.entries(deployment.upstreams).flatMap(([service, count]) =>
  Array.from({ length: count }, (_, i) => ({
    service,
    failureDomain: deployment.failureDomains[i % deployment.failureDomains.length] ?? '',
    behaviour: { slots: file.services[service]?.slots ?? 1, serviceMs: deployment.serviceMs[service] ?? 1 },
  })),
);

process.stdout.write(
  `Starting ${deployment.name}: ${String(nodes.length)} upstreams, each with its own daemon.\n`,
);
await using fleet = await Fleet.start({ path: deployment.path, file, nodes, seed: argv.seed });
process.stdout.write(`Sending ${String(REQUESTS)} requests at ${String(RATE_PER_SECOND)} per second.\n`);
const statistics = new ClassStatistics(file.classes);
const callers = fleet.callerUrls.map(
  url => new Caller({ daemons: [url, ...fleet.callerUrls], clock, random }),
);
await sendMix();
process.stdout.write(`${statistics.table()}\n${await addedLatencyTable()}\n`);
for (const caller of callers) await caller[Symbol.asyncDispose]();
if (!argv.once) await waitForInterrupt();
process.exitCode = statistics.allSucceeded ? 0 : 1;

async function sendMix(): Promise<void> {
  const sent: Promise<void>[] = [];
  for (let i = 0; i < REQUESTS; i++) {
    const route = routes[Math.floor(random() * routes.length)];
    if (route) sent.push(sendOne(route, i));
    await clock.sleep(1000 / RATE_PER_SECOND);
  }
  await Promise.all(sent);
}

async function sendOne(route: Route, i: number): Promise<void> {
  const token = `${argv.seed}-${String(i)}`;
  const start = clock.now();
  const caller = callers[i % callers.length];
  const result = await caller?.send({
    method: route.method,
    path: `/${route.service}${route.path.replaceAll(/:\w+/g, '7')}?size=200`,
    idempotent: route.idempotent,
    timeoutMs: route.timeoutMs,
    headers: { 'x-token': token },
    ...(route.method === 'GET' ? {} : { body: JSON.stringify({ token }) }),
  });
  const requestResult: RequestResult = {
    outcome: result?.outcome ?? 'unknown',
    ms: clock.now() - start,
    isComplete: isCompleteResponse(result, token, route.name),
  };
  statistics.add(route.class, requestResult);
}

/** Latency added by the daemons, from pairs of requests: one directly to an upstream, then one through a daemon. */
async function addedLatencyTable(): Promise<string> {
  const leafRoute = routes.find(
    route => route.idempotent && route.calls.length === 0 && route.method === 'GET',
  );
  if (!leafRoute) return '';
  const { p50, p99 } = await measureAddedLatency(fleet, leafRoute, clock);
  return table(
    ['latency added by the daemons', 'p50 ms', 'p99 ms'],
    [[`one call of ${leafRoute.name}`, p50.toFixed(2), p99.toFixed(2)]],
  );
}

async function waitForInterrupt(): Promise<void> {
  const [first] = fleet.nodes;
  const daemon = first?.addresses.operator ?? '';
  process.stdout.write(`\nRunning until Ctrl-C. Try in another terminal:\n`);
  process.stdout.write(`  npx cleatquay status --daemon ${daemon}\n`);
  process.stdout.write(`  npx cleatquay history --platform ${fleet.platformUrl}\n`);
  process.stdout.write(`  npx cleatquay dump ${daemon}\n`);
  await new Promise<void>(resolve => process.once('SIGINT', resolve));
}
