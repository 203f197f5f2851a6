import { singlePartResponse, replay } from '@cleatquay/calls';
import { type RelayGateway } from '@cleatquay/daemon';
import { expect } from 'chai';
import { once } from 'node:events';
import { type AddressInfo, connect } from 'node:net';
import { until } from './fixtures/platformFleet.js';
import { startGateway } from './fixtures/callerGateway.js';

/** Far more than fits into the buffers of a connection. */
const RESPONSE_BYTES = 32 * 1_048_576;

/**
 * A daemon that shuts down waits for requests in flight and then closes its connections. That truncates a response which Node.js
 * has buffered but the caller has not read yet, so such a request still counts as in flight.
 */
describe('a response to a caller that reads slowly', () => {
  let inFlight: number;
  let gateway: RelayGateway;

  beforeEach(async () => {
    inFlight = 0;
    const body = Buffer.alloc(RESPONSE_BYTES);
    gateway = await startGateway({
      ingress: {
        handle: () =>
          Promise.resolve(
            singlePartResponse(replay({ head: { status: 200, headers: '', unframed: false }, body })),
          ),
      },
      onRequestStart: () => {
        inFlight++;
        return () => inFlight--;
      },
    });
  });

  afterEach(() => {
    gateway.server.closeAllConnections();
    gateway.server.close();
  });

  it('is in flight until all of it is sent, and no longer', async () => {
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    caller.write('GET /x HTTP/1.1\r\nHost: history.example\r\nRequest-Id: slow\r\n\r\n');
    await once(caller, 'readable');
    await new Promise(resolve => setTimeout(resolve, 200));
    expect(inFlight).to.equal(1);
    let bytes = 0;
    caller.on('data', (chunk: Buffer) => (bytes += chunk.length));
    await until(() => bytes > RESPONSE_BYTES && inFlight === 0);
    caller.destroy();
  });
});
