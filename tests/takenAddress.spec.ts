/** Guards against daemons that end with an internal error (CQ6999) when another process has one of their ports. */
import { PeerServer } from '@cleatquay/calls';
import { type Failure } from '@cleatquay/errors';
import { UdpDatagrams } from '@cleatquay/membership';
import { expect } from 'chai';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';

const IP = '127.0.0.1';

describe('an address that another process has', () => {
  const isTaken = async (listening: Promise<unknown>) => {
    const failure = await listening.then(
      () => expect.fail('It listens.'),
      (error: unknown) => error as Failure,
    );
    expect(failure.describe()).to.match(/^CQ6004 listen EADDRINUSE|^CQ6004 bind EADDRINUSE/);
  };

  it('is reported by its number, as one for links', async () => {
    const other = createServer().listen(0, IP);
    await once(other, 'listening');
    const { port } = other.address() as { port: number };
    await isTaken(new PeerServer({} as never).listen(IP, port));
    other.close();
  });

  it('is reported by its number, as one for datagrams', async () => {
    const other = createSocket('udp4').bind(0, IP);
    await once(other, 'listening');
    await isTaken(UdpDatagrams.bind(IP, other.address().port));
    other.close();
  });
});
