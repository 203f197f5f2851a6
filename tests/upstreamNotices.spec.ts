import { type Fleet, type FleetNode, sharedFile } from '@cleatquay/bench';
import { expect } from 'chai';
import { execFileSync } from 'node:child_process';
import { setTimeout as sleep } from 'node:timers/promises';
import { confirm } from './fixtures/receipts.js';
import { smallFleet } from './fixtures/smallFleet.js';

const HOLDS_AFTER_MS = 1500;
const MEASURED_MS = 3000;
const CALLERS = 8;
const CUTS = 3;
const CUT_MS = 700;

describe('what upstreams say of themselves in our own interface', () => {
  let fleet: Fleet;
  let said: FleetNode;
  let entry: FleetNode;

  beforeEach(async () => {
    fleet = await smallFleet([
      ['receiving', 'regina-a', { serviceMs: 20 }],
      ['receiving', 'regina-a', { serviceMs: 20 }],
      ['history', 'regina-a'],
      ['alarms', 'regina-a'],
      ['exports', 'regina-a'],
    ]);
    said = fleet.nodes[0]!;
    entry = fleet.nodes[4]!;
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const runs = () => fleet.ledger(said).length;
  const status = () => {
    const program = sharedFile('packages/cli/bin/cleatquay.js');
    const args = [program, 'status', `--daemon=${entry.addresses.operator}`];
    return execFileSync(process.execPath, args, { encoding: 'utf8' });
  };
  /** Callers ask all the time; gives the outcomes once the work is done. */
  const beside = async (work: () => Promise<void>): Promise<string[]> => {
    let isOver = false;
    const outcomes: string[] = [];
    const ask = async (caller: number) => {
      for (let i = 0; !isOver; i++)
        outcomes.push((await confirm(entry, `r${String(caller)}-${String(i)}`, {})).outcome);
    };
    const callers = Array.from({ length: CALLERS }, (_, caller) => ask(caller));
    await work();
    isOver = true;
    await Promise.all(callers);
    return outcomes;
  };

  it('a rate is kept to, is shown by the command line, and costs no caller an answer', async () => {
    const outcomes = await beside(async () => {
      await fleet.behave(said, { rateLimit: '5' });
      await sleep(HOLDS_AFTER_MS);
      const before = runs();
      await sleep(MEASURED_MS);
      // Half a second of the rate may have gathered; some are under way at both ends.
      expect(runs() - before).to.be.within(5, (5 * (MEASURED_MS + 500)) / 1000 + 2);
    });
    expect(outcomes.filter(outcome => outcome !== 'answered')).to.deep.equal([]);
    expect(status()).to.match(new RegExp(`${said.addresses.inner}.* 5 *$`, 'm'));
  });

  it('a rate is kept to while those that ask are cut off from it and back, in series', async () => {
    await beside(async () => {
      await fleet.behave(said, { rateLimit: '5' });
      await sleep(HOLDS_AFTER_MS);
      const before = runs();
      for (let i = 0; i < CUTS; i++) {
        await fleet.cut(entry, [said]);
        await sleep(CUT_MS);
        await fleet.cut(entry, []);
        await sleep(CUT_MS);
      }
      expect(runs() - before).to.be.within(1, (5 * (2 * CUTS * CUT_MS + 500)) / 1000 + 2);
    });
  });

  it('a leave is kept to while announcements say ready, and costs no caller an answer', async () => {
    const outcomes = await beside(async () => {
      await fleet.behave(said, { saysLeaving: true });
      await sleep(HOLDS_AFTER_MS);
      const before = runs();
      await sleep(MEASURED_MS);
      expect(runs()).to.equal(before);
    });
    expect(outcomes.filter(outcome => outcome !== 'answered')).to.deep.equal([]);
    expect(status()).to.match(new RegExp(`${said.addresses.inner} .*draining`, 'm'));
  });
});
