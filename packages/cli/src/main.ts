/** The executable: defines the commands; a failure prints one line with its result code to stderr. */
import { SystemClock } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { Failure, type ResultName, asFailure } from '@cleatquay/errors';
import { HttpStore } from '@cleatquay/store';
import { OperatorFileSchema, ProcessSettingsSchema } from '@cleatquay/settings';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { type AcceptedGeneration, ConfigurationCommands } from './configurationCommands.js';
import { FleetCommands } from './fleetCommands.js';
import { explainFromLogs, readLogs } from './logExplanation.js';
import { newKey } from './newKey.js';

/** 2: invalid input; 3: conflict with another operator; 4: accepted, but not yet active everywhere; 5: platform or daemon unavailable. */
const EXIT_CODES: Partial<Record<ResultName, number>> = {
  applyConflict: 3,
  notInForce: 4,
  platformDown: 5,
  platformAnswerInvalid: 5,
  daemonUnreachable: 5,
};
const EXIT_INPUT = 2;
const EXIT_OTHER = 1;

const clock = new SystemClock();

interface CommonFlags {
  readonly platform?: string | undefined;
  readonly daemon?: string | undefined;
}

async function withPlatform<T>(
  flags: CommonFlags,
  use: (commands: ConfigurationCommands) => Promise<T>,
): Promise<T> {
  if (flags.platform === undefined) throw missingOption('platform');
  await using platform = new HttpStore(flags.platform);
  return await use(new ConfigurationCommands(new ConfigurationStore(platform, clock)));
}

function fleetCommands(flags: CommonFlags): FleetCommands {
  if (flags.daemon === undefined) throw missingOption('daemon');
  return new FleetCommands(flags.daemon, clock);
}

function missingOption(field: string): Failure {
  return new Failure(`Expected --${field} or the variable CLEATQUAY_${field.toUpperCase()}.`, {
    result: 'usageInvalid',
    field,
  });
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function applyChange(
  flags: CommonFlags & { wait?: boolean | undefined; waitMs: number },
  change: (commands: ConfigurationCommands) => Promise<AcceptedGeneration>,
): Promise<void> {
  const { generation, digest, text } = await withPlatform(flags, change);
  print(text);
  if (flags.wait) print(await fleetCommands(flags).waitFor(generation, digest, flags.waitMs));
}

const FILE_OPTION = { type: 'string', demandOption: true, describe: 'the operator file' } as const;
const GENERATION_OPTION = { type: 'number' } as const;
const WAIT_OPTIONS = {
  wait: { type: 'boolean', describe: 'wait until it is active on all daemons (needs --daemon)' },
  waitMs: { type: 'number', default: 11_000 },
} as const;

const program = yargs(hideBin(process.argv))
  .scriptName('cleatquay')
  .env('CLEATQUAY')
  .options({
    platform: { type: 'string', describe: 'URL of the platform' },
    daemon: { type: 'string', describe: 'operator address of any daemon, ip:port' },
  })
  .command(
    'validate <file>',
    'validate a file',
    y => y.positional('file', FILE_OPTION),
    a => print(ConfigurationCommands.validate(a.file)),
  )
  .command(
    'diff <file>',
    'show what applying a file would change',
    y => y.positional('file', FILE_OPTION),
    async a => print(await withPlatform(a, commands => commands.diff(a.file))),
  )
  .command(
    'apply <file>',
    'apply a file as the next generation',
    y =>
      y.positional('file', FILE_OPTION).options({
        base: { ...GENERATION_OPTION, describe: 'fail unless this is the latest generation' },
        ...WAIT_OPTIONS,
      }),
    a => applyChange(a, commands => commands.apply(a.file, a.base)),
  )
  .command(
    'rollback <generation>',
    'apply the content of an earlier generation as the next one',
    y => y.positional('generation', { ...GENERATION_OPTION, demandOption: true }).options(WAIT_OPTIONS),
    a => applyChange(a, commands => commands.rollback(a.generation)),
  )
  .command(
    'history',
    'list the latest generations',
    y => y,
    async a => print(await withPlatform(a, commands => commands.history())),
  )
  .command(
    'show [generation]',
    'show the file of a generation',
    y => y.positional('generation', GENERATION_OPTION),
    async a => print(await withPlatform(a, commands => commands.show(a.generation))),
  )
  .command(
    'status',
    'show the state and load of each daemon',
    y => y,
    async a => print(await fleetCommands(a).status()),
  )
  .command(
    'members',
    'list the members as known to a daemon',
    y => y,
    async a => print(await fleetCommands(a).members()),
  )
  .command(
    'routes',
    'list the upstreams as known to a daemon',
    y => y,
    async a => print(await fleetCommands(a).routes()),
  )
  .command(
    'dump [address]',
    'dump the state of a daemon',
    y => y.positional('address', { type: 'string' }),
    async a => print(await fleetCommands({ daemon: a.address ?? a.daemon }).dump()),
  )
  .command(
    'drain',
    'stop new requests to the upstreams of --daemon',
    y => y,
    async a => print(await fleetCommands(a).drain(true)),
  )
  .command(
    'undrain',
    'resume requests to the upstreams of --daemon',
    y => y,
    async a => print(await fleetCommands(a).drain(false)),
  )
  .command(
    'organisations',
    'count the requests of each organisation by how they ended',
    y => y,
    async a => print(await fleetCommands(a).organisations()),
  )
  .command(
    'new-key',
    'generate an API key for an organisation, shown once, and the digest that daemons store',
    y => y,
    () => print(newKey()),
  )
  .command(
    'quarantine',
    'list requests that are quarantined for crashing upstreams',
    y => y,
    async a => print(await fleetCommands(a).quarantine()),
  )
  .command(
    'release <fingerprint>',
    'release a request from quarantine',
    y => y.positional('fingerprint', { type: 'string', demandOption: true }),
    async a => print(await fleetCommands(a).release(a.fingerprint)),
  )
  .command(
    'explain <requestId>',
    'explain the decisions about a request',
    y =>
      y.positional('requestId', { type: 'string', demandOption: true }).options({
        logs: { type: 'string', array: true, describe: 'log files of daemons, "-" for standard input' },
      }),
    async a =>
      print(
        a.logs ? explainFromLogs(readLogs(a.logs), a.requestId) : await fleetCommands(a).explain(a.requestId),
      ),
  )
  .command(
    'schema <kind>',
    'print the JSON Schema of a file',
    y =>
      y.positional('kind', { choices: ['operator-file', 'process-settings'] as const, demandOption: true }),
    a =>
      print(
        JSON.stringify(a.kind === 'operator-file' ? OperatorFileSchema : ProcessSettingsSchema, undefined, 2),
      ),
  )
  .demandCommand(1)
  .strict()
  .fail((message: string | null, error: Error | undefined) => {
    throw error ?? new Failure(message ?? 'Invalid command.', { result: 'usageInvalid' });
  });

try {
  await program.parseAsync();
} catch (error) {
  const failure = asFailure(error);
  process.stderr.write(`${failure.describe()}\n`);
  process.exitCode = EXIT_CODES[failure.result] ?? (failure.row.code < 2000 ? EXIT_INPUT : EXIT_OTHER);
}
