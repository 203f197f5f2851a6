import { EMPTY_ITEM, FrameStream, NO_HEAD } from '@cleatquay/calls';
import { type LinkFrame } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { EventEmitter } from 'node:events';

/** A fake socket that records what is written to it. */
function fakeSocket() {
  const noop = () => undefined;
  const socket = Object.assign(new EventEmitter(), {
    setNoDelay: noop,
    setKeepAlive: noop,
    cork: noop,
    uncork: noop,
    written: [] as Uint8Array[],
    destroyed: false,
    write: (chunk: Uint8Array) => socket.written.push(chunk),
    destroy: () => (socket.destroyed = true),
  });
  return socket;
}

function pongsOf(frames: readonly LinkFrame[]): number[] {
  return frames.flatMap(({ items }) => items.map(({ pong }) => pong));
}

describe('a stream of frames', () => {
  const frameWith = (pong: number, bytes: number): LinkFrame => ({
    items: [{ ...EMPTY_ITEM, pong, request: { ...NO_HEAD, body: Buffer.alloc(bytes), last: false } }],
    sentAt: 0,
  });

  it('delivers complete frames in order, however the bytes are split', () => {
    const sizes = fc.array(fc.integer({ min: 0, max: 40_000 }), { minLength: 1, maxLength: 6 });
    fc.assert(
      fc.property(
        sizes,
        fc.array(fc.integer({ min: 1, max: 30_000 }), { minLength: 1 }),
        (bodySizes, chunkSizes) => {
          const sender = fakeSocket();
          const writer = new FrameStream(sender as never, {
            onFrame: () => undefined,
            onEnd: () => undefined,
          });
          bodySizes.forEach((bytes, index) => writer.write(frameWith(index + 1, bytes)));
          const sent = Buffer.concat(sender.written);
          const received: LinkFrame[] = [];
          const reader = new FrameStream(fakeSocket() as never, {
            onFrame: frame => received.push(frame),
            onEnd: () => undefined,
          });
          for (let offset = 0, next = 0; offset < sent.length; next++) {
            const length = chunkSizes[next % chunkSizes.length]!;
            reader.receive(sent.subarray(offset, offset + length));
            offset += length;
          }
          expect(pongsOf(received)).to.deep.equal(bodySizes.map((_, index) => index + 1));
          expect(received.map(({ items }) => items[0]?.request?.body.length)).to.deep.equal(bodySizes);
        },
      ),
    );
  });

  const receiveBytes = (bytes: Buffer) => {
    const endReasons: string[] = [];
    const socket = fakeSocket();
    const reader = new FrameStream(socket as never, {
      onFrame: () => undefined,
      onEnd: reason => endReasons.push(reason),
    });
    reader.receive(bytes);
    return { endReasons, isClosed: socket.destroyed };
  };

  it('ends the link on a frame that is too long', () => {
    const { endReasons, isClosed } = receiveBytes(Buffer.from([0x7f, 0, 0, 0, 1]));
    expect(endReasons).to.have.lengthOf(1);
    expect(isClosed).to.equal(true);
  });

  it('ends the link on a message that cannot be decoded', () => {
    const { endReasons, isClosed } = receiveBytes(Buffer.from([0, 0, 0, 2, 0x0a, 0xff]));
    expect(endReasons).to.have.lengthOf(1);
    expect(isClosed).to.equal(true);
  });

  // Guards against an exception that nothing handles, and against later frames that refer to what this one defines.
  it('ends when a frame can not be encoded', () => {
    const ends: string[] = [];
    const socket = fakeSocket();
    const stream = new FrameStream(socket as never, {
      onFrame: () => undefined,
      onEnd: reason => ends.push(reason),
    });
    stream.write({ items: [{ ...EMPTY_ITEM, credit: -1 }], sentAt: 0 });
    stream.write(frameWith(1, 10));
    expect(ends).to.have.lengthOf(1);
    expect(socket.written).to.deep.equal([]);
    expect(socket.destroyed).to.equal(true);
  });

  // Guards against calls that are handled twice after an exception.
  it('handles no frame again after one whose handler has thrown', () => {
    const sender = fakeSocket();
    const events = { onFrame: () => undefined, onEnd: () => undefined };
    const writer = new FrameStream(sender as never, events);
    for (const pong of [1, 2, 3]) writer.write(frameWith(pong, 10));
    const received: LinkFrame[] = [];
    const ends: string[] = [];
    const reader = new FrameStream(fakeSocket() as never, {
      onFrame: frame => {
        received.push(frame);
        if (received.length === 2) throw new Error('Test: a handler that throws.');
      },
      onEnd: reason => ends.push(reason),
    });
    const [first, second, third] = sender.written as [Uint8Array, Uint8Array, Uint8Array];
    expect(() => reader.receive(Buffer.concat([first, second]))).to.throw('a handler that throws');
    reader.receive(Buffer.from(third));
    expect(pongsOf(received)).to.deep.equal([1, 2]);
    expect(ends).to.have.lengthOf(1);
  });
});
