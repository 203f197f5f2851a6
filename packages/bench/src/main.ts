/** Command line of the bench: `npm run bench -- list | run <experiment> | capacity`. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { measureCapacity } from './experiments/capacity.js';
import { experiments } from './experiments/index.js';
import { table } from './table.js';
import { type ExperimentResult } from './results.js';

const VIOLATION_EXIT_CODE = 1;

await yargs(hideBin(process.argv))
  .scriptName('bench')
  .command(
    'list',
    'list the experiments',
    y => y,
    () => {
      const rows = Object.entries(experiments).map(([name, { summary }]) => [name, summary]);
      process.stdout.write(`${table(['experiment', 'description'], rows)}\n`);
    },
  )
  .command(
    'run <experiment>',
    'run an experiment against real daemon processes',
    y =>
      y.positional('experiment', { choices: Object.keys(experiments), demandOption: true }).options({
        seed: { type: 'string', default: '1' },
        variants: { type: 'string', default: '', describe: 'comma-separated; default: all' },
        seconds: { type: 'number', default: 30, describe: 'duration of truth and partition' },
        json: { type: 'boolean', default: false, describe: 'one JSON object on stdout and nothing else' },
      }),
    async argv => {
      const log = (line: string) => void (argv.json || process.stdout.write(`${line}\n`));
      const variants = argv.variants === '' ? [] : argv.variants.split(',');
      const result = await experiments[argv.experiment]?.run({
        name: argv.experiment,
        seed: argv.seed,
        variants,
        seconds: argv.seconds,
        log,
      });
      if (!result) return;
      process.stdout.write(argv.json ? JSON.stringify(result) : formatResult(result));
      process.stdout.write('\n');
      process.exitCode = result.violations.length > 0 ? VIOLATION_EXIT_CODE : 0;
    },
  )
  .command(
    'capacity',
    'measure the cost figures of docs/CAPACITY.md',
    y =>
      y.options({
        sizes: { type: 'string', default: '15,30,60,120', describe: 'fleet sizes, comma-separated' },
      }),
    argv =>
      measureCapacity(argv.sizes.split(',').map(Number), line => void process.stdout.write(`${line}\n`)),
  )
  .demandCommand(1)
  .strict()
  .parse();

function formatResult({ variants, violations, seed }: ExperimentResult): string {
  const names = Object.keys(variants);
  const figures = [...new Set(Object.values(variants).flatMap(variant => Object.keys(flatten(variant))))];
  const rows = figures.map(figure => [
    figure,
    ...names.map(name => flatten(variants[name] ?? {})[figure] ?? ''),
  ]);
  const violationText = violations.length === 0 ? 'No invariant was violated.' : violations.join('\n');
  return `${table([`seed ${seed}`, ...names], rows)}\n${violationText}`;
}

/** Flattens nested figures to keys such as `goodput.total`, with numbers rounded to three decimals. */
function flatten(value: object, prefix = ''): Record<string, string> {
  return Object.fromEntries(
    Object.entries(value).flatMap(([key, inner]: [string, unknown]): [string, string][] => {
      if (typeof inner === 'object' && inner !== null)
        return Object.entries(flatten(inner, `${prefix}${key}.`));
      return [
        [prefix + key, typeof inner === 'number' ? String(Math.round(inner * 1000) / 1000) : String(inner)],
      ];
    }),
  );
}
