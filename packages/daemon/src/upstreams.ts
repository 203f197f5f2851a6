/** The upstreams that announced themselves to this daemon. */
import { Admission, RouteCosts } from '@cleatquay/admission';
import { type AnswerNotice, type LocalUpstream, UpstreamConnections, isRate } from '@cleatquay/calls';
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { type Departure, type KnownUpstream } from '@cleatquay/membership';
import { type Upstream, type UpstreamNotice } from '@cleatquay/protocol';
import { type Announcement, checkAnnouncement, isSameStart, startOf } from './announcement.js';
import { NoticeLog } from './noticeLog.js';
import { RateLimits } from './rateLimits.js';
import { SlowRate } from './slowRates.js';
import { Starts } from './starts.js';

/** Heartbeats that may be missing before an upstream is taken for gone. */
const MISSED_HEARTBEATS = 3;
/**
 * An instance that another one took the place of stays out until that one has missed so many heartbeats: a heartbeat
 * that was held up on its way may arrive after its sender has ended and the next instance has announced itself.
 */
const SILENT_HEARTBEATS = 2;

/** A timer may go off so much early, ms. */
const TIMER_MARGIN_MS = 2;

interface Announced extends LocalUpstream, AsyncDisposable {
  announcement: Announcement;
  readonly admission: Admission;
  readonly connections: UpstreamConnections;
  isDraining: boolean;
  drainedByOperator: boolean;
  /** It said in an answer that it leaves. Holds for this start of it, whatever its announcements say. */
  hasSaidLeaving: boolean;
  readonly noticeLog: NoticeLog;
  readonly slowRate: SlowRate;
  silence: Timer;
  /** Clock time of its last heartbeat, ms. */
  heardAt: number;
}

/** What the registry needs of its daemon. */
export interface UpstreamsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** False for the plain path: everything is passed on at once. */
  readonly protection: boolean;
  /** How often upstreams announce themselves, ms. */
  readonly heartbeatMs: number;
  /** Whether an upstream that was not seen before starts with few slots, or is trusted with all. */
  readonly slowStart: boolean;
  /** Number of importance classes. */
  readonly classes: () => number;
  /** Bounds that the configuration in force puts on a service's upstreams. */
  readonly bounds: (service: string) => UpstreamBounds;
  /** Fails for an announced address at which this daemon may not look for an upstream. */
  readonly checkAddress: (address: string) => Promise<void>;
  /** What the health check of an upstream says of it; undefined if it has none. */
  readonly askNotice: (service: string, address: string) => Promise<AnswerNotice | undefined>;
  /** Told when a start is known to leave, other than by an announcement. */
  readonly onDeparture: () => void;
  /** Told whenever what the fleet should know has changed. */
  readonly onChange: (upstreams: Upstream[]) => void;
  readonly log: (message: string, facts: object) => void;
}

/** What a configuration says of one upstream of a service. */
export interface UpstreamBounds {
  /** Work that it runs at once, if it announces more. */
  readonly slots?: number | undefined;
  /** Connections that it takes, if it announces more. */
  readonly connections?: number | undefined;
  /** Longest standing delay of its queue, ms. */
  readonly maxQueueMs: number;
}

/** Upstreams by service; one that has missed its heartbeats goes. */
export class Upstreams implements AsyncDisposable {
  /** Answers that the upstreams here gave, and those that named a rate limit. */
  readonly counts = { answers: 0, withRateLimit: 0 };
  private readonly byService = new Map<string, Announced>();
  /** The latest start of each instance that left, that was replaced, and that was heard of at all. */
  private readonly departed = new Starts();
  private readonly replaced = new Starts();
  private readonly heard = new Starts();
  private readonly rateLimits: RateLimits;

  constructor(private readonly options: UpstreamsOptions) {
    this.rateLimits = new RateLimits(options.clock);
  }

  /** Takes an announcement, or fails saying what is wrong with it. */
  async announce(data: unknown): Promise<void> {
    const announcement = checkAnnouncement(data);
    const known = this.byService.get(announcement.service);
    if (known && isSameStart(known.announcement, announcement)) return this.renew(known, announcement);
    if (this.heard.hasLater(announcement)) return;
    if (this.departed.has(announcement)) return;
    if (this.isHeldUp(announcement)) return;
    await this.options.checkAddress(announcement.address);
    for (const other of this.inPlaceOf(announcement)) this.replace(other);
    if (announcement.state === 'draining') this.departed.add(announcement);
    this.heard.add(announcement);
    this.add(announcement);
  }

  /** The upstreams that a new one takes the place of: that of its service, and whatever had its address. */
  private inPlaceOf({ service, address }: Announcement): Announced[] {
    return [...this.byService.values()].filter(
      ({ announcement }) => announcement.service === service || announcement.address === address,
    );
  }

