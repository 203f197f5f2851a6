import { type Fleet, type FleetNode } from '@cleatquay/bench';
import { expect } from 'chai';
import { confirm, runsOf } from './fixtures/receipts.js';
import { smallFleet } from './fixtures/smallFleet.js';

const OUT_MS = 2000;
const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe('leaving', () => {
  let fleet: Fleet;
  let leaving: FleetNode;
  let entry: FleetNode;
  let stop = false;
  let outcomes: string[] = [];
  let sending: Promise<void>;

  /** Confirmations, a few at a time, until `stop`. */
  const keepSending = async () => {
    for (let i = 0; !stop; i++) {
      const told = await Promise.all([0, 1, 2].map(n => confirm(entry, `r${String(i)}-${String(n)}`, {})));
      outcomes.push(...told.map(t => t.outcome));
    }
  };

  beforeEach(async () => {
    fleet = await smallFleet([
      ['receiving', 'regina-a', { serviceMs: 40 }],
      ['receiving', 'regina-a', { serviceMs: 40 }],
      ['history', 'regina-a'],
      ['alarms', 'regina-a'],
      ['exports', 'regina-a'],
    ]);
    leaving = fleet.nodes[0]!;
    entry = fleet.nodes[4]!;
    stop = false;
    outcomes = [];
    sending = keepSending();
    await pause(300);
  });

  afterEach(() => fleet[Symbol.asyncDispose]());

  const runs = () => fleet.ledger(leaving).length;
  /** However slow the machine is, enough has been sent for the outcomes to tell. */
  const finish = async () => {
    while (outcomes.length <= 20) await pause(20);
    stop = true;
    await sending;
    expect(outcomes.filter(outcome => outcome !== 'answered')).to.deep.equal([]);
  };

  it('an upstream that says it drains gets nothing new after two seconds, and no request fails', async () => {
    expect(runs()).to.be.greaterThan(0);
    await fleet.behave(leaving, { draining: true });
    await pause(OUT_MS);
    const before = runs();
    await pause(1000);
    expect(runs()).to.equal(before);
    await finish();
  });

  it('an operator drains an upstream and takes it back', async () => {
    await fetch(`http://${leaving.addresses.operator}/drain`, { method: 'POST' });
    await pause(OUT_MS);
    const before = runs();
    await pause(500);
    expect(runs()).to.equal(before);
    await fetch(`http://${leaving.addresses.operator}/undrain`, { method: 'POST' });
    await pause(OUT_MS);
    expect(runs()).to.be.greaterThan(before);
    await finish();
  });

  it('a daemon that is told to end finishes what is in flight, and exits 0', async () => {
    leaving.daemon.signal('SIGTERM');
    expect(await leaving.daemon.exited).to.equal(0);
    await pause(300);
    await finish();
    const done = runsOf(fleet, fleet.nodes, 'r0-0');
    expect(done).to.deep.equal({ started: 1, done: 1 });
  });

  it('an entry that is told to end cuts off no caller', async () => {
    const slow = fleet.nodes.filter(node => node.service === 'receiving');
    await Promise.all(slow.map(node => fleet.behave(node, { serviceMs: 800, serviceTimes: 'constant' })));
    const told = [1, 2, 3, 4].map(i => confirm(entry, `last-${String(i)}`, {}));
    await pause(100);
    stop = true;
    entry.daemon.signal('SIGTERM');
    expect((await Promise.all(told)).map(t => t.outcome)).to.deep.equal(Array(4).fill('answered'));
    expect(await entry.daemon.exited).to.equal(0);
    await sending;
  });
});
