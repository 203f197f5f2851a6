import { type CallHandler, EMPTY_ITEM, LinkServer, NO_HEAD, WorkTurns, answerOf } from '@cleatquay/calls';
import { ManualClock, SystemClock } from '@cleatquay/clock';
import { LinkFrame, type LinkItem, endOf, refusalOf } from '@cleatquay/protocol';
import { expect } from 'chai';
import { EventEmitter } from 'node:events';
import { CALL_CONTEXT } from './fixtures/callContext.js';

const REQUEST: LinkItem = {
  ...EMPTY_ITEM,
  call: 1,
  request: {
    ...NO_HEAD,
    head: { context: CALL_CONTEXT, service: 's', method: 'GET', path: '/', headers: '' },
    body: Buffer.alloc(0),
    last: true,
  },
};

const NO_CONFIGURATION = () => ({ generation: 0, base: 0, sections: [], applyId: '' });

/** A connection of which the test says what comes. */
function fakeSocket() {
  const nothing = () => undefined;
  return Object.assign(new EventEmitter(), {
    write: () => true,
    destroy: nothing,
    setNoDelay: nothing,
    setKeepAlive: nothing,
  });
}

/** A frame of one item, behind its length. */
function bytesOf(item: LinkItem): Buffer {
  const message = LinkFrame.encode({ items: [item] }).finish();
  const length = Buffer.alloc(4);
  length.writeUInt32BE(message.length);
  return Buffer.concat([length, message]);
}

describe('the called end of a link', () => {
  const clock = new SystemClock();
  const handledAfter = async (isLagging: boolean): Promise<number> => {
    let handled = 0;
    const socket = fakeSocket();
    const handle = () => {
      handled++;
      return Promise.resolve(answerOf(endOf(refusalOf('overloaded', ''), 0)));
    };
    expect(
      new LinkServer(socket as never, handle, new WorkTurns(clock, () => isLagging), NO_CONFIGURATION),
    ).to.be.instanceOf(LinkServer);
    socket.emit('data', bytesOf(REQUEST));
    await new Promise(resolve => setImmediate(resolve));
    socket.emit('data', bytesOf({ ...EMPTY_ITEM, call: 1, cancel: true }));
    for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve));
    return handled;
  };

  it('starts no call of which it reads in the next turn that it was given up, when it is behind with reading', async () => {
    expect(await handledAfter(true)).to.equal(0);
  });

  it('takes the time that a call has waited here off its time', async () => {
    const manual = new ManualClock();
    const socket = fakeSocket();
    const remaining: (number | undefined)[] = [];
    const handle: CallHandler = ({ context }) => {
      remaining.push(context?.remainingMs);
      return Promise.resolve(answerOf(endOf(refusalOf('overloaded', ''), 0)));
    };
    const server = new LinkServer(
      socket as never,
      handle,
      new WorkTurns(manual, () => true),
      NO_CONFIGURATION,
    );
    server.receive(bytesOf(REQUEST));
    manual.advance(70);
    for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve));
    expect(remaining).to.deep.equal([CALL_CONTEXT.remainingMs - 70]);
  });

  it('starts a call at once when it is not', async () => {
    expect(await handledAfter(false)).to.equal(1);
  });
});
