/** Registry of the upstreams that announced themselves to this daemon. */
import { Admission, RouteCosts } from '@cleatquay/admission';
import {
  LatestUpstreamLoad,
  type LocalUpstream,
  type ResponseNotice,
  UpstreamConnections,
  isValidRate,
} from '@cleatquay/calls';
import { type Timer } from '@cleatquay/clock';
import { type Departure, type KnownUpstream } from '@cleatquay/membership';
import { type Upstream, type UpstreamNotice } from '@cleatquay/protocol';
import { type Announcement, checkAnnouncement, isSameStart, startIdOf } from './announcement.js';
import { NoticeLog } from './noticeLog.js';
import { RateLimits } from './rateLimits.js';
import { SlowRateProbe } from './slowRateProbe.js';
import { InstanceStarts } from './instanceStarts.js';
import { type UpstreamStatus, upstreamStatus } from './upstreamStatus.js';
import { UpstreamLoadMonitor } from './upstreamLoadMonitor.js';
import { type UpstreamsOptions } from './upstreamsOptions.js';

export { type UpstreamBounds } from './upstreamsOptions.js';

/** Number of missed heartbeats after which an upstream is removed. */
const MAX_MISSED_HEARTBEATS = 3;
/**
 * A replaced instance is not registered again until its successor has missed this many heartbeats: a delayed heartbeat
 * of the replaced instance may arrive after the instance has ended and its successor has announced itself.
 */
const SUCCESSOR_TIMEOUT_HEARTBEATS = 2;

/** A timer may fire this much early, ms. */
const TIMER_TOLERANCE_MS = 2;

interface RegisteredUpstream extends LocalUpstream, AsyncDisposable {
  announcement: Announcement;
  readonly admission: Admission;
  readonly connections: UpstreamConnections;
  readonly loadMonitor: UpstreamLoadMonitor;
  isDraining: boolean;
  isDrainedByOperator: boolean;
  /** Whether it reported in a response that it is shutting down. Applies to this start, whatever its announcements report. */
  hasReportedLeaving: boolean;
  readonly noticeLog: NoticeLog;
  readonly slowRateProbe: SlowRateProbe;
  heartbeatTimer: Timer;
  /** Clock time of the last heartbeat, ms. */
  lastHeartbeatAt: number;
}

/** Registered upstreams by service. Those that miss their heartbeats are removed. */
export class Upstreams implements AsyncDisposable {
  /** Responses of the local upstreams, and how many of them reported a rate limit. */
  readonly counts = { answers: 0, withRateLimit: 0, healthChecks: 0, retiredConnections: 0 };
  private readonly byService = new Map<string, RegisteredUpstream>();
  /** Latest start of each instance: of those that reported to be shutting down, of those replaced, and of all seen. */
  private readonly departedStarts = new InstanceStarts();
  private readonly replacedStarts = new InstanceStarts();
  private readonly seenStarts = new InstanceStarts();
  private readonly rateLimits: RateLimits;

  constructor(private readonly options: UpstreamsOptions) {
    this.rateLimits = new RateLimits(options.clock);
  }

  /** Handles an announcement. Rejects with what is invalid. */
  async announce(data: unknown): Promise<void> {
    const announcement = checkAnnouncement(data);
    const registered = this.byService.get(announcement.service);
    if (registered && isSameStart(registered.announcement, announcement))
      return this.renew(registered, announcement);
    if (this.seenStarts.hasLater(announcement)) return;
    if (this.departedStarts.has(announcement)) return;
    if (this.isDelayedAnnouncement(announcement)) return;
    await this.options.checkAddress(announcement.address);
    for (const other of this.conflictingWith(announcement)) this.replace(other);
    if (announcement.state === 'draining') this.departedStarts.add(announcement);
    this.seenStarts.add(announcement);
    this.add(announcement);
  }

  /** The upstreams that a new one replaces: that of its service, and any at its address. */
  private conflictingWith({ service, address }: Announcement): RegisteredUpstream[] {
    return [...this.byService.values()].filter(
      ({ announcement }) => announcement.service === service || announcement.address === address,
    );
  }

