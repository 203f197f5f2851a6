import {
  type CallHandler,
  EMPTY_ITEM,
  LinkServer,
  NO_HEAD,
  RequestScheduler,
  singlePartResponse,
} from '@cleatquay/calls';
import { ManualClock, SystemClock } from '@cleatquay/clock';
import { LinkFrame, type LinkItem, refusalPart, createRefusal } from '@cleatquay/protocol';
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

/** A connection on which the test emits the received data. */
function fakeSocket() {
  const noop = () => undefined;
  return Object.assign(new EventEmitter(), {
    write: () => true,
    destroy: noop,
    setNoDelay: noop,
    setKeepAlive: noop,
  });
}

/** A length-prefixed frame of one item. */
function encodeFrame(item: LinkItem, sentAt = 0): Buffer {
  const message = LinkFrame.encode({ items: [item], sentAt }).finish();
  const length = Buffer.alloc(4);
  length.writeUInt32BE(message.length);
  return Buffer.concat([length, message]);
}

describe('the server side of a link', () => {
  const clock = new SystemClock();
  const countHandledCalls = async (isLagging: boolean): Promise<number> => {
    let handled = 0;
    const socket = fakeSocket();
    const handle = () => {
      handled++;
      return Promise.resolve(singlePartResponse(refusalPart(createRefusal('overloaded', ''), 0)));
    };
    expect(
      new LinkServer(socket as never, {
        clock,
        handle,
        scheduler: new RequestScheduler(clock, () => isLagging),
        process: 'p',
        configuration: NO_CONFIGURATION,
      }),
    ).to.be.instanceOf(LinkServer);
    socket.emit('data', encodeFrame(REQUEST));
    await new Promise(resolve => setImmediate(resolve));
    socket.emit('data', encodeFrame({ ...EMPTY_ITEM, call: 1, cancel: true }));
    for (let i = 0; i < 4; i++) await new Promise(resolve => setImmediate(resolve));
    return handled;
  };

  it('does not start a call that the next event loop iteration cancels, if the event loop lags', async () => {
    expect(await countHandledCalls(true)).to.equal(0);
  });

  it('subtracts the time that a call was queued from its remaining time', async () => {
    const manualClock = new ManualClock();
    const socket = fakeSocket();
    const remainingTimes: (number | undefined)[] = [];
    const handle: CallHandler = ({ context }) => {
      remainingTimes.push(context?.remainingMs);
      return Promise.resolve(singlePartResponse(refusalPart(createRefusal('overloaded', ''), 0)));
    };
    const server = new LinkServer(socket as never, {
      clock: manualClock,
      handle,
      scheduler: new RequestScheduler(manualClock, () => true),
      process: 'p',
      configuration: NO_CONFIGURATION,
    });
    server.receive(encodeFrame(REQUEST));
    manualClock.advance(70);
    for (let i = 0; i < 4; i++) await new Promise(resolve => setImmediate(resolve));
    expect(remainingTimes).to.deep.equal([CALL_CONTEXT.remainingMs - 70]);
  });

  describe('for calls that were delayed in transit', () => {
    const BASE_DELAY_MS = 3;
    let manualClock: ManualClock;
    let server: LinkServer;
    let startedRemainingMs: (number | undefined)[];

    beforeEach(() => {
      manualClock = new ManualClock();
      manualClock.advance(1000);
      startedRemainingMs = [];
      server = new LinkServer(fakeSocket() as never, {
        clock: manualClock,
        handle: ({ context }) => {
          startedRemainingMs.push(context?.remainingMs);
          return Promise.resolve(singlePartResponse(refusalPart(createRefusal('overloaded', ''), 0)));
        },
        scheduler: new RequestScheduler(manualClock, () => false),
        process: 'p',
        configuration: NO_CONFIGURATION,
      });
      // The client's clock is 500 s ahead, and its first frame was in transit for 3 ms.
      server.receive(encodeFrame({ ...EMPTY_ITEM, ping: 1 }, 501_000 - BASE_DELAY_MS));
    });

    const receive = async (call: number, delayMs: number) => {
      manualClock.advance(2000);
      server.receive(
        encodeFrame({ ...REQUEST, call }, 500_000 + manualClock.now() - BASE_DELAY_MS - delayMs),
      );
      for (let i = 0; i < 4; i++) await new Promise(resolve => setImmediate(resolve));
    };

    it('does not start one whose deadline has passed', async () => {
      await receive(1, 1500);
      expect(startedRemainingMs).to.deep.equal([]);
    });

    it('subtracts the delay from the remaining time of the others, and nothing for calls without a delay', async () => {
      await receive(1, 400);
      await receive(2, 0);
      expect(startedRemainingMs[0]).to.be.within(
        CALL_CONTEXT.remainingMs - 400,
        CALL_CONTEXT.remainingMs - 395,
      );
      expect(startedRemainingMs[1]).to.be.within(CALL_CONTEXT.remainingMs - 5, CALL_CONTEXT.remainingMs);
    });
  });

  it('starts a call at once if the event loop does not lag', async () => {
    expect(await countHandledCalls(false)).to.equal(1);
  });
});
