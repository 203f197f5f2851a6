import { Admission, RateLimit } from '@cleatquay/admission';
import { type ResponseNotice, EMPTY_NOTICE, StreamPacer } from '@cleatquay/calls';
import { ManualClock, SystemClock } from '@cleatquay/clock';
import { Upstreams } from '@cleatquay/daemon';
import { expect } from 'chai';
import fc from 'fast-check';
import { SuspendableTime } from './fixtures/suspendableTime.js';
import { maxCountInWindow } from './fixtures/maxCountInWindow.js';

const WINDOW_MS = 4000;
const HEARTBEAT_MS = 1500;
const noticeWith = (rateLimit: ResponseNotice['rateLimit']): ResponseNotice => ({
  ...EMPTY_NOTICE,
  rateLimit,
});

describe('the rate limit of an upstream', () => {
  let clock: ManualClock;

  beforeEach(() => (clock = new ManualClock()));

  /** Consumes all available tokens at each step; returns the times. */
  const consumeAll = (rate: RateLimit, ms: number, stepMs = 5): number[] => {
    const times: number[] = [];
    for (const end = clock.now() + ms; clock.now() < end; clock.advance(stepMs)) {
      while (rate.hasToken && times.length < 10_000) {
        rate.consumeToken();
        times.push(clock.now());
      }
    }
    return times;
  };

  it('allows no more in any window than the reported rate and a burst of half a second, whatever happens in between', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('consume' as const), ms: fc.integer({ min: 1, max: 3000 }) }),
      fc.record({ kind: fc.constant('pause' as const), ms: fc.integer({ min: 1, max: 20_000 }) }),
      fc.record({ kind: fc.constant('report' as const), rate: fc.double({ min: 0, max: 50, noNaN: true }) }),
      fc.record({
        kind: fc.constant('peer report' as const),
        rate: fc.double({ min: 0, max: 1e9, noNaN: true }),
      }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), steps => {
        clock = new ManualClock();
        const rate = new RateLimit(clock);
        rate.setRate(50);
        const times: number[] = [];
        for (const s of steps) {
          if (s.kind === 'consume') times.push(...consumeAll(rate, s.ms));
          else if (s.kind === 'pause') clock.advance(s.ms);
          else if (s.kind === 'report') rate.setRate(s.rate);
          else rate.applyPeerRate(s.rate);
        }
        expect(maxCountInWindow(times, WINDOW_MS)).to.be.at.most((50 * (WINDOW_MS + 500)) / 1000 + 1);
      }),
    );
  });

  it('accumulates at most half a second of tokens, and none by a suspension of its VM or a step of the wall clock', () => {
    const time = new SuspendableTime();
    const rate = new RateLimit(new SystemClock(time));
    rate.setRate(10);
    time.suspend(60_000);
    time.step(60_000);
    expect(rate.hasToken).to.equal(false);
    time.advance(60_000);
    let consumed = 0;
    for (; rate.hasToken; consumed++) rate.consumeToken();
    expect(consumed).to.equal(5);
  });

  it('is fully used under sufficient load', () => {
    const rate = new RateLimit(clock);
    rate.setRate(18.9);
    expect(consumeAll(rate, 20_000).length).to.be.within(377, 378);
  });

  it('of almost 0 still allows single requests', () => {
    const rate = new RateLimit(clock);
    rate.setRate(0.25);
    expect(consumeAll(rate, 9000)).to.have.length(2);
  });

  it('is not removed by the response to a request that was sent before the rate was reported', () => {
    const rate = new RateLimit(clock);
    const sentAt = clock.awake();
    clock.advance(10);
    rate.setRate(5);
    rate.onRateAbsent(sentAt);
    expect(rate.perSecond).to.equal(5);
    clock.advance(10);
    rate.onRateAbsent(clock.awake());
    expect(rate.perSecond).to.equal(undefined);
  });

  it('holds as reported by peers until the first response', () => {
    const rate = new RateLimit(clock);
    rate.applyPeerRate(5);
    expect(rate.perSecond).to.equal(5);
    rate.onRateAbsent(clock.awake());
    rate.applyPeerRate(5);
    expect(rate.perSecond).to.equal(undefined);
  });

  describe('in admission control', () => {
    const NEVER = new AbortController().signal;
    const admission = (maxQueueMs: number) =>
      new Admission({
        clock,
        random: () => 0.5,
        classes: () => 2,
        slots: 20,
        maxQueueMs: () => maxQueueMs,
        cold: false,
      });

    it('refuses requests at once that would wait too long although slots are free, and reports the concurrency at that rate', async () => {
      using gate = admission(50);
      gate.rate.setRate(4);
      const results = await Promise.all([1, 1.5, 1.9].map(level => gate.request(level, 1000, NEVER)));
      expect(results.map(result => 'release' in result)).to.deep.equal([false, false, false]);
      expect(gate.load().limit).to.equal(1);
      expect(gate.load().admissionLevel).to.equal(1);
    });

    it('keeps at most two seconds of requests in flight while the upstream is paused', async () => {
      using gate = admission(50);
      gate.rate.setRate(4);
      let running = 0;
      for (let i = 0; i < 200; i++) {
        void gate.request(0.5, 60_000, NEVER).then(result => 'release' in result && running++);
        clock.advance(50);
        await new Promise(resolve => setImmediate(resolve));
      }
      expect(running).to.equal(8);
    });

    it('starts queued requests by priority as the rate allows', async () => {
      using gate = admission(1000);
      gate.rate.setRate(4);
      const order: number[] = [];
      for (const level of [1.5, 0.5, 1.2])
        void gate
          .request(level, 5000, NEVER)
          .then(result => 'release' in result && order.push(level) && result.release('answered'));
      for (let i = 0; i < 60; i++) {
        clock.advance(25);
        await new Promise(resolve => setImmediate(resolve));
      }
      expect(order).to.deep.equal([0.5, 1.2, 1.5]);
    });
  });

  describe('of an upstream known to a daemon', () => {
    let upstreams: Upstreams;
    let healthChecks: number;
    let healthNotice: ResponseNotice | undefined;

    beforeEach(async () => {
      healthChecks = 0;
      healthNotice = noticeWith('none');
      upstreams = new Upstreams({
        clock,
        pacer: new StreamPacer(clock),
        random: () => 0.5,
        protection: true,
        heartbeatMs: HEARTBEAT_MS,
        slowStart: false,
        classes: () => 1,
        bounds: () => ({ maxQueueMs: 50 }),
        checkAddress: () => Promise.resolve(),
        fetchNotice: () => {
          healthChecks++;
          return Promise.resolve(healthNotice);
        },
        onDeparture: () => undefined,
        onChange: () => undefined,
        log: () => undefined,
      });
      await announce();
    });

    afterEach(() => upstreams[Symbol.asyncDispose]());

    const announce = (born = 1) =>
      upstreams.announce({
        service: 'history',
        address: '127.0.0.1:1',
        slots: 2,
        connections: 2,
        state: 'ready',
        warmupLeftMs: 0,
        sequence: clock.now() + 1,
        instanceId: 'a',
        born,
      });
    const history = () => upstreams.get('history')!;
    const respond = (rateLimit: ResponseNotice['rateLimit']) =>
      history().onNotice(noticeWith(rateLimit), clock.awake());
    const perSecond = () => history().admission.rate.perSecond;
    const advance = async (ms: number) => {
      for (let i = 0; i < ms; i += 500) {
        clock.advance(500);
        await announce();
        await new Promise(resolve => setImmediate(resolve));
      }
    };

    it('is kept while the reported value is invalid', () => {
      respond(5);
      respond('unclear');
      expect(perSecond()).to.equal(5);
    });

    it('is kept for an upstream that announces itself again after an outage, and not for its next process start', async () => {
      respond(5);
      history().onConnectionRefused();
      expect(upstreams.get('history')).to.equal(undefined);
      await announce();
      expect(perSecond()).to.equal(5);
      await announce(2);
      expect(perSecond()).to.equal(undefined);
    });

    it('is reported to peers, and accepted from them only if it is valid', () => {
      respond(5);
      expect(history().notice).to.include({ instanceId: 'a', born: 1, requestsPerSecond: 5 });
      clock.advance(1);
      respond('none');
      expect(history().notice).to.equal(undefined);
      for (const requestsPerSecond of [-1, Number.NaN, Number.POSITIVE_INFINITY])
        upstreams.applyPeerNotice('history', {
          instanceId: 'a',
          born: 1,
          requestsPerSecond,
          isLeaving: false,
        });
      expect(perSecond()).to.equal(undefined);
    });

    it('of 0 is probed every few seconds, first by a health check', async () => {
      healthNotice = noticeWith(0);
      respond(0);
      await advance(10_000);
      expect(healthChecks).to.be.within(3, 4);
      expect(history().admission.rate.hasToken).to.equal(false);
      healthNotice = noticeWith('none');
      await advance(3000);
      expect(history().admission.rate.hasToken).to.equal(true);
      expect(perSecond()).to.equal(0);
      healthNotice = noticeWith(7);
      await advance(3000);
      expect(perSecond()).to.equal(7);
    });

    it('of 0 that only peers report is probed at once, and once, however many report it', async () => {
      for (let i = 0; i < 10; i++) {
        upstreams.applyPeerNotice('history', {
          instanceId: 'a',
          born: 1,
          requestsPerSecond: 0,
          isLeaving: false,
        });
        clock.advance(10);
        await new Promise(resolve => setImmediate(resolve));
      }
      expect(healthChecks).to.equal(1);
      expect(history().admission.rate.hasToken).to.equal(true);
    });

    it('that is not slow is not probed', async () => {
      respond(5);
      await advance(10_000);
      expect(healthChecks).to.equal(0);
    });
  });
});
