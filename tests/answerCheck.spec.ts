import { BodyCheck } from '@cleatquay/calls';
import { expect } from 'chai';
import fc from 'fast-check';

/** A piece without memory, as a stream gives at times: node's crc32 takes it for the beginning of a sum. */
const EMPTY = fc.constant(null).map((): Uint8Array => Buffer.from(new ArrayBuffer(0)));

describe('the check of an answer', () => {
  it('is the same however the answer is cut, empty pieces included', () => {
    fc.assert(
      fc.property(fc.array(fc.oneof(fc.uint8Array({ maxLength: 20 }), EMPTY)), pieces => {
        const cut = new BodyCheck();
        for (const piece of pieces) cut.add(piece);
        const whole = new BodyCheck();
        whole.add(Buffer.concat(pieces));
        expect(cut.end).to.deep.equal(whole.end);
      }),
    );
  });
});
