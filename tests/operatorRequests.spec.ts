/** Guards against operator requests without a response of which no log line tells whether they arrived. */
import { ManualClock } from '@cleatquay/clock';
import { Metrics, OperatorRequests } from '@cleatquay/daemon';
import { expect } from 'chai';
import { once } from 'node:events';
import { type Server, createServer, request } from 'node:http';
import { type AddressInfo, connect } from 'node:net';

describe('an operator server', () => {
  let server: Server;
  let clock: ManualClock;
  let metrics: Metrics;
  let lines: string[];

  beforeEach(async () => {
    clock = new ManualClock();
    metrics = new Metrics();
    lines = [];
    server = createServer(() => undefined);
    const log = (message: string) => void lines.push(message);
    new OperatorRequests({ clock, metrics, log }).watch(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  const port = () => (server.address() as AddressInfo).port;
  const gauge = async (name: string) =>
    Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(await metrics.registry.metrics())?.[1]);

  it('counts and logs a request that gets no response', async () => {
    const call = request({ port: port(), path: '/status' });
    call.on('error', () => undefined);
    call.end();
    await once(server, 'request');
    clock.advance(6000);
    expect(lines).to.deep.equal(['Operators: A request has had no response.']);
    expect(await gauge('cleatquay_operator_requests')).to.equal(1);
    expect(await gauge('cleatquay_operator_request_age_ms')).to.equal(6000);
    call.destroy();
  });

  it('logs a connection that brings no request', async () => {
    const socket = connect(port(), '127.0.0.1');
    await once(server, 'connection');
    clock.advance(6000);
    expect(lines).to.deep.equal(['Operators: A connection has brought no request.']);
    expect(await gauge('cleatquay_operator_connections')).to.equal(1);
    socket.destroy();
  });
});
