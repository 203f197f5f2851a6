import { type Clock, ManualClock } from '@cleatquay/clock';
import { Freshness } from '@cleatquay/configuration';
import { expect } from 'chai';
import { type Mistake, searchHistories } from './fixtures/freshnessModel.js';

const MAX_STEPS = 7;
const MAX_STEPS_WITH_MISTAKE = 9;

describe('freshness of the configuration', () => {
  let time: ManualClock;
  let suspendedMs: number;
  let wallClockOffsetMs: number;
  let configuration: { generation: number; shortDigest: number };
  let freshness: Freshness;

  beforeEach(() => {
    time = new ManualClock();
    suspendedMs = 0;
    wallClockOffsetMs = 0;
    configuration = { generation: 5, shortDigest: 55 };
    const clock: Clock = {
      now: () => time.now() - suspendedMs,
      awake: () => time.now() - suspendedMs,
      date: () => new Date(time.now() + wallClockOffsetMs),
      after: time.after.bind(time),
      sleep: time.sleep.bind(time),
    };
    freshness = new Freshness(clock, configuration);
  });

  const receive = (change: object, requestedAt = freshness.moment()) =>
    freshness.receiveProof({ generation: 5, shortDigest: 55, ageMs: 100, ...change }, requestedAt);

  it('is unknown at first, and while there is no configuration', () => {
    expect(freshness.ageMs).to.equal(Number.POSITIVE_INFINITY);
    configuration.generation = 0;
    freshness.confirm(freshness.moment());
    expect(freshness.ageMs).to.equal(Number.POSITIVE_INFINITY);
  });

  it('counts from the beginning of a read, and from the request to a peer', () => {
    const readStartedAt = freshness.moment();
    time.advance(400);
    freshness.confirm(readStartedAt);
    expect(freshness.ageMs).to.equal(400);
    const requestedAt = freshness.moment();
    time.advance(50);
    receive({}, requestedAt);
    expect(freshness.ageMs).to.equal(150);
  });

  it('is not improved by an older, a duplicated or a delayed proof', () => {
    receive({});
    const requestedAt = freshness.moment();
    time.advance(1000);
    receive({}, requestedAt);
    receive({ ageMs: 2000 });
    expect(freshness.ageMs).to.equal(1100);
  });

  it('ignores proofs of a newer version, of other content, or with an invalid age', () => {
    receive({ generation: 6 });
    receive({ shortDigest: 56 });
    receive({ generation: 0 });
    receive({ ageMs: -1 });
    receive({ ageMs: Number.NaN });
    expect(freshness.ageMs).to.equal(Number.POSITIVE_INFINITY);
  });

  it('accepts proofs of an earlier version, since the active one was accepted later', () => {
    receive({ generation: 4, shortDigest: 44 });
    expect(freshness.ageMs).to.equal(100);
    configuration.generation = 6;
    expect(freshness.ageMs).to.equal(100);
  });

  it('counts the time for which the VM was suspended, although its monotonic clock stopped', () => {
    receive({});
    time.advance(5000);
    suspendedMs = 5000;
    expect(freshness.ageMs).to.equal(5100);
  });

  it('counts as older, never as younger, while the wall clock is wrong', () => {
    receive({});
    wallClockOffsetMs = -8000;
    time.advance(1000);
    expect(freshness.ageMs).to.equal(1100);
    wallClockOffsetMs = 8000;
    expect(freshness.ageMs).to.equal(9100);
    receive({});
    expect(freshness.ageMs).to.equal(100);
  });

  describe('in all histories of changes, reads, requests, suspensions and restarts', () => {
    it('accepts no key for longer than the limit after its revocation', () => {
      const { violation, states } = searchHistories('none', MAX_STEPS);
      expect(violation).to.equal(undefined);
      expect(states).to.be.greaterThan(20_000);
    });

    const mistakes: Exclude<Mistake, 'none'>[] = [
      'reads-count-from-their-end',
      'proofs-count-from-their-arrival',
      'clocks-stop-while-suspended',
      'responses-to-earlier-processes-count',
      'proofs-of-any-version-count',
    ];
    for (const mistake of mistakes) {
      it(`would find a violation if ${mistake.replaceAll('-', ' ')}`, () => {
        expect(searchHistories(mistake, MAX_STEPS_WITH_MISTAKE).violation).to.not.equal(undefined);
      });
    }
  });
});
