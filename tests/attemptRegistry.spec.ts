import { AttemptRegistry } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { expect } from 'chai';
import fc from 'fast-check';

const SEAL_REQUEST = { requestId: 'id', try: 1, targetEpoch: 0, targetProcess: 'p', waitMs: 0 };
const RESPONSE = { head: { status: 200, headers: '', unframed: false }, body: Buffer.from('done') };

describe('the attempt registry', () => {
  it('never dispatches a sealed attempt, nor seals a dispatched one, in any order of events', async () => {
    const anyEvent = fc.constantFrom('register', 'dispatch', 'refused', 'answered', 'lost', 'seal');
    await fc.assert(
      fc.asyncProperty(fc.array(anyEvent, { maxLength: 30 }), async events => {
        const registry = new AttemptRegistry(new ManualClock(), () => 1000);
        let registered = false;
        let dispatched = false;
        let sealed = false;
        for (const event of events) {
          if (event === 'register') registered = registry.register('id', 1) === undefined;
          if (event === 'refused') registry.markRefused('id');
          if (event === 'answered') registry.markEnded('id', RESPONSE);
          if (event === 'lost') registry.markEnded('id', undefined);
          if (event === 'dispatch' && registered && registry.markDispatched('id')) {
            expect(sealed, 'dispatched after a seal').to.equal(false);
            expect(dispatched, 'dispatched twice').to.equal(false);
            dispatched = true;
          }
          if (event === 'seal') {
            const { state } = await registry.seal(SEAL_REQUEST);
            if (state === 'SEALED') expect(dispatched, 'sealed after a dispatch').to.equal(false);
            sealed ||= state === 'SEALED';
          }
        }
      }),
      { numRuns: 500 },
    );
  });

  it('returns the response of an attempt that ended', async () => {
    const registry = new AttemptRegistry(new ManualClock(), () => 1000);
    registry.register('id', 1);
    registry.markDispatched('id');
    registry.markEnded('id', RESPONSE);
    const { state, body } = await registry.seal(SEAL_REQUEST);
    expect([state, body.toString()]).to.deep.equal(['ANSWERED', 'done']);
  });

  // Guards against an attempt that runs for longer than its record is kept, and is sealed as if it had never arrived.
  it('keeps an attempt while it runs, and for its lifetime after that', async () => {
    const clock = new ManualClock();
    const registry = new AttemptRegistry(clock, () => 1000);
    registry.register('id', 1);
    registry.markDispatched('id');
    clock.advance(1900);
    expect((await registry.seal(SEAL_REQUEST)).state).to.equal('RUNNING');
    registry.markEnded('id', RESPONSE);
    clock.advance(900);
    expect((await registry.seal(SEAL_REQUEST)).state).to.equal('ANSWERED');
    clock.advance(2000);
    expect(registry.size).to.equal(0);
  });

  // Guards against a seal by a process that never got the attempt, and so can't know whether it ran.
  describe('sealing an attempt of a sender that does not name the process', () => {
    const request = { ...SEAL_REQUEST, targetProcess: '' };

    it('proves nothing unless that attempt arrived, however often it is requested', async () => {
      const registry = new AttemptRegistry(new ManualClock(), () => 1000);
      for (let i = 0; i < 2; i++) expect((await registry.seal(request)).state).to.equal('OTHER_PROCESS');
      expect(registry.register('id', 1)?.outcome).to.equal('not-run');
    });

    it('proves that it has not run if it arrived and was refused', async () => {
      const registry = new AttemptRegistry(new ManualClock(), () => 1000);
      registry.register('id', 1);
      registry.markRefused('id');
      expect((await registry.seal(request)).state).to.equal('SEALED');
      expect((await registry.seal({ ...request, try: 2 })).state).to.equal('OTHER_PROCESS');
    });
  });
});
