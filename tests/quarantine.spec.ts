import { type CancelSignal, Cancellation, ManualClock } from '@cleatquay/clock';
import {
  CrashHistory,
  Isolation,
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
const LONG_MS = 5000;
/** More than a verdict names. */
const LATER_ENDS = 8;
/** More than one finding names. */
const MANY_ENDS = 20;
/** A verdict waits for word that clears the request. */
const DECIDED_MS = 300;
const RUNS = 500;

const HEAD = { method: 'GET', path: '/a?b=1', headers: 'Host\nh.example\nAuthorization\nme\n' };
const EMPTY = Buffer.alloc(0);

describe('a request that ran where upstreams ended', () => {
  let fleet: QuarantineFleet;

  beforeEach(() => {
    fleet = new QuarantineFleet(DAEMONS);
  });

  const all = (standing: string) => fleet.daemons.map(() => standing);
  const endThree = async (fingerprints: readonly string[]) => {
    for (const at of [0, 1, 2]) await fleet.end(at, `u${String(at)}@1`, fingerprints);
    await fleet.pass(DECIDED_MS);
  };
  const answer = (at: number, fingerprint: string) =>
    fleet.daemons[at]!.answered({ ...HEAD, path: `/${fingerprint}` }, EMPTY, () => fingerprint);

  describe('is held back everywhere', () => {
    it('once three have ended under it, each beside another daemon', async () => {
      await fleet.end(0, 'u0@1', [DEADLY, ...OTHERS]);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('suspect'));
      await fleet.end(1, 'u1@1', [DEADLY]);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('strong-suspect'));
      await fleet.end(2, 'u2@1', [DEADLY]);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.daemons[3]!.retryAfterMs(DEADLY)).to.equal(500);
      await fleet.pass(DECIDED_MS);
      expect(fleet.daemons[3]!.retryAfterMs(DEADLY)).to.equal(60_000);
    });

    it('also after all daemons were killed and started at once', async () => {
      await endThree([DEADLY]);
      await fleet.restartAll();
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.daemons[3]!.report[0]).to.include({ asks: `GET /${DEADLY}`, isHeld: true });
    });

    it('at the first end where daemons are cut off from those who saw three, and have the table', async () => {
      fleet.cutOff.add(3);
      await endThree([DEADLY]);
      await fleet.pass(LONG_MS);
      expect(fleet.standings(DEADLY)[3]).to.equal('free');
      await fleet.end(3, 'u3@1', [DEADLY]);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
    });

    it('when the ends fall to both sides of a cut', async () => {
      fleet.cutOff.add(3);
      await fleet.end(0, 'u0@1', [DEADLY]);
      await fleet.end(1, 'u1@1', [DEADLY]);
      await fleet.pass(LONG_MS);
      await fleet.end(3, 'u3@1', [DEADLY]);
      expect(fleet.standings(DEADLY)[3]).to.equal('held');
    });

    it('again when an operator released it and three more end under it', async () => {
      await endThree([DEADLY]);
      expect(await fleet.daemons[0]!.release(DEADLY)).to.equal(true);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('free'));
      for (const at of [0, 1, 2]) await fleet.end(at, `u${String(at)}@2`, [DEADLY]);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
    });
  });

  describe('is not held back', () => {
    it('when daemons tell of the same end again, or late', async () => {
      for (const at of [0, 1, 2, 3, 0]) await fleet.end(at, 'u0@1', [DEADLY]);
      await fleet.end(1, 'u1@1', [DEADLY]);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('strong-suspect'));
    });

    it('when it ended well in between', async () => {
      await fleet.end(0, 'u0@1', [HARMLESS]);
      await fleet.end(1, 'u1@1', [HARMLESS]);
      answer(3, HARMLESS);
      await fleet.end(2, 'u2@1', [HARMLESS]);
      await fleet.pass(DECIDED_MS);
      expect(fleet.standings(HARMLESS)).to.deep.equal(all('suspect'));
    });

    it('when it was answered just before many upstreams ended at once', async () => {
      const popular = { ...HEAD, path: '/popular' };
      const fingerprint = fingerprintOf(popular, EMPTY);
      fleet.daemons[3]!.answered(popular, EMPTY, () => fingerprint);
      for (const at of [0, 1, 2]) await fleet.end(at, `u${String(at)}@1`, [fingerprint]);
      expect(fleet.standings(fingerprint)).to.deep.equal(all('free'));
    });

    it('when it ran at many ends at once and is answered again', async () => {
      for (let i = 0; i < MANY_ENDS; i++) await fleet.end(i % DAEMONS, `many${String(i)}@1`, [HARMLESS]);
      answer(3, HARMLESS);
      expect(fleet.standings(HARMLESS)).to.deep.equal(all('free'));
    });

    it('for ends that are found to be due to another one', async () => {
      await fleet.end(0, 'u0@1', [DEADLY, HARMLESS]);
      await fleet.end(1, 'u1@1', [DEADLY, HARMLESS]);
      await fleet.end(2, 'u2@1', [DEADLY]);
      await fleet.pass(DECIDED_MS);
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
      await fleet.end(3, 'u3@1', [HARMLESS]);
      expect(fleet.standings(HARMLESS)).to.deep.equal(all('suspect'));
    });

    it('for ends under another one that come after that is held back, also once all daemons have started again', async () => {
      await endThree([DEADLY]);
      for (let i = 0; i < LATER_ENDS; i++)
        await fleet.end(i % DAEMONS, `later${String(i)}@1`, [DEADLY, HARMLESS]);
      expect(fleet.standings(HARMLESS)).to.deep.equal(all('free'));
      await fleet.pass(LONG_MS);
      await fleet.restartAll();
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.standings(HARMLESS)).to.deep.equal(all('free'));
    });

    it('for ends under another one of which a daemon that starts has only the record', async () => {
      for (let i = 0; i < LATER_ENDS; i++)
        await fleet.end(i % DAEMONS, `many${String(i)}@1`, [DEADLY, HARMLESS]);
      answer(3, HARMLESS);
      await fleet.pass(LONG_MS);
      await fleet.restartAll();
      expect(fleet.standings(DEADLY)).to.deep.equal(all('held'));
      expect(fleet.standings(HARMLESS)).to.deep.equal(all('free'));
    });

    it('once an operator has released it, also after all daemons were killed', async () => {
      await endThree([DEADLY]);
      await fleet.daemons[1]!.release(DEADLY);
      await fleet.restartAll();
      expect(fleet.standings(DEADLY)).to.deep.equal(all('free'));
    });
  });

  it('is told by its fingerprint, which is another one for another caller, path or body', () => {
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

describe('evidence', () => {
  const start = fc.constantFrom('a', 'b', 'c', 'd');
  const word = fc.record({
    isClearing: fc.boolean(),
    start,
    fingerprint: fc.constantFrom(DEADLY, HARMLESS, ...OTHERS),
  });

  it('comes to the same in whatever order, and however often, words of it come', () => {
    fc.assert(
      fc.property(fc.array(word, { maxLength: 12 }), fc.array(fc.nat(11)), (words, again) => {
        const outcome = (list: typeof words) => {
          const evidence = new CrashHistory(new ManualClock());
          for (const { isClearing, start: at, fingerprint } of list)
            if (isClearing) evidence.clear(fingerprint, [at]);
            else evidence.add(at, [fingerprint]);
          return [DEADLY, HARMLESS, ...OTHERS].map(fingerprint => evidence.crashedUnder(fingerprint).sort());
        };
        const repeated = again.flatMap(i => words[i] ?? []);
        expect(outcome([...words, ...repeated].reverse())).to.deep.equal(outcome(words));
      }),
      { numRuns: RUNS },
    );
  });

  it('is bounded, whoever makes upstreams end', () => {
    const evidence = new CrashHistory(new ManualClock());
    for (let i = 0; i < 2000; i++) evidence.add(`u${String(i)}`, [i.toString(16).padStart(16, '0')]);
    expect(evidence.size).to.equal(300);
    expect(evidence.suspectCount).to.equal(300);
  });
});

describe('answers of late', () => {
  it('speak for their requests for ten seconds', () => {
    const clock = new ManualClock();
    const answers = new RecentResponses(clock);
    const fingerprint = fingerprintOf(HEAD, EMPTY);
    answers.add(HEAD, EMPTY);
    expect(answers.answeredAmong([fingerprint, DEADLY])).to.deep.equal([fingerprint]);
    clock.advance(10_001);
    expect(answers.answeredAmong([fingerprint])).to.deep.equal([]);
  });
});

describe('suspects at one upstream', () => {
  const NEVER = new Cancellation().signal;
  let isolation: Isolation;
  let seen: string[];

  beforeEach(() => {
    isolation = new Isolation();
    seen = [];
  });

  const enter = async (name: string, room: Permits, { start = 'u', signal = NEVER as CancelSignal } = {}) => {
    const place = await isolation.enter(start, room, signal);
    seen.push(name);
    return place;
  };
  const settle = () => new Promise(resolve => setImmediate(resolve));

  it('run four at a time, in the order in which they came', async () => {
    const places = ['a', 'b', 'c', 'd', 'e'].map(name => enter(name, 'a-place'));
    void enter('elsewhere', 'a-place', { start: 'v' });
    await settle();
    expect(seen).to.deep.equal(['a', 'b', 'c', 'd', 'elsewhere']);
    (await places[1])![Symbol.dispose]();
    await settle();
    expect(seen.at(-1)).to.equal('e');
  });

  it('run beside no other when two upstreams have ended under them', async () => {
    const first = await enter('first', 'a-place');
    const prime = enter('prime', 'all-places');
    void enter('later', 'a-place');
    await settle();
    expect(seen).to.deep.equal(['first']);
    first[Symbol.dispose]();
    await settle();
    expect(seen).to.deep.equal(['first', 'prime']);
    (await prime)[Symbol.dispose]();
    await settle();
    expect(seen).to.deep.equal(['first', 'prime', 'later']);
  });

  it('that give up while they wait keep nobody waiting', async () => {
    const first = await enter('first', 'a-place');
    const gone = new Cancellation();
    const prime = enter('gone', 'all-places', { signal: gone.signal });
    const later = enter('later', 'a-place');
    gone.abort(new Error('gone'));
    (await prime)[Symbol.dispose]();
    await later;
    first[Symbol.dispose]();
    expect(seen).to.have.members(['first', 'gone', 'later']);
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

  it('are bounded: those that were released make room, those that hold don’t', () => {
    const verdicts = new Verdicts();
    for (let i = 0; i < 200; i++) verdicts.put(verdict(i));
    expect(verdicts.quarantinedCount).to.equal(120);
    verdicts.put(verdict(7, 2));
    expect(verdicts.put(verdict(1000))).to.equal(true);
    expect(verdicts.get(verdict(7).fingerprint)).to.equal(undefined);
    expect(verdicts.quarantinedCount).to.equal(120);
  });

  it('come to the same whatever is heard first, and are told apart by their digest', () => {
    const [one, other] = [new Verdicts(), new Verdicts()];
    for (const revision of [1, 3, 2]) one.put(verdict(1, revision));
    for (const revision of [2, 3, 1]) other.put(verdict(1, revision));
    expect(one.digest).to.equal(other.digest).and.not.equal(0);
    other.put(verdict(1, 4));
    expect(one.digest).to.not.equal(other.digest);
  });
});
