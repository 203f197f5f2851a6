import { TryMemory } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';
import fc from 'fast-check';

const ANSWER = { head: { status: 200, headers: '', unframed: false }, body: Buffer.from('done') };

describe('the memory of tries', () => {
  it('never dispatches what it sealed, nor seals what it dispatched, in any order of events', async () => {
    const event = fc.constantFrom('begin', 'dispatch', 'refused', 'answered', 'lost', 'seal');
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 30 }), async events => {
        const memory = new TryMemory(new ManualClock(), () => 1000);
        let admitting = false;
        let dispatched = false;
        let sealed = false;
        for (const what of events) {
          if (what === 'begin') admitting = memory.begin('id', 1) === undefined;
          if (what === 'refused') memory.refused('id');
          if (what === 'answered') memory.ended('id', ANSWER);
          if (what === 'lost') memory.ended('id', undefined);
          if (what === 'dispatch' && admitting && memory.dispatch('id')) {
            expect(sealed, 'dispatched after a seal').to.equal(false);
            expect(dispatched, 'dispatched twice').to.equal(false);
            dispatched = true;
          }
          if (what === 'seal') {
            const { state } = await memory.seal({ requestId: 'id', try: 1, targetEpoch: 0, waitMs: 0 });
            if (state === 'SEALED') expect(dispatched, 'sealed after a dispatch').to.equal(false);
            sealed ||= state === 'SEALED';
          }
        }
      }),
      { numRuns: 500 },
    );
  });

  it('gives the answer of a try that ended', async () => {
    const memory = new TryMemory(new ManualClock(), () => 1000);
    memory.begin('id', 1);
    memory.dispatch('id');
    memory.ended('id', ANSWER);
    const { state, body } = await memory.seal({ requestId: 'id', try: 1, targetEpoch: 0, waitMs: 0 });
    expect([state, body.toString()]).to.deep.equal(['ANSWERED', 'done']);
  });
});
