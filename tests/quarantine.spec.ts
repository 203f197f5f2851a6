import { type CancelSignal, Cancellation, ManualClock } from '@cleatquay/clock';
import {
  CrashHistory,
  SuspectSemaphore,
  RecentResponses,
  type Permits,
  Verdicts,
  fingerprintOf,
} from '@cleatquay/quarantine';
import { expect } from 'chai';
import fc from 'fast-check';
import { QuarantineFleet } from './fixtures/quarantineFleet.js';

const DAEMONS = 4;
const DEADLY = 'dead000000000000';
const HARMLESS = '1111111111111111';
const OTHERS = ['2222222222222222', '3333333333333333'];
/** Longer than the delays after which daemons write to the table. */
const TABLE_SYNC_MS = 5000;
/** More process starts than a verdict names. */
const LATER_CRASHES = 8;
/** More process starts than a finding names. */
const MANY_CRASHES = 20;
/** Longer than the delay of a verdict. */
const DECISION_MS = 300;
const RUNS = 500;

const HEAD = { method: 'GET', path: '/a?b=1', headers: 'Host\nh.example\nAuthorization\nme\n' };
const EMPTY = Buffer.alloc(0);

describe('a request that was in flight when upstreams crashed', () => {
  let fleet: QuarantineFleet;

  beforeEach(() => {
    fleet = new QuarantineFleet(DAEMONS);
  });

  const all = (status: string) => fleet.daemons.map(() => status);
  const crashThree = async (fingerprints: readonly string[]) => {
    for (const at of [0, 1, 2]) await fleet.crash(at, `u${String(at)}@1`, fingerprints);
    await fleet.advance(DECISION_MS);
  };
  const recordResponse = (at: number, fingerprint: string) =>
    fleet.daemons[at]!.recordResponse({ ...HEAD, path: `/${fingerprint}` }, EMPTY, () => fingerprint);

  describe('is quarantined everywhere', () => {
    it('after three crashes, each on another VM', async () => {
      await fleet.crash(0, 'u0@1', [DEADLY, ...OTHERS]);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('suspect'));
      await fleet.crash(1, 'u1@1', [DEADLY]);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('strong-suspect'));
      await fleet.crash(2, 'u2@1', [DEADLY]);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.daemons[3]!.retryAfterMs(DEADLY)).to.equal(500);
      await fleet.advance(DECISION_MS);
      expect(fleet.daemons[3]!.retryAfterMs(DEADLY)).to.equal(60_000);
    });

    it('after all daemons were killed and restarted at once', async () => {
      await crashThree([DEADLY]);
      await fleet.restartAll();
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.daemons[3]!.report[0]).to.include({ asks: `GET /${DEADLY}`, isHeld: true });
    });

    it('at the first crash in a partition that learns of three crashes from the table only', async () => {
      fleet.partitioned.add(3);
      await crashThree([DEADLY]);
      await fleet.advance(TABLE_SYNC_MS);
      expect(fleet.statuses(DEADLY)[3]).to.equal('free');
      await fleet.crash(3, 'u3@1', [DEADLY]);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
    });

    it('when there are crashes on both sides of a partition', async () => {
      fleet.partitioned.add(3);
      await fleet.crash(0, 'u0@1', [DEADLY]);
      await fleet.crash(1, 'u1@1', [DEADLY]);
      await fleet.advance(TABLE_SYNC_MS);
      await fleet.crash(3, 'u3@1', [DEADLY]);
      expect(fleet.statuses(DEADLY)[3]).to.equal('held');
    });

    it('after three more crashes once an operator has released it', async () => {
      await crashThree([DEADLY]);
      expect(await fleet.daemons[0]!.release(DEADLY)).to.equal(true);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('free'));
      for (const at of [0, 1, 2]) await fleet.crash(at, `u${String(at)}@2`, [DEADLY]);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
    });
  });

  describe('is not quarantined', () => {
    it('for repeated or late reports of the same crash', async () => {
      for (const at of [0, 1, 2, 3, 0]) await fleet.crash(at, 'u0@1', [DEADLY]);
      await fleet.crash(1, 'u1@1', [DEADLY]);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('strong-suspect'));
    });

    it('when it completed between the crashes', async () => {
      await fleet.crash(0, 'u0@1', [HARMLESS]);
      await fleet.crash(1, 'u1@1', [HARMLESS]);
      recordResponse(3, HARMLESS);
      await fleet.crash(2, 'u2@1', [HARMLESS]);
      await fleet.advance(DECISION_MS);
      expect(fleet.statuses(HARMLESS)).to.deep.equal(all('suspect'));
    });

    it('when it got a response just before many upstreams crashed at once', async () => {
      const popular = { ...HEAD, path: '/popular' };
      const fingerprint = fingerprintOf(popular, EMPTY);
      fleet.daemons[3]!.recordResponse(popular, EMPTY, () => fingerprint);
      for (const at of [0, 1, 2]) await fleet.crash(at, `u${String(at)}@1`, [fingerprint]);
      expect(fleet.statuses(fingerprint)).to.deep.equal(all('free'));
    });

    it('when it was in flight at many crashes at once and gets a response again', async () => {
      for (let i = 0; i < MANY_CRASHES; i++) await fleet.crash(i % DAEMONS, `many${String(i)}@1`, [HARMLESS]);
      recordResponse(3, HARMLESS);
      expect(fleet.statuses(HARMLESS)).to.deep.equal(all('free'));
    });

    it('for crashes that are attributed to another request', async () => {
      await fleet.crash(0, 'u0@1', [DEADLY, HARMLESS]);
      await fleet.crash(1, 'u1@1', [DEADLY, HARMLESS]);
      await fleet.crash(2, 'u2@1', [DEADLY]);
      await fleet.advance(DECISION_MS);
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
      await fleet.crash(3, 'u3@1', [HARMLESS]);
      expect(fleet.statuses(HARMLESS)).to.deep.equal(all('suspect'));
    });

    it('for crashes attributed to a request that is quarantined already, even after all daemons have restarted', async () => {
      await crashThree([DEADLY]);
      for (let i = 0; i < LATER_CRASHES; i++)
        await fleet.crash(i % DAEMONS, `later${String(i)}@1`, [DEADLY, HARMLESS]);
      expect(fleet.statuses(HARMLESS)).to.deep.equal(all('free'));
      await fleet.advance(TABLE_SYNC_MS);
      await fleet.restartAll();
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.statuses(HARMLESS)).to.deep.equal(all('free'));
    });

    it('for crashes of another request that a restarted daemon knows only from the table', async () => {
      for (let i = 0; i < LATER_CRASHES; i++)
        await fleet.crash(i % DAEMONS, `many${String(i)}@1`, [DEADLY, HARMLESS]);
      recordResponse(3, HARMLESS);
      await fleet.advance(TABLE_SYNC_MS);
      await fleet.restartAll();
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.statuses(HARMLESS)).to.deep.equal(all('free'));
    });

    it('once an operator has released it, even after all daemons were killed', async () => {
      await crashThree([DEADLY]);
      await fleet.daemons[1]!.release(DEADLY);
      await fleet.restartAll();
      expect(fleet.statuses(DEADLY)).to.deep.equal(all('free'));
    });
  });

  it('is identified by its fingerprint, which depends on method, path, caller and body but not on headers of one attempt', () => {
    const one = fingerprintOf(HEAD, EMPTY);
    const traced = { ...HEAD, headers: `${HEAD.headers}TraceParent\n00-1\nDate\nnow\n` };
    expect(fingerprintOf(traced, EMPTY)).to.equal(one);
    const others = [
      fingerprintOf({ ...HEAD, headers: 'Host\nh.example\nAuthorization\nyou\n' }, EMPTY),
      fingerprintOf({ ...HEAD, path: '/a?b=2' }, EMPTY),
      fingerprintOf({ ...HEAD, method: 'DELETE' }, EMPTY),
      fingerprintOf(HEAD, Buffer.from('x')),
    ];
    expect(new Set([one, ...others]).size).to.equal(5);
  });
});

