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
    head: {
      context: CALL_CONTEXT,
      service: 's',
      method: 'GET',
      path: '/',
      headers: '',
      fingerprint: '',
      endedStarts: [],
      notice: undefined,
    },
    body: Buffer.alloc(0),
    last: true,
  },
};

const NO_CONFIGURATION = () => ({ generation: 0, applyId: '', digest: '', baseDigest: '', sections: [] });

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
function bytesOf(item: LinkItem, sentAt = 0): Buffer {
  const message = LinkFrame.encode({ items: [item], sentAt }).finish();
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
      new LinkServer(socket as never, {
        clock,
        handle,
        scheduler: new WorkTurns(clock, () => isLagging),
        configuration: NO_CONFIGURATION,
      }),
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
    const server = new LinkServer(socket as never, {
      clock: manual,
      handle,
      scheduler: new WorkTurns(manual, () => true),
      configuration: NO_CONFIGURATION,
    });
    server.receive(bytesOf(REQUEST));
    manual.advance(70);
    for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve));
    expect(remaining).to.deep.equal([CALL_CONTEXT.remainingMs - 70]);
  });

  describe('of calls that were held up on their way', () => {
    const ON_THE_WAY_MS = 3;
    let manual: ManualClock;
    let server: LinkServer;
    let begun: (number | undefined)[];

    beforeEach(() => {
      manual = new ManualClock();
      manual.advance(1000);
      begun = [];
      server = new LinkServer(fakeSocket() as never, {
        clock: manual,
        handle: ({ context }) => {
          begun.push(context?.remainingMs);
          return Promise.resolve(answerOf(endOf(refusalOf('overloaded', ''), 0)));
        },
        scheduler: new WorkTurns(manual, () => false),
        configuration: NO_CONFIGURATION,
      });
      // The other end's clock is 500 s ahead, and its first word was on its way for 3 ms.
      server.receive(bytesOf({ ...EMPTY_ITEM, ping: 1 }, 501_000 - ON_THE_WAY_MS));
    });

    const receive = async (call: number, heldUpMs: number) => {
      manual.advance(2000);
      server.receive(bytesOf({ ...REQUEST, call }, 500_000 + manual.now() - ON_THE_WAY_MS - heldUpMs));
      for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve));
    };

    it('begins none whose time is up', async () => {
      await receive(1, 1500);
      expect(begun).to.deep.equal([]);
    });

    it('takes what the others have waited off their time, and nothing off that of calls that came at once', async () => {
      await receive(1, 400);
      await receive(2, 0);
      expect(begun[0]).to.be.within(CALL_CONTEXT.remainingMs - 400, CALL_CONTEXT.remainingMs - 395);
      expect(begun[1]).to.be.within(CALL_CONTEXT.remainingMs - 5, CALL_CONTEXT.remainingMs);
    });
  });

  it('starts a call at once when it is not', async () => {
    expect(await handledAfter(false)).to.equal(1);
  });
});
