/**
 * Guards against a crashed upstream that is mistaken for one that truncated a response, so that the requests in flight there
 * don't become suspects. With event-loop lag, the timer of the check could fire in the event loop iteration in which the
 * refused connection was still unread.
 */
import { RunningCalls, type UpstreamCrash, CrashDetector } from '@cleatquay/calls';
import { SystemClock } from '@cleatquay/clock';
import { expect } from 'chai';
import { type AddressInfo, type Server, createServer } from 'node:net';
import { ReservedPorts } from './fixtures/reservedPorts.js';

const START_ID = 'u@1';
/** Longer than the timeout of the check. */
const LAG_MS = 250;

describe('an upstream whose connection failed', () => {
  let reported: UpstreamCrash[];
  let detector: CrashDetector;

  beforeEach(() => {
    reported = [];
    const onCrash = (crash: UpstreamCrash) => Promise.resolve(void reported.push(crash));
    detector = new CrashDetector({ clock: new SystemClock(), running: new RunningCalls(), onCrash });
  });

  const freeAddress = async () => {
    const ports = new ReservedPorts();
    const port = await ports.reserve();
    await ports.release();
    return `127.0.0.1:${String(port)}`;
  };

  it('has crashed if nothing listens at its address, which is reported once', async () => {
    const address = await freeAddress();
    const checks = [1, 2, 3].map(() => detector.checkForCrash({ start: START_ID, address }));
    for (const crash of await Promise.all(checks)) expect(crash?.start).to.equal(START_ID);
    expect(reported).to.have.length(1);
  });

  it('is found to have crashed despite event-loop lag', async () => {
    const check = detector.checkForCrash({ start: START_ID, address: await freeAddress() });
    const until = performance.now() + LAG_MS;
    while (performance.now() < until);
    expect((await check)?.start).to.equal(START_ID);
  });

  it('has not crashed if it accepts connections', async () => {
    const server: Server = createServer().listen(0, '127.0.0.1');
    await new Promise(resolve => server.once('listening', resolve));
    const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
    expect(await detector.checkForCrash({ start: START_ID, address })).to.equal(undefined);
    expect(reported).to.have.length(0);
    server.close();
  });
});