  private replace(upstream: Announced): void {
    this.replaced.add(upstream.announcement);
    this.remove(upstream, 'Another took its place');
  }

  /** Whether this is a late word of an instance whose successor is being heard. */
  private isHeldUp(announcement: Announcement): boolean {
    if (!this.replaced.has(announcement)) return false;
    const { clock, heartbeatMs } = this.options;
    const oldest = clock.now() - SILENT_HEARTBEATS * heartbeatMs;
    return this.inPlaceOf(announcement).some(({ heardAt }) => heardAt > oldest);
  }

  /**
   * An instance says that it leaves: that start of it gets no new work from now on, whatever arrives late. If it doesn't tell its
   * start, the latest that was heard of leaves. Says whether that was news.
   */
  leave(instanceId: string, born = this.heard.latest(instanceId)): boolean {
    const isNew = !this.departed.has({ instanceId, born });
    this.departed.add({ instanceId, born });
    for (const upstream of this.byService.values()) {
      const { announcement } = upstream;
      if (announcement.instanceId === instanceId && announcement.born <= born) this.setState(upstream, true);
    }
    return isNew;
  }

  /** Upstreams that named their instance, as they announced themselves. */
  get known(): KnownUpstream[] {
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

  /** Starts that said that they leave. */
  get departures(): Departure[] {
    return this.departed.all;
  }

  /** The upstream of a service. */
  get(service: string): LocalUpstream | undefined {
    return this.byService.get(service);
  }

  /** Drains or undrains all upstreams here. */
  setDraining(draining: boolean): void {
    for (const upstream of this.byService.values()) {
      upstream.drainedByOperator = draining;
      upstream.isDraining = draining || this.isLeaving(upstream);
    }
    this.changed();
  }

  /** What the fleet is told. */
  list(): Upstream[] {
    return [...this.byService.values()].map(({ announcement, isDraining, admission }) => ({
      service: announcement.service,
      address: announcement.address,
      slots: admission.limit.value,
      connections: announcement.connections,
      draining: isDraining,
    }));
  }

  /** For metrics and dumps. */
  dump(): {
    service: string;
    address: string;
    draining: boolean;
    load: object;
    /** Requests a second that it names; undefined while it names none. */
    rateLimit: number | undefined;
    counts: Record<string, number>;
  }[] {
    return [...this.byService.values()].map(({ announcement, isDraining, admission }) => ({
      service: announcement.service,
      address: announcement.address,
      draining: isDraining,
      rateLimit: admission.rate.perSecond,
      load: admission.load(),
      counts: { ...admission.counts },
    }));
  }

  /** The lowest admission level of the upstreams here. */
  lowestLevel(): number {
    return Math.min(...[...this.byService.values()].map(({ admission }) => admission.load().admissionLevel));
  }

  /** A peer has heard what the upstream of a service said to an earlier process here. */
  told(service: string, { instanceId, born, requestsPerSecond, isLeaving }: UpstreamNotice): void {
    if (isLeaving && instanceId !== '' && Number.isSafeInteger(born)) this.depart({ instanceId, born });
    if (requestsPerSecond === undefined || !isRate(requestsPerSecond)) return;
    const upstream = this.byService.get(service);
    if (!upstream) return;
    const { rate } = upstream.admission;
    const isNews = rate.perSecond === undefined;
    rate.told(requestsPerSecond);
    upstream.slowRate.check(isNews ? 'at once' : 'later');
  }

  /** The lowest rate that an upstream here names; undefined if none does. */
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
    const { clock, random, protection, slowStart, classes, bounds } = this.options;
    const { service, address, instanceId } = announcement;
    const start = startOf(announcement, clock.date());
    const admission = new Admission({
      clock,
      random,
      classes,
      slots: this.slotsOf(announcement),
      maxQueueMs: () => bounds(service).maxQueueMs,
      cold: protection && slowStart,
      rate: this.rateLimits.of(instanceId === '' ? address : start),
    });
    // Where nothing is declared, as many as it can use: no more requests than slots are under way at once.
    const allowed = Math.min(announcement.connections, bounds(service).connections ?? announcement.slots);
    const upstream: Announced = {
      announcement,
      admission,
      costs: new RouteCosts(),
      connections: new UpstreamConnections(clock, address, allowed),
      instanceId,
      start,
      address,
      isDraining: this.isDeparture(announcement),
      drainedByOperator: false,
      hasSaidLeaving: false,
      noticeLog: new NoticeLog(clock, this.options.log),
      slowRate: new SlowRate({
        clock,
        rate: admission.rate,
        isHere: () => this.byService.get(service) === upstream,
        ask: () => this.options.askNotice(service, address),
      }),
      refusedConnection: () => this.remove(upstream, 'It takes no connections'),
      anotherAnswers: () => this.replace(upstream),
      heard: (notice, askedAt) => this.heardNotice(upstream, notice, askedAt),
      get notice() {
        return noticeOf(upstream);
      },
      silence: this.watch(announcement),
      heardAt: clock.now(),
      [Symbol.asyncDispose]: async () => {
        upstream.silence[Symbol.dispose]();
        admission[Symbol.dispose]();
        await upstream.connections[Symbol.asyncDispose]();
      },
    };
    this.byService.set(service, upstream);
    upstream.slowRate.check();
    this.options.log('An upstream announced itself.', { ...announcement });
    this.changed();
  }

