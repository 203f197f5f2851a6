import { ManualClock, SystemClock, seededRandom } from '@cleatquay/clock';
import { Configuration, ConfigurationStore, joinSections, splitSections } from '@cleatquay/configuration';
import { deployments, operatorFileOf } from '@cleatquay/bench';
import type { Failure } from '@cleatquay/errors';
import { HttpStore } from '@cleatquay/store';
import { CallGraph, type OperatorFile } from '@cleatquay/settings';
import { StoreStandin } from '@cleatquay/standins';
import { expect } from 'chai';
import fc from 'fast-check';

const ROUNDS = 100;

function withSlots(slots: number): OperatorFile {
  const file = structuredClone(operatorFileOf(deployments.frostline!));
  file.services.alarms!.slots = slots;
  return file;
}

describe('the configuration', () => {
  let standin: StoreStandin;
  let platform: HttpStore;
  let store: ConfigurationStore;

  beforeEach(async () => {
    standin = new StoreStandin(seededRandom('platform'));
    platform = new HttpStore(await standin.listen());
    store = new ConfigurationStore(platform, new SystemClock());
  });

  afterEach(async () => {
    await platform[Symbol.asyncDispose]();
    await standin[Symbol.asyncDispose]();
  });

  describe('apply', () => {
    it('lets one of two operators win, and reports the active configuration to the other', async () => {
      await store.apply(withSlots(1));
      for (let round = 1; round <= ROUNDS; round++) {
        const results = await Promise.allSettled([
          store.apply(withSlots(1000 + round)),
          store.apply(withSlots(5000 + round)),
        ]);
        const won = results.filter(r => r.status === 'fulfilled');
        const { generation, sections } = await store.read();
        expect(generation - 1).to.be.at.least(round);
        const slots = joinSections(sections).services.alarms!.slots;
        const winner = won.map(w => w.value.applied).find(applied => applied.generation === generation);
        expect(winner, 'the active generation was reported to its operator').to.not.equal(undefined);
        expect([1000 + round, 5000 + round]).to.include(slots);
        for (const lost of results.filter(r => r.status === 'rejected')) {
          expect((lost.reason as Failure).result).to.equal('applyConflict');
          expect((lost.reason as Failure).message).to.contain('service:alarms changed');
        }
      }
    });

    it('reports the true result when the platform loses responses to writes', async () => {
      standin.faults.loseAnswers = 0.4;
      let accepted = 0;
      for (let i = 1; i <= 15; i++) {
        const applied = await store.apply(withSlots(i));
        accepted++;
        const { sections, applyId } = await store.read();
        expect(applyId).to.equal(applied.applied.applyId);
        expect(joinSections(sections).services.alarms!.slots).to.equal(i);
      }
      expect(accepted).to.be.greaterThan(0);
      expect(await store.generation()).to.equal(accepted);
    });

    it('refuses an apply that is based on an older generation', async () => {
      await store.apply(withSlots(1));
      await store.apply(withSlots(2));
      const refused = await store.apply(withSlots(3), 1).catch((error: unknown) => error as Failure);
      expect(refused).to.have.property('result', 'applyConflict');
    });

    it('keeps earlier generations for a rollback', async () => {
      await store.apply(withSlots(1));
      await store.apply(withSlots(2));
      const { sections } = await store.read(1);
      expect(joinSections(sections).services.alarms!.slots).to.equal(1);
    });
  });

  describe('in a daemon', () => {
    it('never decreases its generation and always has accepted content, in whatever order peers send', () => {
      const accepted = Array.from({ length: 8 }, (_, i) => {
        const file = withSlots(10 + i);
        if (i % 3 === 1) delete file.services.exports;
        return file;
      });
      const message = fc.record({ from: fc.nat(3), to: fc.nat(3), publish: fc.boolean(), delay: fc.nat(5) });
      fc.assert(
        fc.property(fc.array(message, { maxLength: 60 }), messages => {
          const seen = [0, 0, 0, 0];
          const daemons = seen.map(
            (_, i) =>
              new Configuration(
                new ManualClock(),
                sections => new CallGraph(joinSections(sections)),
                ({ generation }) => {
                  expect(generation).to.be.greaterThan(seen[i]!);
                  seen[i] = generation;
                },
              ),
          );
          let published = 0;
          const delayed: (() => void)[] = [];
          for (const { from, to, publish, delay } of messages) {
            if (publish && published < accepted.length) {
              const sections = splitSections(accepted[published]!);
              published++;
              const version = {
                generation: published,
                applyId: String(published),
                sections,
              };
              daemons[from]!.adopt(version, 'platform');
            }
            const response = daemons[from]!.createResponse(daemons[to]!.createRequest());
            delayed.push(() => daemons[to]!.adoptResponse(response, 'peer'));
            if (delay > 2) delayed.splice(0, delay).forEach(deliver => deliver());
          }
          for (const daemon of daemons.filter(d => d.generation > 0)) {
            const expected = normalised(accepted[daemon.generation - 1]!);
            expect(normalised(daemon.active!.file)).to.deep.equal(expected);
          }
        }),
        { numRuns: 200 },
      );
    });
  });
});

/** Normalises the order, which depends on that of the sections. */
function normalised(file: OperatorFile): unknown {
  const services = Object.fromEntries(Object.entries(file.services).sort(([a], [b]) => a.localeCompare(b)));
  return JSON.parse(JSON.stringify({ ...file, services }));
}
