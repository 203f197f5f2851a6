import { WorkTurns, answerOf, replay } from '@cleatquay/calls';
import { SystemClock } from '@cleatquay/clock';
import { RelayGateway } from '@cleatquay/daemon';
import { callerDialect } from '@cleatquay/platform';
import { expect } from 'chai';
import { once } from 'node:events';
import { type AddressInfo, connect } from 'node:net';
import { until } from './fixtures/platformFleet.js';

/** Far more than the buffers of a connection take. */
const ANSWER_BYTES = 32 * 1_048_576;

/**
 * A daemon that ends waits for what is in flight and then closes its connections. An answer that was handed to node, but is not
 * yet read, is cut off by that: it is in flight as much as one that is still to come.
 */
describe('an answer to a caller that reads slowly', () => {
  let inFlight: number;
  let gateway: RelayGateway;

  beforeEach(async () => {
    inFlight = 0;
    const body = Buffer.alloc(ANSWER_BYTES);
    gateway = new RelayGateway({
      relay: {
        handle: () =>
          Promise.resolve(answerOf(replay({ head: { status: 200, headers: '', unframed: false }, body }))),
      },
      dialect: callerDialect,
      limits: () => undefined,
      needsKeys: () => false,
      isLeaving: () => false,
      turns: new WorkTurns(new SystemClock(), () => false),
      started: () => {
        inFlight++;
        return () => inFlight--;
      },
    });
    gateway.server.listen(0, '127.0.0.1');
    await once(gateway.server, 'listening');
  });

  afterEach(() => {
    gateway.server.closeAllConnections();
    gateway.server.close();
  });

  it('is in flight until all of it has left, and then no longer', async () => {
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    caller.write('GET /x HTTP/1.1\r\nHost: history.example\r\nRequest-Id: slow\r\n\r\n');
    await once(caller, 'readable');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(inFlight).to.equal(1);
    let bytes = 0;
    caller.on('data', (chunk: Buffer) => (bytes += chunk.length));
    await until(() => bytes > ANSWER_BYTES && inFlight === 0);
    caller.destroy();
  });
});
