import { type ResponseNotice, StreamPacer } from '@cleatquay/calls';
import { ManualClock } from '@cleatquay/clock';
import { type Announcement, Upstreams } from '@cleatquay/daemon';
import { expect } from 'chai';

const HEARTBEAT_MS = 1500;

describe('Upstreams', () => {
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
      pacer: new StreamPacer(clock),
      random: () => 0.5,
      protection: true,
      heartbeatMs: HEARTBEAT_MS,
      slowStart: false,
      classes: () => 1,
      bounds: () => ({ maxQueueMs: 50 }),
      checkAddress: () => Promise.resolve(),
      fetchNotice: () => Promise.resolve(undefined),
      onDeparture: () => void departures++,
      onChange: () => undefined,
      log: () => undefined,
    });
  });

  afterEach(() => upstreams[Symbol.asyncDispose]());

  const announce = (instanceId: string, change: Partial<Announcement> = {}) =>
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
  const registered = () =>
    upstreams.identifiedUpstreams.map(({ service, instanceId }) => `${service} ${instanceId}`);

  describe('a heartbeat delayed until the next instance has announced itself', () => {
    it('does not register its sender again', async () => {
      await announce('first');
      await announce('second');
      await announce('first', { sequence: 100 });
      clock.advance(HEARTBEAT_MS);
      await announce('second', { sequence: 101 });
      await announce('first', { sequence: 102 });
      expect(registered()).to.deep.equal(['history second']);
    });

    it('registers its sender again if the next instance misses its heartbeats', async () => {
      await announce('first');
      await announce('second');
      clock.advance(2 * HEARTBEAT_MS);
      await announce('first');
      expect(registered()).to.deep.equal(['history first']);
    });
  });

  describe('a process start with the instance id of an earlier one', () => {
    it('is a new upstream, whose sequence numbers start anew', async () => {
      await announce('same', { born: 1000, sequence: 500 });
      const earlier = upstreams.get('history');
      await announce('same', { born: 2000, sequence: 1 });
      expect(upstreams.get('history')).to.not.equal(earlier);
      clock.advance(2 * HEARTBEAT_MS);
      await announce('same', { born: 2000, sequence: 2 });
      clock.advance(2 * HEARTBEAT_MS);
      expect(registered()).to.deep.equal(['history same']);
    });

    it('is not replaced by a delayed announcement of the earlier one, also after it missed its heartbeats', async () => {
      await announce('same', { born: 1000 });
      await announce('same', { born: 2000, address: '127.0.0.1:2' });
      await announce('same', { born: 1000, sequence: 900 });
      expect(upstreams.identifiedUpstreams.map(({ address }) => address)).to.deep.equal(['127.0.0.1:2']);
      clock.advance(4 * HEARTBEAT_MS);
      await announce('same', { born: 1000, sequence: 901 });
      expect(registered()).to.deep.equal([]);
    });

    it('is registered though the earlier one was shutting down, and is not affected by a delayed notice of that', async () => {
      await announce('same', { born: 1000 });
      upstreams.markLeaving('same', 1000);
      expect(upstreams.get('history')?.isDraining).to.equal(true);
      await announce('same', { born: 2000 });
      expect(upstreams.get('history')?.isDraining).to.equal(false);
      upstreams.markLeaving('same', 1000);
      expect(upstreams.get('history')?.isDraining).to.equal(false);
      upstreams.markLeaving('same', 2000);
      expect(upstreams.get('history')?.isDraining).to.equal(true);
    });
  });

  describe('an address', () => {
    it('belongs to the upstream that announced it last, of whatever service', async () => {
      await announce('first');
      await announce('second', { service: 'alarms' });
      expect(registered()).to.deep.equal(['alarms second']);
    });

    it('at which another instance responds belongs to no upstream until one announces it', async () => {
      await announce('first');
      upstreams.get('history')?.onReplaced();
      expect(registered()).to.deep.equal([]);
      await announce('second');
      expect(registered()).to.deep.equal(['history second']);
    });
  });

  describe('an upstream that reports in a response that it is shutting down', () => {
    const SHUTDOWN_NOTICE: ResponseNotice = { rateLimit: 'none', isLeaving: true };
    const reportShutdown = () => upstreams.get('history')!.onNotice(SHUTDOWN_NOTICE, clock.awake());
    const isDraining = () => upstreams.get('history')!.isDraining;

    it('drains until its process exits, whatever its heartbeats report and operators set, and is recorded once', async () => {
      await announce('a', { born: 1 });
      reportShutdown();
      reportShutdown();
      expect(isDraining()).to.equal(true);
      await announce('a', { born: 1 });
      upstreams.setDraining(true);
      upstreams.setDraining(false);
      expect(isDraining()).to.equal(true);
      expect(upstreams.departures).to.deep.equal([{ instanceId: 'a', born: 1 }]);
      expect(departures).to.equal(1);
    });

    it('still drains after it was removed meanwhile, and its next process start does not', async () => {
      await announce('a', { born: 1 });
      reportShutdown();
      upstreams.get('history')!.onConnectionRefused();
      await announce('a', { born: 1 });
      expect(upstreams.get('history')?.isDraining ?? true).to.equal(true);
      await announce('a', { born: 2, sequence: 1 });
      expect(isDraining()).to.equal(false);
    });

    it('drains without an instance id, too', async () => {
      await announce('');
      reportShutdown();
      await announce('');
      expect(isDraining()).to.equal(true);
      expect(upstreams.departures).to.deep.equal([]);
    });

    it('is recorded when a peer reports the notice before the upstream announces itself', async () => {
      upstreams.applyPeerNotice('history', {
        instanceId: 'a',
        born: 1,
        requestsPerSecond: undefined,
        isLeaving: true,
      });
      expect(departures).to.equal(1);
      await announce('a', { born: 1 });
      expect(upstreams.get('history')).to.equal(undefined);
    });

    it('reports that to peers, and one drained by operators does not', async () => {
      await announce('a', { born: 1 });
      upstreams.setDraining(true);
      expect(upstreams.get('history')!.notice).to.equal(undefined);
      upstreams.setDraining(false);
      reportShutdown();
      expect(upstreams.get('history')!.notice).to.include({ instanceId: 'a', born: 1, isLeaving: true });
    });

    it('is ignored for an invalid start time', async () => {
      for (const born of [Number.NaN, 1.5, Number.POSITIVE_INFINITY])
        upstreams.applyPeerNotice('history', {
          instanceId: 'a',
          born,
          requestsPerSecond: undefined,
          isLeaving: true,
        });
      await announce('a', { born: 1 });
      expect(isDraining()).to.equal(false);
    });
  });
});