  private replace(upstream: RegisteredUpstream): void {
    this.replacedStarts.add(upstream.announcement);
    this.remove(upstream, 'Another one replaced it');
  }

  /** Whether this is a delayed announcement of a replaced instance whose successor still sends heartbeats. */
  private isDelayedAnnouncement(announcement: Announcement): boolean {
    if (!this.replacedStarts.has(announcement)) return false;
    const { clock, heartbeatMs } = this.options;
    const oldest = clock.now() - SUCCESSOR_TIMEOUT_HEARTBEATS * heartbeatMs;
    return this.conflictingWith(announcement).some(({ lastHeartbeatAt }) => lastHeartbeatAt > oldest);
  }

  /**
   * Marks a start as shutting down: it gets no new requests from now on, even if delayed messages of it arrive later.
   * Without `born`, this applies to the latest start seen of the instance. Returns whether the start was not marked yet.
   */
  markLeaving(instanceId: string, born = this.seenStarts.latest(instanceId)): boolean {
    const isNew = !this.departedStarts.has({ instanceId, born });
    this.departedStarts.add({ instanceId, born });
    for (const upstream of this.byService.values()) {
      const { announcement } = upstream;
      if (announcement.instanceId === instanceId && announcement.born <= born)
        this.setLeaving(upstream, true);
    }
    return isNew;
  }

  /** Whether a start of an instance is among the upstreams. */
  isIdentified(instanceId: string, born: number): boolean {
    return this.identifiedUpstreams.some(known => known.instanceId === instanceId && known.born === born);
  }

  /** The upstreams that announced an instance id. */
  get identifiedUpstreams(): KnownUpstream[] {
    return [...this.byService.values()]
      .map(({ announcement }) => announcement)
      .filter(({ instanceId }) => instanceId !== '')
      .map(({ service, address, slots, connections, instanceId, born }) => ({
        service,
        address,
        slots,
        connections,
        instanceId,
        born,
      }));
  }

  /** Starts that reported that they are shutting down. */
  get departures(): Departure[] {
    return this.departedStarts.all;
  }

  /** The upstream of a service. */
  get(service: string): LocalUpstream | undefined {
    return this.byService.get(service);
  }

  /** Drains or undrains all local upstreams. */
  setDraining(draining: boolean): void {
    for (const upstream of this.byService.values()) {
      upstream.isDrainedByOperator = draining;
      upstream.isDraining = draining || this.isLeaving(upstream);
    }
    this.notifyChange();
  }

  /** The list that is published to the fleet. */
  list(): Upstream[] {
    return [...this.byService.values()].map(({ announcement, isDraining, admission }) => ({
      service: announcement.service,
      address: announcement.address,
      slots: admission.limit.value,
      connections: announcement.connections,
      draining: isDraining,
    }));
  }

  /** Details for metrics and dumps. */
  dump(): UpstreamStatus[] {
    return [...this.byService.values()].map(upstreamStatus);
  }

  /** The lowest admission level of the local upstreams. */
  lowestAdmissionLevel(): number {
    return Math.min(...[...this.byService.values()].map(({ admission }) => admission.load().admissionLevel));
  }

  /**
   * Applies a notice that a peer sends back: it received the notice from an earlier process of this daemon, to which the
   * upstream of a service had reported it.
   */
  applyPeerNotice(service: string, { instanceId, born, requestsPerSecond, isLeaving }: UpstreamNotice): void {
    if (isLeaving && instanceId !== '' && Number.isSafeInteger(born))
      this.reportDeparture({ instanceId, born });
    if (requestsPerSecond === undefined || !isValidRate(requestsPerSecond)) return;
    const upstream = this.byService.get(service);
    if (!upstream) return;
    const { rate } = upstream.admission;
    const isFirstRate = rate.perSecond === undefined;
    rate.applyPeerRate(requestsPerSecond);
    upstream.slowRateProbe.schedule(isFirstRate ? 'now' : 'later');
  }