describe('crash history', () => {
  const start = fc.constantFrom('a', 'b', 'c', 'd');
  const report = fc.record({
    isClearance: fc.boolean(),
    start,
    fingerprint: fc.constantFrom(DEADLY, HARMLESS, ...OTHERS),
  });

  it('converges in whatever order, and however often, reports are received', () => {
    fc.assert(
      fc.property(fc.array(report, { maxLength: 12 }), fc.array(fc.nat(11)), (reports, repeats) => {
        const crashesAfter = (list: typeof reports) => {
          const history = new CrashHistory(new ManualClock());
          for (const { isClearance, start: at, fingerprint } of list)
            if (isClearance) history.clear(fingerprint, [at]);
            else history.add(at, [fingerprint]);
          return [DEADLY, HARMLESS, ...OTHERS].map(fingerprint => history.crashedUnder(fingerprint).sort());
        };
        const repeated = repeats.flatMap(i => reports[i] ?? []);
        expect(crashesAfter([...reports, ...repeated].reverse())).to.deep.equal(crashesAfter(reports));
      }),
      { numRuns: RUNS },
    );
  });

  it('is bounded for any number of crashes', () => {
    const history = new CrashHistory(new ManualClock());
    for (let i = 0; i < 2000; i++) history.add(`u${String(i)}`, [i.toString(16).padStart(16, '0')]);
    expect(history.size).to.equal(300);
    expect(history.suspectCount).to.equal(300);
  });
});

