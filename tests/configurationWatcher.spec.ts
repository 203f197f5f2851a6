import { ManualClock } from '@cleatquay/clock';
import {
  Configuration,
  ConfigurationWatcher,
  Freshness,
  type SourcedVersion,
} from '@cleatquay/configuration';
import { expect } from 'chai';

const VERSION: SourcedVersion = { generation: 1, sections: new Map([['general', '{}']]) };

/** Rejects when the signal aborts. */
const abortion = (signal: AbortSignal) =>
  new Promise<never>((_, reject) => signal.addEventListener('abort', () => reject(new Error('Aborted.'))));

describe('watching the source of configurations', () => {
  let clock: ManualClock;
  let mustReadPlatform: boolean;
  let calls: number;
  let reads: number;
  let lostPeers: number;
  /** Whether a wait ends only when it is aborted. */
  let isWaitEndless: boolean;
  let respond: () => Promise<SourcedVersion | undefined>;
  let watcher: ConfigurationWatcher;
  let configuration: Configuration<unknown>;
  let reachability: boolean[];

  beforeEach(() => {
    clock = new ManualClock();
    mustReadPlatform = false;
    calls = 0;
    reachability = [];
    reads = 0;
    lostPeers = 0;
    isWaitEndless = false;
    respond = () => Promise.resolve(VERSION);
    const call = async () => {
      calls++;
      // Like a source that has nothing new for some time.
      await clock.sleep(1000);
      return respond();
    };
    configuration = new Configuration(
      clock,
      sections => sections,
      () => undefined,
    );
    watcher = new ConfigurationWatcher({
      clock,
      configuration,
      freshness: new Freshness(clock, configuration),
      source: {
        read: () => {
          reads++;
          return call();
        },
        next: (_, signal) => (isWaitEndless ? abortion(signal) : call()),
      },
      mustReadPlatform: () => mustReadPlatform,
      waitMs: () => 1000,
      readIntervalMs: () => undefined,
      random: () => 0.5,
      lostPeers: () => lostPeers,
      retryIntervalMs: () => 500,
      onReachability: isReachable => reachability.push(isReachable),
      log: () => undefined,
    });
    watcher.start();
  });

  const advance = async (ms: number) => {
    for (let left = ms; left > 0; left -= 100) {
      clock.advance(100);
      await new Promise(resolve => setImmediate(resolve));
    }
  };

  it('is done by every daemon until it has a version', async () => {
    respond = () => Promise.reject(new Error('unreachable'));
    await advance(10_000);
    expect(calls).to.be.at.least(4);
    respond = () => Promise.resolve(VERSION);
    await advance(5000);
    const before = calls;
    await advance(10_000);
    expect(calls).to.equal(before);
  });

  it('is left to the platform readers by other daemons, except for a read each minute', async () => {
    await advance(5000);
    expect(calls).to.equal(1);
    await advance(120_000);
    expect(calls).to.be.within(2, 3);
  });

  it('reads it after a digest mismatch, until it has confirmed the generation', async () => {
    const peerSections = new Map([['general', '{"of":"a peer"}']]);
    configuration.adoptContent(2, peerSections, 'peer');
    await advance(2000);
    const before = calls;
    watcher.onDigestMismatch();
    await advance(3000);
    expect(calls, 'an older version confirms nothing').to.be.above(before + 1);
    respond = () => Promise.resolve({ ...VERSION, generation: 2 });
    await advance(3000);
    expect(configuration.active).to.deep.equal(VERSION.sections);
    const confirmed = calls;
    await advance(10_000);
    expect(calls).to.equal(confirmed);
  });

  it('reports it as unreachable after a failed read, and as reachable after a later read succeeds', async () => {
    await advance(5000);
    mustReadPlatform = true;
    await advance(2000);
    respond = () => Promise.reject(new Error('unreachable'));
    reachability = [];
    await advance(1000);
    expect(reachability, 'a failed wait is not reported').to.deep.equal([]);
    await advance(1000);
    expect(reachability).to.deep.equal([false]);
    // Other daemons are platform readers from now on.
    mustReadPlatform = false;
    respond = () => Promise.resolve(undefined);
    await advance(8000);
    expect(reachability).to.deep.equal([false, true]);
  });

  it('is read in place of a wait when a daemon nearby loses it, since the wait may get no response, either', async () => {
    isWaitEndless = true;
    mustReadPlatform = true;
    lostPeers = 1;
    await advance(5000);
    reads = 0;
    await advance(3000);
    expect(reads).to.equal(0);
    lostPeers = 2;
    await advance(1000);
    expect(reads).to.equal(1);
    expect(reachability).to.not.include(false);
  });

  it('begins within half a second after the daemon becomes a platform reader', async () => {
    await advance(5000);
    mustReadPlatform = true;
    await advance(600);
    expect(calls).to.equal(2);
  });
});
