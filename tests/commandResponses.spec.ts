import { FleetCommands } from '@cleatquay/cli';
import { SystemClock } from '@cleatquay/clock';
import { asFailure } from '@cleatquay/errors';
import { expect } from 'chai';
import { RawUpstream, sendWithoutEnd } from './fixtures/rawConnections.js';

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
/** Several times what a command reads. */
const MAX_SENT_BYTES = 200_000_000;

describe('a response that a command reads of a daemon', () => {
  let daemon: RawUpstream;

  beforeEach(async () => {
    daemon = await RawUpstream.start();
  });

  afterEach(() => daemon[Symbol.asyncDispose]());

  const outcome = () =>
    new FleetCommands(daemon.address, new SystemClock()).status().then(
      () => 'done',
      (error: unknown) => asFailure(error).describe(),
    );

  // Guards against an internal error.
  it('that is not JSON is named in a clear error', async () => {
    daemon.respond = socket => socket.end(`${HEAD}no JSON`);
    expect(await outcome()).to.match(/^CQ6001 .* is not JSON/);
  });

  // Guards against a command that runs out of memory; on a busy VM its time limit may come first.
  it('that never ends is read up to a limit', async () => {
    let sentBytes = () => MAX_SENT_BYTES;
    daemon.respond = socket => {
      socket.write(HEAD);
      sentBytes = sendWithoutEnd(socket, MAX_SENT_BYTES);
    };
    expect(await outcome()).to.match(/^CQ(5002|6001) /);
    expect(sentBytes()).to.be.below(MAX_SENT_BYTES);
  });
});
