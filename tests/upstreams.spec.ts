import { type AnswerNotice } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { type Announcement, Upstreams } from '@cleatquay/daemon';
import { expect } from 'chai';

const HEARTBEAT_MS = 1500;

describe('the upstreams of a daemon', () => {
  let clock: ManualClock;
  let upstreams: Upstreams;
  let sequence: number;
  let departures: number;

  beforeEach(() => {
    clock = new ManualClock();
    sequence = 0;
    departures = 0;
    upstreams = new Upstreams({
      clock,
      random: () => 0.5,
      protection: true,
      heartbeatMs: HEARTBEAT_MS,
      slowStart: false,
      classes: () => 1,
      bounds: () => ({ maxQueueMs: 50 }),
      checkAddress: () => Promise.resolve(),
      askNotice: () => Promise.resolve(undefined),
      onDeparture: () => void departures++,
      onChange: () => undefined,
      log: () => undefined,
    });
  });

  afterEach(() => upstreams[Symbol.asyncDispose]());

  const beat = (instanceId: string, change: Partial<Announcement> = {}) =>
    upstreams.announce({
      service: 'history',
      address: '127.0.0.1:1',
      slots: 2,
      connections: 2,
      state: 'ready',
      warmupLeftMs: 0,
      sequence: ++sequence,
      instanceId,
      ...change,
    });
  const known = () => upstreams.known.map(({ service, instanceId }) => `${service} ${instanceId}`);

  describe('a heartbeat that was held up until the next instance had announced itself', () => {
    it('does not bring its sender back', async () => {
      await beat('first');
      await beat('second');
      await beat('first', { sequence: 100 });
      clock.advance(HEARTBEAT_MS);
      await beat('second', { sequence: 101 });
      await beat('first', { sequence: 102 });
      expect(known()).to.deep.equal(['history second']);
    });

    it('is taken when the next one has fallen silent: then the sender lives', async () => {
      await beat('first');
      await beat('second');
      clock.advance(2 * HEARTBEAT_MS);
      await beat('first');
      expect(known()).to.deep.equal(['history first']);
    });
  });

  describe('a start under the id that an earlier one had', () => {
    it('is another upstream, whose announcements count anew', async () => {
      await beat('same', { born: 1000, sequence: 500 });
      const former = upstreams.get('history');
      await beat('same', { born: 2000, sequence: 1 });
      expect(upstreams.get('history')).to.not.equal(former);
      clock.advance(2 * HEARTBEAT_MS);
      await beat('same', { born: 2000, sequence: 2 });
      clock.advance(2 * HEARTBEAT_MS);
      expect(known()).to.deep.equal(['history same']);
    });

    it('is not replaced by a late announcement of the earlier one, also after it fell silent', async () => {
      await beat('same', { born: 1000 });
      await beat('same', { born: 2000, address: '127.0.0.1:2' });
      await beat('same', { born: 1000, sequence: 900 });
      expect(upstreams.known.map(({ address }) => address)).to.deep.equal(['127.0.0.1:2']);
      clock.advance(4 * HEARTBEAT_MS);
      await beat('same', { born: 1000, sequence: 901 });
      expect(known()).to.deep.equal([]);
    });

    it('is let in though the earlier one left, and not sent away by a late word of its leaving', async () => {
      await beat('same', { born: 1000 });
      upstreams.leave('same', 1000);
      expect(upstreams.get('history')?.isDraining).to.equal(true);
      await beat('same', { born: 2000 });
      expect(upstreams.get('history')?.isDraining).to.equal(false);
      upstreams.leave('same', 1000);
      expect(upstreams.get('history')?.isDraining).to.equal(false);
      upstreams.leave('same', 2000);
      expect(upstreams.get('history')?.isDraining).to.equal(true);
    });
  });

  describe('an address', () => {
    it('belongs to whoever announced it last, of whatever service', async () => {
      await beat('first');
      await beat('second', { service: 'alarms' });
      expect(known()).to.deep.equal(['alarms second']);
    });

    it("at which another instance answers is nobody's until somebody announces it", async () => {
      await beat('first');
      upstreams.get('history')?.anotherAnswers();
      expect(known()).to.deep.equal([]);
      await beat('second');
      expect(known()).to.deep.equal(['history second']);
    });
  });

  describe('an upstream that says in an answer that it leaves', () => {
    const LEAVING: AnswerNotice = { rateLimit: 'none', isLeaving: true };
    const say = () => upstreams.get('history')!.heard(LEAVING, clock.awake());
    const isDraining = () => upstreams.get('history')!.isDraining;

    it('is leaving for as long as it lives, whatever its heartbeats and the operators say, and is recorded once', async () => {
      await beat('a', { born: 1 });
      say();
      say();
      expect(isDraining()).to.equal(true);
      await beat('a', { born: 1 });
      upstreams.setDraining(true);
      upstreams.setDraining(false);
      expect(isDraining()).to.equal(true);
      expect(upstreams.departures).to.deep.equal([{ instanceId: 'a', born: 1 }]);
      expect(departures).to.equal(1);
    });

    it('is leaving also when it was out meanwhile, and its next start is not', async () => {
      await beat('a', { born: 1 });
      say();
      upstreams.get('history')!.refusedConnection();
      await beat('a', { born: 1 });
      expect(upstreams.get('history')?.isDraining ?? true).to.equal(true);
      await beat('a', { born: 2, sequence: 1 });
      expect(isDraining()).to.equal(false);
    });

    it('is leaving without a name, too', async () => {
      await beat('');
      say();
      await beat('');
      expect(isDraining()).to.equal(true);
      expect(upstreams.departures).to.deep.equal([]);
    });

    it('is known to leave where a peer says so, before it announces itself', async () => {
      upstreams.told('history', {
        instanceId: 'a',
        born: 1,
        requestsPerSecond: undefined,
        isLeaving: true,
      });
      expect(departures).to.equal(1);
      await beat('a', { born: 1 });
      expect(upstreams.get('history')).to.equal(undefined);
    });

    it('tells peers so, and one that operators drain does not', async () => {
      await beat('a', { born: 1 });
      upstreams.setDraining(true);
      expect(upstreams.get('history')!.notice).to.equal(undefined);
      upstreams.setDraining(false);
      say();
      expect(upstreams.get('history')!.notice).to.include({ instanceId: 'a', born: 1, isLeaving: true });
    });

    it('is not believed of a start that makes no sense', async () => {
      for (const born of [Number.NaN, 1.5, Number.POSITIVE_INFINITY])
        upstreams.told('history', {
          instanceId: 'a',
          born,
          requestsPerSecond: undefined,
          isLeaving: true,
        });
      await beat('a', { born: 1 });
      expect(isDraining()).to.equal(false);
    });
  });
});