describe('recent responses', () => {
  it('clear their requests for ten seconds', () => {
    const clock = new ManualClock();
    const responses = new RecentResponses(clock);
    const fingerprint = fingerprintOf(HEAD, EMPTY);
    responses.add(HEAD, EMPTY);
    expect(responses.completedAmong([fingerprint, DEADLY])).to.deep.equal([fingerprint]);
    clock.advance(10_001);
    expect(responses.completedAmong([fingerprint])).to.deep.equal([]);
  });
});

describe('suspects at one upstream', () => {
  const NEVER = new Cancellation().signal;
  let semaphore: SuspectSemaphore;
  let started: string[];

  beforeEach(() => {
    semaphore = new SuspectSemaphore();
    started = [];
  });

  const acquire = async (
    name: string,
    permits: Permits,
    { start = 'u', signal = NEVER as CancelSignal } = {},
  ) => {
    const permit = await semaphore.acquire(start, permits, signal);
    started.push(name);
    return permit;
  };
  const settle = () => new Promise(resolve => setImmediate(resolve));

  it('run four at a time, in order of arrival', async () => {
    const permits = ['a', 'b', 'c', 'd', 'e'].map(name => acquire(name, 'one'));
    void acquire('elsewhere', 'one', { start: 'v' });
    await settle();
    expect(started).to.deep.equal(['a', 'b', 'c', 'd', 'elsewhere']);
    (await permits[1])![Symbol.dispose]();
    await settle();
    expect(started.at(-1)).to.equal('e');
  });

  it('run without any other suspect after two crashes', async () => {
    const first = await acquire('first', 'one');
    const strongSuspect = acquire('strong suspect', 'all');
    void acquire('later', 'one');
    await settle();
    expect(started).to.deep.equal(['first']);
    first[Symbol.dispose]();
    await settle();
    expect(started).to.deep.equal(['first', 'strong suspect']);
    (await strongSuspect)[Symbol.dispose]();
    await settle();
    expect(started).to.deep.equal(['first', 'strong suspect', 'later']);
  });

  it('that are cancelled while they wait do not block others', async () => {
    const first = await acquire('first', 'one');
    const cancellation = new Cancellation();
    const cancelled = acquire('cancelled', 'all', { signal: cancellation.signal });
    const later = acquire('later', 'one');
    cancellation.abort(new Error('cancelled'));
    (await cancelled)[Symbol.dispose]();
    await later;
    first[Symbol.dispose]();
    expect(started).to.have.members(['first', 'cancelled', 'later']);
  });
});

describe('verdicts', () => {
  const verdict = (i: number, revision = 1) => ({
    fingerprint: i.toString(16).padStart(16, '0'),
    revision,
    starts: [],
    since: 0,
    asks: '',
  });

  it('are bounded: released ones are evicted, others are not', () => {
    const verdicts = new Verdicts();
    for (let i = 0; i < 200; i++) verdicts.put(verdict(i));
    expect(verdicts.quarantinedCount).to.equal(120);
    verdicts.put(verdict(7, 2));
    expect(verdicts.put(verdict(1000))).to.equal(true);
    expect(verdicts.get(verdict(7).fingerprint)).to.equal(undefined);
    expect(verdicts.quarantinedCount).to.equal(120);
  });

  it('converge in whatever order they are received, and have a digest that depends on their content', () => {
    const [one, other] = [new Verdicts(), new Verdicts()];
    for (const revision of [1, 3, 2]) one.put(verdict(1, revision));
    for (const revision of [2, 3, 1]) other.put(verdict(1, revision));
    expect(one.digest).to.equal(other.digest).and.not.equal(0);
    other.put(verdict(1, 4));
    expect(one.digest).to.not.equal(other.digest);
  });
});