  private heardNotice(upstream: Announced, notice: AnswerNotice, askedAt: number): void {
    const { service, instanceId } = upstream.announcement;
    const { rateLimit } = notice;
    const { rate } = upstream.admission;
    this.counts.answers++;
    if (typeof rateLimit === 'number') {
      this.counts.withRateLimit++;
      rate.named(rateLimit);
      upstream.slowRate.check();
    } else if (rateLimit === 'none') rate.notNamed(askedAt);
    upstream.noticeLog.heard(notice, { service, instanceId });
    if (notice.isLeaving && !upstream.hasSaidLeaving) this.saidLeaving(upstream);
  }

  private saidLeaving(upstream: Announced): void {
    const { instanceId, born } = upstream.announcement;
    upstream.hasSaidLeaving = true;
    this.setState(upstream, true);
    if (instanceId !== '') this.depart({ instanceId, born });
  }

  private depart({ instanceId, born }: Departure): void {
    if (this.leave(instanceId, born)) this.options.onDeparture();
  }

  /** A late announcement says nothing new; one that left stays so. */
  private renew(known: Announced, announcement: Announcement): void {
    if (announcement.sequence > 0 && announcement.sequence <= known.announcement.sequence) return;
    known.silence[Symbol.dispose]();
    known.silence = this.watch(announcement);
    known.heardAt = this.options.clock.now();
    known.announcement = announcement;
    known.admission.limit.announce(this.slotsOf(announcement));
    if (announcement.state === 'draining') this.departed.add(announcement);
    this.setState(known, this.isLeaving(known));
  }

  private setState(known: Announced, isLeaving: boolean): void {
    const isDraining = known.drainedByOperator || isLeaving;
    if (isDraining === known.isDraining) return;
    known.isDraining = isDraining;
    this.options.log(isDraining ? 'An upstream is leaving.' : 'An upstream is back.', {
      ...known.announcement,
    });
    this.changed();
  }

  private isLeaving({ announcement, hasSaidLeaving }: Announced): boolean {
    return hasSaidLeaving || this.isDeparture(announcement);
  }

  private isDeparture(announcement: Announcement): boolean {
    return announcement.state === 'draining' || this.departed.has(announcement);
  }

  /** What it announces, bounded by the configuration in force and by its connections. */
  private slotsOf({ service, slots, connections }: Announcement): number {
    const { protection, bounds } = this.options;
    if (!protection) return UNLIMITED_SLOTS;
    return Math.min(slots, bounds(service).slots ?? slots, connections);
  }

  /** Its silence counts while the VM is awake: when that was suspended, so was the upstream. */
  private watch({ service, instanceId }: Announcement): Timer {
    const { clock, heartbeatMs } = this.options;
    const end = clock.awake() + MISSED_HEARTBEATS * heartbeatMs;
    const check = () => {
      const upstream = this.byService.get(service);
      if (upstream?.announcement.instanceId !== instanceId) return;
      const leftMs = end - clock.awake();
      if (leftMs > TIMER_MARGIN_MS) upstream.silence = clock.after(leftMs, check);
      else this.remove(upstream, 'It fell silent');
    };
    return clock.after(MISSED_HEARTBEATS * heartbeatMs, check);
  }

  private remove(upstream: Announced, why: string): void {
    const { service } = upstream.announcement;
    if (this.byService.get(service) !== upstream) return;
    this.byService.delete(service);
    this.options.log(`An upstream is out. ${why}.`, { ...upstream.announcement });
    this.changed();
    void Promise.resolve(upstream[Symbol.asyncDispose]()).catch((error: unknown) => {
      this.options.log('Connections of an upstream did not close.', { reason: String(error) });
    });
  }

  private changed(): void {
    this.options.onChange(this.list());
  }
}

/** Stands for no limit on the plain path. */
const UNLIMITED_SLOTS = 1_000_000;

function noticeOf(upstream: Announced): UpstreamNotice | undefined {
  const { perSecond } = upstream.admission.rate;
  const isLeaving = upstream.isDraining && !upstream.drainedByOperator;
  if (perSecond === undefined && !isLeaving) return undefined;
  const { instanceId, born } = upstream.announcement;
  return { instanceId, born, requestsPerSecond: perSecond, isLeaving };
}
