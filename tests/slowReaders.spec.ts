import { createPart, replay, singlePartResponse } from '@cleatquay/calls';
import { type RelayGateway } from '@cleatquay/daemon';
import { type AnswerPart } from '@cleatquay/protocol';
import { expect } from 'chai';
import { once } from 'node:events';
import { type ServerResponse } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { until } from './fixtures/platformFleet.js';
import { startGateway } from './fixtures/callerGateway.js';

/** Far more than fits into the buffers of a connection. */
const RESPONSE_BYTES = 32 * 1_048_576;
const HEAD = { status: 200, headers: '', unframed: false };

/**
 * A daemon that shuts down waits for requests in flight and then closes its connections. That truncates a response which Node.js
 * has buffered but the caller has not read yet, so such a request still counts as in flight.
 */
describe('a response to a caller that reads slowly', () => {
  let inFlight: number;
  let gateway: RelayGateway;
  /** The parts after the head; a single part if undefined. */
  let responseParts: (() => AsyncIterable<AnswerPart>) | undefined;

  beforeEach(async () => {
    inFlight = 0;
    responseParts = undefined;
    const body = Buffer.alloc(RESPONSE_BYTES);
    gateway = await startGateway({
      ingress: {
        handle: () =>
          Promise.resolve(
            responseParts
              ? { first: createPart({ head: HEAD }), rest: responseParts() }
              : singlePartResponse(replay({ head: HEAD, body })),
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

  // Guards against listeners, and so memory, that grow with the length of a response.
  it('has as many listeners at its end as at its beginning, however many parts it has', async () => {
    const PARTS = 60;
    const counts: number[] = [];
    let response: ServerResponse | undefined;
    gateway.server.on('request', (_request, current: ServerResponse) => (response = current));
    responseParts = async function* () {
      for (let i = 0; i < PARTS; i++) {
        yield createPart({ body: Buffer.alloc(1_048_576) });
        counts.push((response?.listenerCount('close') ?? 0) + (response?.listenerCount('error') ?? 0));
      }
    };
    const caller = connect((gateway.server.address() as AddressInfo).port, '127.0.0.1');
    caller.write('GET /x HTTP/1.1\r\nHost: history.example\r\nRequest-Id: slow\r\n\r\n');
    caller.resume();
    await until(() => counts.length === PARTS);
    expect(counts.at(-1)).to.equal(counts[0]);
    caller.destroy();
  });
});
