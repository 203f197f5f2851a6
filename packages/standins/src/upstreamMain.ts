/** The stand-in upstream as a process. Prints its address as one JSON line once it listens. */
import { seededRandom } from '@cleatquay/clock';
import { readOperatorFile } from '@cleatquay/settings';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { type UpstreamBehaviour, UpstreamStandin } from './upstreamStandin.js';

const argv = await yargs(hideBin(process.argv))
  .options({
    service: { type: 'string', demandOption: true },
    file: { type: 'string', demandOption: true, describe: 'the operator file' },
    callerUrl: { type: 'string', demandOption: true },
    operatorUrl: { type: 'string', demandOption: true },
    behaviour: { type: 'string', default: '{}', describe: 'JSON, see UpstreamBehaviour' },
    ledgerPath: { type: 'string', describe: 'ledger file to record executions in' },
    seed: { type: 'string', default: '1' },
  })
  .strict()
  .parse();

const { service, callerUrl, operatorUrl, ledgerPath } = argv;
const identity = { service, file: readOperatorFile(argv.file), callerUrl, operatorUrl, ledgerPath };
const behaviour = JSON.parse(argv.behaviour) as Partial<UpstreamBehaviour>;
const upstream = new UpstreamStandin(identity, behaviour, seededRandom(argv.seed));
const address = await upstream.listen();
process.stdout.write(`${JSON.stringify({ address })}\n`);
