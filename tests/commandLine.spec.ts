import { type Fleet, deployments, repositoryPath } from '@cleatquay/bench';
import { expect } from 'chai';
import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { smallFleet } from './fixtures/smallFleet.js';

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

describe('the command line', () => {
  let fleet: Fleet;
  let directory: string;

  before(async () => {
    fleet = await smallFleet([
      ['alarms', 'regina-a'],
      ['alarms', 'moose-b'],
    ]);
    directory = mkdtempSync(join(tmpdir(), 'cleatquay-test-'));
  });

  after(async () => {
    rmSync(directory, { recursive: true });
    await fleet[Symbol.asyncDispose]();
  });

  const cleatquay = (...args: string[]) =>
    new Promise<CommandResult>(resolve => {
      const daemon = fleet.nodes[0]!.addresses.operator;
      const flags = [`--platform=${fleet.platformUrl}`, `--daemon=${daemon}`];
      const program = repositoryPath('packages/cli/bin/cleatquay.js');
      execFile(process.execPath, [program, ...args, ...flags], (error, out, err) => {
        resolve({ code: error ? Number(error.code) : 0, out, err });
      });
    });

  /** Writes Frostline's file with another number of slots for alarms. */
  const writeFileWithSlots = (slots: number) => {
    const text = readFileSync(deployments.frostline!.path, 'utf8');
    const path = join(directory, `${String(slots)}.json`);
    writeFileSync(path, text.replace('"slots": 20', `"slots": ${String(slots)}`));
    return path;
  };

  it('applies a file and waits until it is active on all daemons', async () => {
    const { code, out } = await cleatquay('apply', writeFileWithSlots(18), '--base=1', '--wait');
    expect(out).to.contain('Generation 2 is accepted: service:alarms changed.');
    expect(out).to.contain('Generation 2 is active on all daemons.');
    expect(code).to.equal(0);
  });

  it('reports the changes of the current generation to an operator whose base is outdated', async () => {
    const { code, err } = await cleatquay('apply', writeFileWithSlots(17), '--base=1');
    expect(err).to.contain('CQ5003').and.to.contain('service:alarms changed');
    expect(code).to.equal(3);
  });

  it('reports an invalid file by field and result code', async () => {
    const path = join(directory, 'bad.json');
    writeFileSync(
      path,
      readFileSync(deployments.frostline!.path, 'utf8').replace('"retryBudget"', '"retryBudgt"'),
    );
    const { code, err } = await cleatquay('validate', path);
    expect(err).to.contain('CQ1003 retryBudgt: Unknown field. Did you mean "retryBudget"?');
    expect(code).to.equal(2);
  });

  it('names the members that did not confirm a generation in time', async () => {
    const suspended = fleet.nodes[1]!;
    suspended.daemon.signal('SIGSTOP');
    const { code, err } = await cleatquay('apply', writeFileWithSlots(16), '--wait', '--waitMs=1500');
    suspended.daemon.signal('SIGCONT');
    expect(err).to.contain('CQ6002').and.to.contain(suspended.addresses.inner);
    expect(code).to.equal(4);
  });

  it('shows the status of all daemons', async () => {
    const { out } = await cleatquay('status');
    for (const { addresses } of fleet.nodes) expect(out).to.contain(addresses.inner);
    const digests = out.match(/ [\da-f]{8} /g);
    expect(digests, 'one digest for each daemon').to.have.length(fleet.nodes.length);
    expect(new Set(digests)).to.have.property('size', 1);
  });
});
