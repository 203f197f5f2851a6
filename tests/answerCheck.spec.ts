import { BodyCheck } from '@cleatquay/calls';
import { expect } from 'chai';
import fc from 'fast-check';

describe('the check of an answer', () => {
  it('is the same however the answer is cut, empty pieces included', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array({ maxLength: 20 })), pieces => {
        const cut = new BodyCheck();
        for (const piece of pieces) cut.add(piece);
        const whole = new BodyCheck();
        whole.add(Buffer.concat(pieces));
        expect(cut.end).to.deep.equal(whole.end);
      }),
    );
  });
});
