/** The daemon as a process: settings, logs, signals, exit codes. */
import { SystemClock, seededRandom } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { loadProcessSettings } from '@cleatquay/settings';
import { pino } from 'pino';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { Daemon } from './daemon.js';

/** 0: ended after a drain; 2: settings; 1: anything else. */
const EXIT_SETTINGS = 2;
const EXIT_OTHER = 1;

const argv = await yargs(hideBin(process.argv))
  .scriptName('cleatquayd')
  .usage(
    '$0 --settings FILE\n\nRuns the daemon beside an upstream. Flags and CLEATQUAY_* variables go before the file.',
  )
  .env('CLEATQUAY')
  .options({
    settings: { type: 'string', describe: 'JSON file, see docs/operators/settings.md' },
    ip: { type: 'string', describe: 'IP number of this VM' },
    failureDomain: { type: 'string' },
    callerPort: { type: 'number' },
    innerPort: { type: 'number' },
    gossipPort: { type: 'number' },
    operatorPort: { type: 'number' },
    seeds: { type: 'string', array: true, describe: 'gossip addresses to join by' },
    platform: { type: 'string', describe: 'URL of the platform' },
    logLevel: { type: 'string' },
    drainMs: { type: 'number' },
    protection: { type: 'boolean' },
    faultHooks: { type: 'boolean' },
  })
  .strict()
  .parse();

/** The flags that were given; names as yargs also spells them with dashes are left out. */
function givenFlags(): Record<string, unknown> {
  const skipped = ['settings', '_', '$0'];
  return Object.fromEntries(
    Object.entries(argv).filter(([key]) => !skipped.includes(key) && !key.includes('-')),
  );
}

function fail(error: unknown): never {
  const failure = asFailure(error);
  process.stderr.write(`${failure.describe()}\n`);
  process.exit(failure.row.code < 2000 ? EXIT_SETTINGS : EXIT_OTHER);
}

try {
  const settings = loadProcessSettings(argv.settings, givenFlags());
  const log = pino({ level: settings.logLevel, base: null });
  const daemon = await Daemon.start({ settings, clock: new SystemClock(), random: seededRandom(), log });
  log.info({ addresses: daemon.addresses }, 'Daemon: Ready for callers.');
  const stop = async (signal: string) => {
    log.info(`Daemon: ${signal} received. Draining.`);
    await daemon.drain();
    await daemon[Symbol.asyncDispose]();
    log.info('Daemon: Ended.');
    process.exit(0);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => void stop(signal).catch(fail));
} catch (error) {
  fail(error);
}