  /** The lowest rate limit that a local upstream reports; undefined if none does. */
  lowestRateLimit(): number | undefined {
    const rates = [...this.byService.values()]
      .map(({ admission }) => admission.rate.perSecond)
      .filter(rate => rate !== undefined);
    return rates.length === 0 ? undefined : Math.min(...rates);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const upstream of [...this.byService.values()]) {
      this.byService.delete(upstream.announcement.service);
      await upstream[Symbol.asyncDispose]();
    }
  }

  private add(announcement: Announcement): void {
    const { clock, random, protection, slowStart, classes, bounds, pacer } = this.options;
    const { service, address, instanceId } = announcement;
    const start = startIdOf(announcement, clock.date());
    const load = new LatestUpstreamLoad(clock, ({ running, waiting }) =>
      admission.recordReported(running + waiting),
    );
    const loadMonitor = this.createLoadMonitor(announcement, load, () => admission);
    const admission: Admission = new Admission({
      clock,
      random,
      classes,
      slots: this.effectiveSlots(announcement),
      maxQueueMs: () => bounds(service).maxQueueMs,
      cold: protection && slowStart,
      rate: this.rateLimits.forStart(instanceId === '' ? address : start),
      occupancy: loadMonitor,
    });
    // The default is as many as it can use: there are never more requests in flight than slots.
    const allowed = Math.min(announcement.connections, bounds(service).connections ?? announcement.slots);
    const upstream: RegisteredUpstream = {
      announcement,
      admission,
      costs: new RouteCosts(),
      load,
      connections: new UpstreamConnections(clock, address, allowed, pacer),
      loadMonitor,
      instanceId,
      start,
      address,
      isDraining: this.isLeavingAnnouncement(announcement),
      isDrainedByOperator: false,
      hasReportedLeaving: false,
      noticeLog: new NoticeLog(clock, this.options.log),
      slowRateProbe: new SlowRateProbe({
        clock,
        rate: admission.rate,
        isRegistered: () => this.byService.get(service) === upstream,
        fetchNotice: () => this.options.fetchNotice(service, address),
      }),
      onConnectionRefused: () => this.remove(upstream, 'It refused a connection'),
      onReplaced: () => this.replace(upstream),
      onNotice: (notice, sentAt) => this.handleNotice(upstream, notice, sentAt),
      get notice() {
        return noticeOf(upstream);
      },
      heartbeatTimer: this.startHeartbeatTimer(announcement),
      lastHeartbeatAt: clock.now(),
      [Symbol.asyncDispose]: async () => {
        upstream.heartbeatTimer[Symbol.dispose]();
        loadMonitor[Symbol.dispose]();
        admission[Symbol.dispose]();
        await upstream.connections[Symbol.asyncDispose]();
      },
    };
    this.byService.set(service, upstream);
    upstream.slowRateProbe.schedule();
    loadMonitor.start();
    this.options.log('An upstream announced itself.', { ...announcement });
    this.notifyChange();
  }

  private createLoadMonitor(
    announcement: Announcement,
    loads: LatestUpstreamLoad,
    admission: () => Admission,
  ): UpstreamLoadMonitor {
    const { clock, protection, loadChecks, log } = this.options;
    const { service, instanceId } = announcement;
    return new UpstreamLoadMonitor({
      clock,
      hasHealthCheck: () => protection && loadChecks?.isConfigured(service) === true,
      fetchLoad: async () => loadChecks?.fetch(announcement),
      loads,
      inFlight: () => admission().permitsInUse,
      onCapacity: () => admission().onCapacity(),
      counts: this.counts,
      log: (message, facts) => log(message, { service, instanceId, ...facts }),
    });
  }

  private handleNotice(upstream: RegisteredUpstream, notice: ResponseNotice, sentAt: number): void {
    const { service, instanceId } = upstream.announcement;
    const { rateLimit } = notice;
    const { rate } = upstream.admission;
    this.counts.answers++;
    if (typeof rateLimit === 'number') {
      this.counts.withRateLimit++;
      rate.setRate(rateLimit);
      upstream.slowRateProbe.schedule();
    } else if (rateLimit === 'none') rate.onRateAbsent(sentAt);
    upstream.noticeLog.update(notice, { service, instanceId });
    if (notice.isLeaving && !upstream.hasReportedLeaving) this.handleLeaving(upstream);
  }

  private handleLeaving(upstream: RegisteredUpstream): void {
    const { instanceId, born } = upstream.announcement;
    upstream.hasReportedLeaving = true;
    this.setLeaving(upstream, true);
    if (instanceId !== '') this.reportDeparture({ instanceId, born });
  }

  private reportDeparture({ instanceId, born }: Departure): void {
    if (this.markLeaving(instanceId, born)) this.options.onDeparture();
  }

  /** Handles a heartbeat. Ignores delayed ones; an upstream that is shutting down stays so. */
  private renew(upstream: RegisteredUpstream, announcement: Announcement): void {
    if (announcement.sequence > 0 && announcement.sequence <= upstream.announcement.sequence) return;
    upstream.heartbeatTimer[Symbol.dispose]();
    upstream.heartbeatTimer = this.startHeartbeatTimer(announcement);
    upstream.lastHeartbeatAt = this.options.clock.now();
    upstream.announcement = announcement;
    upstream.admission.limit.setSlots(this.effectiveSlots(announcement));
    if (announcement.state === 'draining') this.departedStarts.add(announcement);
    this.setLeaving(upstream, this.isLeaving(upstream));
  }

  private setLeaving(upstream: RegisteredUpstream, isLeaving: boolean): void {
    const isDraining = upstream.isDrainedByOperator || isLeaving;
    if (isDraining === upstream.isDraining) return;
    upstream.isDraining = isDraining;
    this.options.log(isDraining ? 'An upstream is draining.' : 'An upstream is no longer draining.', {
      ...upstream.announcement,
    });
    this.notifyChange();
  }

  private isLeaving({ announcement, hasReportedLeaving }: RegisteredUpstream): boolean {
    return hasReportedLeaving || this.isLeavingAnnouncement(announcement);
  }

  private isLeavingAnnouncement(announcement: Announcement): boolean {
    return announcement.state === 'draining' || this.departedStarts.has(announcement);
  }

  /** The announced slots, limited by the active configuration and by the connections. */
  private effectiveSlots({ service, slots, connections }: Announcement): number {
    const { protection, bounds } = this.options;
    if (!protection) return UNLIMITED_SLOTS;
    return Math.min(slots, bounds(service).slots ?? slots, connections);
  }

  /**
   * Starts the timer that removes an upstream after missed heartbeats. Only time in which the VM runs counts: while it is
   * suspended, so is the upstream.
   */
  private startHeartbeatTimer({ service, instanceId }: Announcement): Timer {
    const { clock, heartbeatMs } = this.options;
    const end = clock.awake() + MAX_MISSED_HEARTBEATS * heartbeatMs;
    const check = () => {
      const upstream = this.byService.get(service);
      if (upstream?.announcement.instanceId !== instanceId) return;
      const leftMs = end - clock.awake();
      if (leftMs > TIMER_TOLERANCE_MS) upstream.heartbeatTimer = clock.after(leftMs, check);
      else this.remove(upstream, 'It missed its heartbeats');
    };
    return clock.after(MAX_MISSED_HEARTBEATS * heartbeatMs, check);
  }

  private remove(upstream: RegisteredUpstream, reason: string): void {
    const { service } = upstream.announcement;
    if (this.byService.get(service) !== upstream) return;
    this.byService.delete(service);
    this.options.log(`An upstream was removed. ${reason}.`, { ...upstream.announcement });
    this.notifyChange();
    void Promise.resolve(upstream[Symbol.asyncDispose]()).catch((error: unknown) => {
      this.options.log('Closing the connections of an upstream failed.', { reason: String(error) });
    });
  }

  private notifyChange(): void {
    this.options.onChange(this.list());
  }
}

/** Stands for no limit in passthrough mode. */
const UNLIMITED_SLOTS = 1_000_000;

function noticeOf(upstream: RegisteredUpstream): UpstreamNotice | undefined {
  const { perSecond } = upstream.admission.rate;
  const isLeaving = upstream.isDraining && !upstream.isDrainedByOperator;
  if (perSecond === undefined && !isLeaving) return undefined;
  const { instanceId, born } = upstream.announcement;
  return { instanceId, born, requestsPerSecond: perSecond, isLeaving };
}
