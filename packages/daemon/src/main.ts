/** Entry point of the daemon process: settings, logs, signals, exit codes. */
import { ProcessorPressure } from '@cleatquay/admission';
import { SystemClock, seededRandom } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { loadProcessSettings } from '@cleatquay/settings';
import { destination, pino } from 'pino';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { Daemon } from './daemon.js';
import { ProcessStop } from './processStop.js';
import { UnhandledExceptions } from './unhandledExceptions.js';

/** Exit codes. A shutdown after a drain exits with 0. */
const EXIT_INVALID_SETTINGS = 2;
const EXIT_FAILURE = 1;
const STANDARD_OUTPUT = 1;
/** Upper bound of the time to close everything after the drain that follows an exception, ms. */
const MAX_CLOSE_MS = 2000;

const argv = await yargs(hideBin(process.argv))
  .scriptName('cleatquayd')
  .usage(
    '$0 --settings FILE\n\nRuns the daemon of an upstream. Flags and CLEATQUAY_* variables take precedence over the file.',
  )
  .env('CLEATQUAY')
  .options({
    settings: { type: 'string', describe: 'JSON file, see docs/operators/settings.md' },
    ip: { type: 'string', describe: 'IP address of this VM' },
    failureDomain: { type: 'string' },
    callerPort: { type: 'number' },
    innerPort: { type: 'number' },
    gossipPort: { type: 'number' },
    operatorPort: { type: 'number' },
    seeds: { type: 'string', array: true, describe: 'gossip addresses of members to join through' },
    platform: { type: 'string', describe: 'URL of the platform' },
    logLevel: { type: 'string' },
    drainMs: { type: 'number' },
    protection: { type: 'boolean' },
    faultHooks: { type: 'boolean' },
  })
  .strict()
  .parse();

/** Options given as flags or variables, without the kebab-case aliases that yargs adds. */
function givenOptions(): Record<string, unknown> {
  const skipped = ['settings', '_', '$0'];
  return Object.fromEntries(
    Object.entries(argv).filter(([key]) => !skipped.includes(key) && !key.includes('-')),
  );
}

function exitWithError(error: unknown): never {
  const failure = asFailure(error);
  process.stderr.write(`${failure.describe()}\n`);
  process.exit(failure.row.code < 2000 ? EXIT_INVALID_SETTINGS : EXIT_FAILURE);
}

try {
  const settings = loadProcessSettings(argv.settings, givenOptions());
  const logOutput = destination(STANDARD_OUTPUT);
  const log = pino({ level: settings.logLevel, base: null }, logOutput);
  const clock = new SystemClock();
  const daemon = await Daemon.start({ settings, clock, random: seededRandom(), log });
  log.info({ addresses: daemon.addresses }, 'Daemon: Ready for callers.');
  const pressure = new ProcessorPressure(clock, () => 1);
  const stop = new ProcessStop({
    run: async reason => {
      await daemon.drain(reason);
      await daemon[Symbol.asyncDispose]();
      log.info('Daemon: Stopped.');
    },
    extend: () => undefined,
    exit: code => process.exit(code),
    fail: exitWithError,
  });
  new UnhandledExceptions({
    clock,
    facts: () => ({ ...daemon.outstanding, lagMs: Math.round(pressure.lagMs) }),
    log: (message, facts) => log.error(facts, message),
    stop: () => stop.begin('failure'),
    maxStopMs: settings.drainMs + MAX_CLOSE_MS,
    exit: () => process.exit(stop.exitCode),
  }).watch(process, [logOutput, process.stdout, process.stderr]);
  // Without a listener, a repeated signal would end the process with requests in flight.
  for (const signal of ['SIGTERM', 'SIGINT'])
    process.on(signal, () => {
      log.info(`Daemon: Received ${signal}. Draining.`);
      stop.begin('planned');
    });
} catch (error) {
  exitWithError(error);
}
