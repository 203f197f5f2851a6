import { EMPTY_ITEM, FrameStream, NO_HEAD } from '@cleatquay/calls';
import { type LinkFrame } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { EventEmitter } from 'node:events';

/** Stands for a connection: keeps what is written to it. */
function connection() {
  const nothing = () => undefined;
  const socket = Object.assign(new EventEmitter(), {
    setNoDelay: nothing,
    setKeepAlive: nothing,
    cork: nothing,
    uncork: nothing,
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

describe('frames over a connection', () => {
  const frameWith = (pong: number, bytes: number): LinkFrame => ({
    items: [{ ...EMPTY_ITEM, pong, request: { ...NO_HEAD, body: Buffer.alloc(bytes), last: false } }],
    sentAt: 0,
  });

  it('arrive whole and in order, wherever the connection cuts them', () => {
    const sizes = fc.array(fc.integer({ min: 0, max: 40_000 }), { minLength: 1, maxLength: 6 });
    fc.assert(
      fc.property(sizes, fc.array(fc.integer({ min: 1, max: 30_000 }), { minLength: 1 }), (bodies, cuts) => {
        const sender = connection();
        const writer = new FrameStream(sender as never, { onFrame: () => undefined, onEnd: () => undefined });
        bodies.forEach((bytes, index) => writer.write(frameWith(index + 1, bytes)));
        const sent = Buffer.concat(sender.written);
        const received: LinkFrame[] = [];
        const reader = new FrameStream(connection() as never, {
          onFrame: frame => received.push(frame),
          onEnd: () => undefined,
        });
        for (let at = 0, next = 0; at < sent.length; next++) {
          const length = cuts[next % cuts.length]!;
          reader.receive(sent.subarray(at, at + length));
          at += length;
        }
        expect(pongsOf(received)).to.deep.equal(bodies.map((_, index) => index + 1));
        expect(received.map(({ items }) => items[0]?.request?.body.length)).to.deep.equal(bodies);
      }),
    );
  });

  const endedBy = (bytes: Buffer) => {
    const ends: string[] = [];
    const socket = connection();
    const reader = new FrameStream(socket as never, {
      onFrame: () => undefined,
      onEnd: why => ends.push(why),
    });
    reader.receive(bytes);
    return { ends, isClosed: socket.destroyed };
  };

  it('end the link when a length is out of bounds', () => {
    const { ends, isClosed } = endedBy(Buffer.from([0x7f, 0, 0, 0, 1]));
    expect(ends).to.have.lengthOf(1);
    expect(isClosed).to.equal(true);
  });

  it('end the link when a message is none', () => {
    const { ends, isClosed } = endedBy(Buffer.from([0, 0, 0, 2, 0x0a, 0xff]));
    expect(ends).to.have.lengthOf(1);
    expect(isClosed).to.equal(true);
  });
});
