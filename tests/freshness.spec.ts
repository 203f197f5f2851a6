import { type Clock, ManualClock } from '@cleatquay/clock';
import { Freshness } from '@cleatquay/configuration';
import { expect } from 'chai';
import { type Mistake, search } from './fixtures/freshnessModel.js';

const SHORT = 7;
const LONGER = 9;

describe('how lately a configuration was the newest', () => {
  let time: ManualClock;
  let sleptMs: number;
  let setForwardMs: number;
  let configuration: { generation: number; shortDigest: number };
  let freshness: Freshness;

  beforeEach(() => {
    time = new ManualClock();
    sleptMs = 0;
    setForwardMs = 0;
    configuration = { generation: 5, shortDigest: 55 };
    const clock: Clock = {
      now: () => time.now() - sleptMs,
      awake: () => time.now() - sleptMs,
      date: () => new Date(time.now() + setForwardMs),
      after: time.after.bind(time),
      sleep: time.sleep.bind(time),
    };
    freshness = new Freshness(clock, configuration);
  });

  const heard = (change: object, asked = freshness.moment()) =>
    freshness.heard({ generation: 5, shortDigest: 55, ageMs: 100, ...change }, asked);

  it('is not known at first, nor before there is a configuration', () => {
    expect(freshness.ageMs).to.equal(Number.POSITIVE_INFINITY);
    configuration.generation = 0;
    freshness.confirmed(freshness.moment());
    expect(freshness.ageMs).to.equal(Number.POSITIVE_INFINITY);
  });

  it('counts from when a read was begun, and from when a peer was asked', () => {
    const begun = freshness.moment();
    time.advance(400);
    freshness.confirmed(begun);
    expect(freshness.ageMs).to.equal(400);
    const asked = freshness.moment();
    time.advance(50);
    heard({}, asked);
    expect(freshness.ageMs).to.equal(150);
  });

  it('is made no younger by an older proof, a repeated one, or one that is late', () => {
    heard({});
    const asked = freshness.moment();
    time.advance(1000);
    heard({}, asked);
    heard({ ageMs: 2000 });
    expect(freshness.ageMs).to.equal(1100);
  });

  it('is not learned from a newer version, another content of this one, or what is no age', () => {
    heard({ generation: 6 });
    heard({ shortDigest: 56 });
    heard({ generation: 0 });
    heard({ ageMs: -1 });
    heard({ ageMs: Number.NaN });
    expect(freshness.ageMs).to.equal(Number.POSITIVE_INFINITY);
  });

  it('is learned from an earlier version: what is in force was accepted after it', () => {
    heard({ generation: 4, shortDigest: 44 });
    expect(freshness.ageMs).to.equal(100);
    configuration.generation = 6;
    expect(freshness.ageMs).to.equal(100);
  });

  it('counts the time for which the VM was suspended, though its steady clock stood still', () => {
    heard({});
    time.advance(5000);
    sleptMs = 5000;
    expect(freshness.ageMs).to.equal(5100);
  });

  it('is older, never younger, while the time of day is wrong', () => {
    heard({});
    setForwardMs = -8000;
    time.advance(1000);
    expect(freshness.ageMs).to.equal(1100);
    setForwardMs = 8000;
    expect(freshness.ageMs).to.equal(9100);
    heard({});
    expect(freshness.ageMs).to.equal(100);
  });

  describe('in all histories of two operators, reads, questions, sleeps and new starts', () => {
    it('honours no key for longer than the bound after it was taken away', () => {
      const { broken, states } = search('none', SHORT);
      expect(broken).to.equal(undefined);
      expect(states).to.be.greaterThan(20_000);
    });

    const mistakes: Exclude<Mistake, 'none'>[] = [
      'reads-count-from-their-end',
      'proofs-count-from-their-arrival',
      'clocks-sleep',
      'answers-to-former-processes',
      'proofs-of-any-version',
    ];
    for (const mistake of mistakes) {
      it(`would find that it does if ${mistake.replaceAll('-', ' ')}`, () => {
        expect(search(mistake, LONGER).broken).to.not.equal(undefined);
      });
    }
  });
});
