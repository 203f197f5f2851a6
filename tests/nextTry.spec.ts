import { type FailedTry, nextTry } from '@cleatquay/calls';
import { type ResultName, resultCodes } from '@cleatquay/errors';
import { refusalOf } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';

describe('the next try of a call', () => {
  const failedTries: fc.Arbitrary<FailedTry> = fc.record({
    refusal: fc
      .record({
        result: fc.constantFrom(...(Object.keys(resultCodes) as ResultName[])),
        elsewhereHelps: fc.boolean(),
      })
      .map(({ result, elsewhereHelps }) => refusalOf(result, '', { elsewhereHelps })),
    idempotent: fc.boolean(),
    tokens: fc.nat(3),
    reroutes: fc.nat(3),
  });

  it('never follows one that may have run, when the request may run only once', () => {
    fc.assert(
      fc.property(failedTries, failed => {
        const mayHaveRun = failed.refusal.outcome !== 'not-run';
        if (mayHaveRun && !failed.idempotent) expect(nextTry(failed, () => true)).to.equal('none');
      }),
    );
  });

  it('costs a token and a retry of the budget wherever an upstream has seen the call', () => {
    fc.assert(
      fc.property(failedTries, failed => {
        let asked = 0;
        const next = nextTry(failed, () => ++asked > 0);
        if (next === 'retry') expect(failed.tokens).to.be.above(0);
        if (next === 'reroute') expect([failed.refusal.outcome, asked]).to.deep.equal(['not-run', 0]);
        if (asked > 0) expect(nextTry(failed, () => false)).to.equal('none');
      }),
    );
  });
});
