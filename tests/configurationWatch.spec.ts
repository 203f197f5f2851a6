import { ManualClock } from '@cleatquay/clock';
import { Configuration, ConfigurationWatch, Freshness, type SourcedVersion } from '@cleatquay/configuration';
import { expect } from 'chai';

const VERSION: SourcedVersion = { generation: 1, sections: new Map([['general', '{}']]) };

describe('following the source of configurations', () => {
  let clock: ManualClock;
  let isOnDuty: boolean;
  let asked: number;
  let answer: () => Promise<SourcedVersion | undefined>;
  let watch: ConfigurationWatch;
  let configuration: Configuration<unknown>;
  let reached: boolean[];

  beforeEach(() => {
    clock = new ManualClock();
    isOnDuty = false;
    asked = 0;
    reached = [];
    answer = () => Promise.resolve(VERSION);
    const ask = async () => {
      asked++;
      // As a source that has nothing new for a while.
      await clock.sleep(1000);
      return answer();
    };
    configuration = new Configuration(
      clock,
      sections => sections,
      () => undefined,
    );
    watch = new ConfigurationWatch({
      clock,
      configuration,
      freshness: new Freshness(clock, configuration),
      source: { read: ask, next: ask },
      isOnDuty: () => isOnDuty,
      waitMs: () => 1000,
      paceMs: () => undefined,
      pauseMs: () => 500,
      onReach: isReached => reached.push(isReached),
      log: () => undefined,
    });
    watch.start();
  });

  const pass = async (ms: number) => {
    for (let left = ms; left > 0; left -= 100) {
      clock.advance(100);
      await new Promise(resolve => setImmediate(resolve));
    }
  };

  it('is begun by every daemon, until it has a version', async () => {
    answer = () => Promise.reject(new Error('away'));
    await pass(10_000);
    expect(asked).to.be.at.least(4);
    answer = () => Promise.resolve(VERSION);
    await pass(5000);
    const before = asked;
    await pass(10_000);
    expect(asked).to.equal(before);
  });

  it('is left to others by those that are not on duty, but for a look each minute', async () => {
    await pass(5000);
    expect(asked).to.equal(1);
    await pass(120_000);
    expect(asked).to.be.within(2, 3);
  });

  it('is read when a peer has another content under the same number, until it has told which is right', async () => {
    const taken = new Map([['general', '{"of":"a peer"}']]);
    configuration.adoptWhole(2, taken, 'peer');
    await pass(2000);
    const before = asked;
    watch.doubt();
    await pass(3000);
    expect(asked, 'an older version tells nothing').to.be.above(before + 1);
    answer = () => Promise.resolve({ ...VERSION, generation: 2 });
    await pass(3000);
    expect(configuration.inForce).to.deep.equal(VERSION.sections);
    const told = asked;
    await pass(10_000);
    expect(asked).to.equal(told);
  });

  it('is told of as out of reach after a read, and as within reach again when a look finds it back', async () => {
    await pass(5000);
    isOnDuty = true;
    await pass(2000);
    answer = () => Promise.reject(new Error('away'));
    reached = [];
    await pass(1000);
    expect(reached, 'a wait that fails tells nothing').to.deep.equal([]);
    await pass(1000);
    expect(reached).to.deep.equal([false]);
    // Others read for it from now on.
    isOnDuty = false;
    answer = () => Promise.resolve(undefined);
    await pass(8000);
    expect(reached).to.deep.equal([false, true]);
  });

  it('begins within half a second of being on duty', async () => {
    await pass(5000);
    isOnDuty = true;
    await pass(600);
    expect(asked).to.equal(2);
  });
});
