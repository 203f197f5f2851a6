import { FleetCommands } from '@cleatquay/cli';
import { SystemClock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { expect } from 'chai';
import { type Socket } from 'node:net';
import { RawUpstream } from './fixtures/rawConnections.js';

describe('a response that a command reads of a daemon', () => {
  const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
  const MAX_SENT_BYTES = 200_000_000;
  const odd: Record<string, (socket: Socket) => void> = {
    'that is not JSON': socket => socket.end(`${HEAD}no JSON`),
    'that never ends': socket => {
      let sentBytes = 0;
      const send = () => {
        if (socket.destroyed || sentBytes > MAX_SENT_BYTES) return socket.destroy();
        sentBytes += 1_000_000;
        return socket.write(' '.repeat(1_000_000), send);
      };
      socket.write(HEAD, send);
    },
  };

  // Guards against an internal error, and a command that runs out of memory.
  for (const [name, respond] of Object.entries(odd))
    it(`${name} is named in a clear error`, async () => {
      await using daemon = await RawUpstream.start();
      daemon.respond = respond;
      const outcome = await new FleetCommands(daemon.address, new SystemClock()).status().then(
        () => 'done',
        (error: unknown) => asFailure(error).describe(),
      );
      expect(outcome).to.match(/is not JSON|Expected a response of at most/);
    });
});
