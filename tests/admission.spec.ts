import { Admission, type Permit, requestLevel, strictRequestLevel } from '@cleatquay/admission';
import { ManualClock } from '@cleatquay/clock';
import { type Refusal } from '@cleatquay/protocol';
import { expect } from 'chai';
import fc from 'fast-check';
import { setMaxListeners } from 'node:events';

const NEVER = new AbortController().signal;
setMaxListeners(0, NEVER);
const CLASSES = 3;
const REMAINING_MS = 60_000;

function createAdmission(clock: ManualClock, slots: number): Admission {
  return new Admission({
    clock,
    random: () => 0.5,
    classes: () => CLASSES,
    slots,
    maxQueueMs: () => 50,
    cold: false,
  });
}

const nextIteration = () => new Promise(resolve => setImmediate(resolve));

interface TrackedRequest {
  readonly level: number;
  state: 'waiting' | 'running' | 'ended';
  permit?: Permit;
}

describe('admission', () => {
  describe('the order in which requests are refused', () => {
    it('never refuses a request while one of lower priority stays in the queue', async () => {
      const anyStep = fc.oneof(
        fc.record({
          kind: fc.constant('request' as const),
          level: fc.double({ min: 0, max: CLASSES, maxExcluded: true, noNaN: true }),
        }),
        fc.record({ kind: fc.constant('release' as const), which: fc.nat(50) }),
        fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 80 }) }),
      );
      await fc.assert(
        fc.asyncProperty(
          fc.integer({ min: 1, max: 6 }),
          fc.array(anyStep, { maxLength: 80 }),
          async (slots, steps) => {
            const clock = new ManualClock();
            using admission = createAdmission(clock, slots);
            const requests: TrackedRequest[] = [];
            const refusedNow: TrackedRequest[] = [];
            const recordResult = (request: TrackedRequest) => (result: Permit | Refusal) => {
              request.state = 'release' in result ? 'running' : 'ended';
              if ('release' in result) request.permit = result;
              else refusedNow.push(request);
            };
            for (const step of steps) {
              if (step.kind === 'request') {
                const request: TrackedRequest = { level: step.level, state: 'waiting' };
                requests.push(request);
                void admission.request(step.level, REMAINING_MS, NEVER).then(recordResult(request));
              } else if (step.kind === 'wait') clock.advance(step.ms);
              else {
                const running = requests.filter(r => r.state === 'running');
                const released = running[step.which % Math.max(1, running.length)];
                if (released) {
                  released.state = 'ended';
                  released.permit?.release('answered');
                }
              }
              await nextIteration();
              const waiting = requests.filter(r => r.state === 'waiting');
              expect(requests.filter(r => r.state === 'running').length).to.be.at.most(slots);
              if (step.kind === 'request') {
                const overtaken = refusedNow.some(refused => waiting.some(w => w.level > refused.level));
                expect(overtaken, 'a request of lower priority stayed in the queue').to.equal(false);
              }
              refusedNow.length = 0;
            }
          },
        ),
        { numRuns: 150 },
      );
    });

    it('is the same at every hop, since levels derive from the id of the root request', () => {
      fc.assert(
        fc.property(fc.string(), fc.nat(5), (rootId, rank) => {
          const level = requestLevel(rank, rootId);
          expect(level).to.equal(requestLevel(rank, rootId));
          expect([0, rank]).to.include(Math.floor(level));
          expect(strictRequestLevel(rank, rootId))
            .to.be.at.least(rank)
            .and.below(rank + 1);
        }),
      );
    });

    it('follows the priority class, except for an eighth of each class, which is spread evenly over the top class', () => {
      const levels = Array.from({ length: 8000 }, (_, index) => requestLevel(2, `request-${String(index)}`));
      const guaranteed = levels.filter(level => level < 1);
      const others = levels.filter(level => level >= 2);
      expect(guaranteed.length + others.length).to.equal(levels.length);
      expect(guaranteed.length / levels.length).to.be.closeTo(1 / 8, 0.015);
      for (const [part, first] of [
        [guaranteed, 0],
        [others, 2],
      ] as const) {
        const lower = part.filter(level => level < first + 0.5).length;
        expect(lower / part.length).to.be.closeTo(0.5, 0.05);
      }
    });
  });

  describe('the admission level', () => {
    it('recovers within two seconds after the last refusal', async () => {
      const clock = new ManualClock();
      using admission = createAdmission(clock, 1);
      const permit = (await admission.request(0.5, REMAINING_MS, NEVER)) as Permit;
      const refusals = Array.from({ length: 40 }, (_, i) =>
        admission.request(0.1 + i / 20, REMAINING_MS, NEVER),
      );
      clock.advance(600);
      permit.release('answered');
      expect(admission.load().admissionLevel).to.be.below(CLASSES);
      clock.advance(2000);
      await Promise.race([...refusals, nextIteration()]);
      expect(admission.load().admissionLevel).to.equal(CLASSES);
    });
  });

  it('admits every class before and after a configuration arrives', () => {
    let classes = 16;
    const clock = new ManualClock();
    const options = { clock, random: () => 0.5, slots: 1, maxQueueMs: () => 50, cold: false };
    using admission = new Admission({ ...options, classes: () => classes });
    expect(admission.load().admissionLevel).to.equal(16);
    clock.advance(100);
    classes = 3;
    expect(admission.load().admissionLevel).to.equal(3);
    classes = 5;
    expect(admission.load().admissionLevel).to.equal(5);
  });

  describe('the concurrency limit', () => {
    it('stays between 1 and the announced slots, whatever the sequence of responses and shed requests', () => {
      fc.assert(
        fc.property(
          fc.integer({ min: 1, max: 500 }),
          fc.array(fc.boolean(), { maxLength: 500 }),
          (slots, sheds) => {
            const clock = new ManualClock();
            using admission = createAdmission(clock, slots);
            for (const shed of sheds) {
              clock.advance(60);
              if (shed) admission.limit.onShed();
              else admission.limit.onResponse();
              expect(admission.limit.value).to.be.at.least(1).and.at.most(slots);
            }
          },
        ),
        { numRuns: 50 },
      );
    });
  });
});
