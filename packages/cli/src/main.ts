/** The program: commands by yargs, one numbered line on stderr for a failure. */
import { SystemClock } from '@cleatquay/clock';
import { ConfigurationStore } from '@cleatquay/configuration';
import { Failure, type ResultName, asFailure } from '@cleatquay/errors';
import { HttpStore } from '@cleatquay/store';
import { OperatorFileSchema, ProcessSettingsSchema } from '@cleatquay/settings';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { type Accepted, ConfigurationCommands } from './configurationCommands.js';
import { FleetCommands } from './fleetCommands.js';
import { explainFromLogs, readLogs } from './logExplanation.js';
import { newKey } from './newKey.js';

/** 2: input; 3: another operator was first; 4: accepted, not yet seen everywhere; 5: platform or daemon gave no answer. */
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
  if (flags.platform === undefined) throw missing('platform');
  await using platform = new HttpStore(flags.platform);
  return await use(new ConfigurationCommands(new ConfigurationStore(platform, clock)));
}

function fleet(flags: CommonFlags): FleetCommands {
  if (flags.daemon === undefined) throw missing('daemon');
  return new FleetCommands(flags.daemon, clock);
}

function missing(field: string): Failure {
  return new Failure(`Expected --${field} or the variable CLEATQUAY_${field.toUpperCase()}.`, {
    result: 'usageInvalid',
    field,
  });
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function accept(
  flags: CommonFlags & { wait?: boolean | undefined; waitMs: number },
  change: (commands: ConfigurationCommands) => Promise<Accepted>,
): Promise<void> {
  const { generation, digest, text } = await withPlatform(flags, change);
  print(text);
  if (flags.wait) print(await fleet(flags).waitFor(generation, digest, flags.waitMs));
}

const FILE = { type: 'string', demandOption: true, describe: "the operators' file" } as const;
const GENERATION = { type: 'number' } as const;
const WAITING = {
  wait: { type: 'boolean', describe: 'until it is in force everywhere (needs --daemon)' },
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
    'check a file',
    y => y.positional('file', FILE),
    a => print(ConfigurationCommands.validate(a.file)),
  )
  .command(
    'diff <file>',
    'what applying would change',
    y => y.positional('file', FILE),
    async a => print(await withPlatform(a, commands => commands.diff(a.file))),
  )
  .command(
    'apply <file>',
    'make a file the next generation',
    y =>
      y
        .positional('file', FILE)
        .options({ base: { ...GENERATION, describe: 'fail unless this is in force' }, ...WAITING }),
    a => accept(a, commands => commands.apply(a.file, a.base)),
  )
  .command(
    'rollback <generation>',
    'make an earlier content the next generation',
    y => y.positional('generation', { ...GENERATION, demandOption: true }).options(WAITING),
    a => accept(a, commands => commands.rollback(a.generation)),
  )
  .command(
    'history',
    'the last generations',
    y => y,
    async a => print(await withPlatform(a, commands => commands.history())),
  )
  .command(
    'show [generation]',
    'the file of a generation',
    y => y.positional('generation', GENERATION),
    async a => print(await withPlatform(a, commands => commands.show(a.generation))),
  )
  .command(
    'status',
    'a line for each daemon',
    y => y,
    async a => print(await fleet(a).status()),
  )
  .command(
    'members',
    'the members as a daemon sees them',
    y => y,
    async a => print(await fleet(a).members()),
  )
  .command(
    'routes',
    'the upstreams as a daemon sees them',
    y => y,
    async a => print(await fleet(a).routes()),
  )
  .command(
    'dump [address]',
    'the whole state of a daemon',
    y => y.positional('address', { type: 'string' }),
    async a => print(await fleet({ daemon: a.address ?? a.daemon }).dump()),
  )
  .command(
    'drain',
    'no new work to the upstreams of --daemon',
    y => y,
    async a => print(await fleet(a).drain(true)),
  )
  .command(
    'undrain',
    'take the upstreams of --daemon back',
    y => y,
    async a => print(await fleet(a).drain(false)),
  )
  .command(
    'organisations',
    'what each organisation sent, got, and was refused',
    y => y,
    async a => print(await fleet(a).organisations()),
  )
  .command(
    'new-key',
    'a key for an organisation, shown once, and the digest by which daemons know it',
    y => y,
    () => print(newKey()),
  )
  .command(
    'quarantine',
    'requests that are held back since upstreams ended under them',
    y => y,
    async a => print(await fleet(a).quarantine()),
  )
  .command(
    'release <fingerprint>',
    'let a request run again that is held back',
    y => y.positional('fingerprint', { type: 'string', demandOption: true }),
    async a => print(await fleet(a).release(a.fingerprint)),
  )
  .command(
    'explain <requestId>',
    'what was decided about a request',
    y =>
      y.positional('requestId', { type: 'string', demandOption: true }).options({
        logs: { type: 'string', array: true, describe: 'log files of daemons, "-" for standard input' },
      }),
    async a =>
      print(a.logs ? explainFromLogs(readLogs(a.logs), a.requestId) : await fleet(a).explain(a.requestId)),
  )
  .command(
    'schema <kind>',
    'the JSON Schema of a file',
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
    throw error ?? new Failure(message ?? 'Unusable command.', { result: 'usageInvalid' });
  });

try {
  await program.parseAsync();
} catch (error) {
  const failure = asFailure(error);
  process.stderr.write(`${failure.describe()}\n`);
  process.exitCode = EXIT_CODES[failure.result] ?? (failure.row.code < 2000 ? EXIT_INPUT : EXIT_OTHER);
}
