/**
 * A daemon short of processor time took upstreams that had ended for ones that had broken an answer off: its timer for the look went off in the turn of
 * the event loop in which the refused connection was still to be read. What ran there was then suspected of nothing.
 */
import { RunningCalls, type UpstreamEnd, UpstreamEnds } from '@cleatquay/calls';
import { SystemClock } from '@cleatquay/clock';
import { expect } from 'chai';
import { type AddressInfo, type Server, createServer } from 'node:net';
import { HeldPorts } from './fixtures/heldPorts.js';

const START = 'u@1';
/** Longer than a look may take. */
const LAG_MS = 250;

describe('an upstream whose connection broke', () => {
  let told: UpstreamEnd[];
  let ends: UpstreamEnds;

  beforeEach(() => {
    told = [];
    const onEnd = (end: UpstreamEnd) => Promise.resolve(void told.push(end));
    ends = new UpstreamEnds({ clock: new SystemClock(), running: new RunningCalls(), onEnd });
  });

  const freeAddress = async () => {
    const ports = new HeldPorts();
    const port = await ports.one();
    await ports.release();
    return `127.0.0.1:${String(port)}`;
  };

  it('has ended if nothing listens there, and that is told once', async () => {
    const address = await freeAddress();
    const looks = [1, 2, 3].map(() => ends.brokeOff({ start: START, address }));
    for (const end of await Promise.all(looks)) expect(end?.start).to.equal(START);
    expect(told).to.have.length(1);
  });

  it('has ended also where the daemon is behind with reading', async () => {
    const look = ends.brokeOff({ start: START, address: await freeAddress() });
    const until = performance.now() + LAG_MS;
    while (performance.now() < until);
    expect((await look)?.start).to.equal(START);
  });

  it('has not ended if it takes connections', async () => {
    const server: Server = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    expect(await ends.brokeOff({ start: START, address })).to.equal(undefined);
    expect(told).to.have.length(0);
    server.close();
  });
});
