import { type Fleet, type FleetNode, repositoryPath } from '@cleatquay/bench';
import { expect } from 'chai';
import { execFileSync } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { confirm } from './fixtures/receipts.js';
import { smallFleet } from './fixtures/smallFleet.js';

const EFFECTIVE_AFTER_MS = 1500;
const MEASURED_MS = 3000;
const CALLERS = 8;
const PARTITIONS = 3;
const PARTITION_MS = 700;

describe('upstream notices in the native interface', () => {
  let fleet: Fleet;
  let reporting: FleetNode;
  let ingress: FleetNode;

  beforeEach(async () => {
    fleet = await smallFleet([
      ['receiving', 'regina-a', { serviceMs: 20 }],
      ['receiving', 'regina-a', { serviceMs: 20 }],
      ['history', 'regina-a'],
      ['alarms', 'regina-a'],
      ['exports', 'regina-a'],
    ]);
    reporting = fleet.nodes[0]!;
    ingress = fleet.nodes[4]!;
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const runs = () => fleet.ledger(reporting).length;
  const status = () => {
    const program = repositoryPath('packages/cli/bin/cleatquay.js');
    const args = [program, 'status', `--daemon=${ingress.addresses.operator}`];
    return execFileSync(process.execPath, args, { encoding: 'utf8' });
  };
  /** Sends requests continuously while `work` runs. Returns their outcomes. */
  const whileSending = async (work: () => Promise<void>): Promise<string[]> => {
    let isDone = false;
    const outcomes: string[] = [];
    const sendAll = async (caller: number) => {
      for (let i = 0; !isDone; i++)
        outcomes.push((await confirm(ingress, `r${String(caller)}-${String(i)}`, {})).outcome);
    };
    const callers = Array.from({ length: CALLERS }, (_, caller) => sendAll(caller));
    await work();
    isDone = true;
    await Promise.all(callers);
    return outcomes;
  };

  it('of a rate limit are enforced and shown by the command line, and fail no request', async () => {
    const outcomes = await whileSending(async () => {
      await fleet.setBehaviour(reporting, { rateLimit: '5' });
      await sleep(EFFECTIVE_AFTER_MS);
      const before = runs();
      await sleep(MEASURED_MS);
      // Tokens for half a second may have accumulated; requests may be in flight at the beginning and at the end.
      expect(runs() - before).to.be.within(5, (5 * (MEASURED_MS + 500)) / 1000 + 2);
    });
    expect(outcomes.filter(outcome => outcome !== 'answered')).to.deep.equal([]);
    expect(status()).to.match(new RegExp(`${reporting.addresses.inner}.* 5 *$`, 'm'));
  });

  it('of a rate limit are enforced while the ingress daemon is repeatedly partitioned from the upstream and reconnected', async () => {
    await whileSending(async () => {
      await fleet.setBehaviour(reporting, { rateLimit: '5' });
      await sleep(EFFECTIVE_AFTER_MS);
      const before = runs();
      for (let i = 0; i < PARTITIONS; i++) {
        await fleet.setPartition(ingress, [reporting]);
        await sleep(PARTITION_MS);
        await fleet.setPartition(ingress, []);
        await sleep(PARTITION_MS);
      }
      expect(runs() - before).to.be.within(1, (5 * (2 * PARTITIONS * PARTITION_MS + 500)) / 1000 + 2);
    });
  });

  it('of a shutdown drain the upstream although its announcements report ready, and fail no request', async () => {
    const outcomes = await whileSending(async () => {
      await fleet.setBehaviour(reporting, { saysLeaving: true });
      await sleep(EFFECTIVE_AFTER_MS);
      const before = runs();
      await sleep(MEASURED_MS);
      expect(runs()).to.equal(before);
    });
    expect(outcomes.filter(outcome => outcome !== 'answered')).to.deep.equal([]);
    expect(status()).to.match(new RegExp(`${reporting.addresses.inner} .*draining`, 'm'));
  });
});
