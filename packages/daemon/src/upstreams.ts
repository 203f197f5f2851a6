/** The upstreams that announced themselves to this daemon. */
import { Admission } from '@cleatquay/admission';
import { type LocalUpstream } from '@cleatquay/calls';
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { Failure } from '@cleatquay/errors';
import { type Upstream } from '@cleatquay/protocol';
import { type OperatorFile, check, splitAddress } from '@cleatquay/settings';
import { type Static, Type } from '@sinclair/typebox';
import { connect } from 'node:net';
import { Pool } from 'undici';

const SILENT_AFTER_MS = 3000;
const PROBE_TIMEOUT_MS = 1000;

const AnnouncementSchema = Type.Object(
  {
    service: Type.String({ minLength: 1 }),
    address: Type.String({ pattern: '^[\\d.]{7,15}:\\d{1,5}$' }),
    slots: Type.Integer({ minimum: 1, maximum: 100_000 }),
    connections: Type.Integer({ minimum: 1, maximum: 100_000 }),
    state: Type.Union([Type.Literal('ready'), Type.Literal('draining')], { default: 'ready' }),
  },
  { additionalProperties: false },
);

/** What an upstream says of itself, and renews every second. */
export type Announcement = Static<typeof AnnouncementSchema>;

interface Announced extends LocalUpstream, AsyncDisposable {
  readonly announcement: Announcement;
  readonly admission: Admission;
  isDraining: boolean;
  drainedByOperator: boolean;
  silence: Timer;
}

/** What the registry needs of its daemon. */
export interface UpstreamsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly ip: string;
  /** False for the plain path: everything is passed on at once. */
  readonly protection: boolean;
  readonly file: () => OperatorFile | undefined;
  /** Told whenever what the fleet should know has changed. */
  readonly onChange: (upstreams: Upstream[]) => void;
  readonly log: (message: string) => void;
}

/** Upstreams by service; a silent one goes after three seconds. */
export class Upstreams implements AsyncDisposable {
  private readonly byService = new Map<string, Announced>();

  constructor(private readonly options: UpstreamsOptions) {}

  /** Takes an announcement, or fails saying what is wrong with it. */
  async announce(data: unknown): Promise<void> {
    const announcement = check(AnnouncementSchema, data, 'announcementInvalid');
    const known = this.byService.get(announcement.service);
    if (known?.announcement.address === announcement.address) return this.renew(known, announcement);
    await this.checkAddress(announcement.address);
    if (known) await this.remove(known, 'Another took its place');
    this.add(announcement);
  }

  /** The upstream of a service. */
  get(service: string): LocalUpstream | undefined {
    return this.byService.get(service);
  }

  /** Drains or undrains all upstreams here. */
  setDraining(draining: boolean): void {
    for (const upstream of this.byService.values()) {
      upstream.drainedByOperator = draining;
      upstream.isDraining = draining || upstream.announcement.state === 'draining';
    }
    this.changed();
  }

  /** What the fleet is told. */
  list(): Upstream[] {
    return [...this.byService.values()].map(({ announcement, isDraining, admission }) => ({
      service: announcement.service,
      address: announcement.address,
      slots: admission.load().limit,
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
    counts: Record<string, number>;
  }[] {
    return [...this.byService.values()].map(({ announcement, isDraining, admission }) => ({
      service: announcement.service,
      address: announcement.address,
      draining: isDraining,
      load: admission.load(),
      counts: { ...admission.counts },
    }));
  }

  /** The lowest admission level of the upstreams here. */
  lowestLevel(): number {
    return Math.min(...[...this.byService.values()].map(({ admission }) => admission.load().admissionLevel));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const upstream of [...this.byService.values()]) {
      this.byService.delete(upstream.announcement.service);
      await upstream[Symbol.asyncDispose]();
    }
  }

  private add(announcement: Announcement): void {
    const { clock, random, protection, file } = this.options;
    const admission = new Admission({
      clock,
      random,
      classes: () => file()?.classes.length ?? MOST_CLASSES,
      slots: this.slotsOf(announcement),
      maxQueueMs: () => file()?.services[announcement.service]?.maxQueueMs ?? DEFAULT_QUEUE_MS,
      cold: protection,
    });
    const connections = new Pool(`http://${announcement.address}`, {
      connections: announcement.connections,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const upstream: Announced = {
      announcement,
      admission,
      connections,
      isDraining: announcement.state === 'draining',
      drainedByOperator: false,
      silence: this.watch(announcement.service),
      [Symbol.asyncDispose]: async () => {
        upstream.silence[Symbol.dispose]();
        admission[Symbol.dispose]();
        await connections.close();
      },
    };
    this.byService.set(announcement.service, upstream);
    this.options.log(`${announcement.service} at ${announcement.address} announced itself.`);
    this.changed();
  }

  private renew(known: Announced, announcement: Announcement): void {
    known.silence[Symbol.dispose]();
    known.silence = this.watch(announcement.service);
    const isDraining = known.drainedByOperator || announcement.state === 'draining';
    known.admission.limit.announce(this.slotsOf(announcement));
    if (isDraining === known.isDraining) return;
    known.isDraining = isDraining;
    this.changed();
  }

  /** What it announces, bounded by the configuration in force and by its connections. */
  private slotsOf({ service, slots, connections }: Announcement): number {
    const { protection, file } = this.options;
    if (!protection) return UNLIMITED_SLOTS;
    return Math.min(slots, file()?.services[service]?.slots ?? slots, connections);
  }

  private watch(service: string): Timer {
    return this.options.clock.after(SILENT_AFTER_MS, () => {
      const upstream = this.byService.get(service);
      if (upstream) void this.remove(upstream, 'It fell silent');
    });
  }

  private async remove(upstream: Announced, why: string): Promise<void> {
    const { service } = upstream.announcement;
    this.byService.delete(service);
    this.options.log(`${service} is out. ${why}.`);
    this.changed();
    await upstream[Symbol.asyncDispose]();
  }

  private changed(): void {
    this.options.onChange(this.list());
  }

  /** An upstream may only announce an address of this VM at which something listens. */
  private async checkAddress(address: string): Promise<void> {
    const { ip, port } = splitAddress(address);
    if (ip !== this.options.ip) {
      const message = `Expected the IP number of this VM, ${this.options.ip}, found ${ip}.`;
      throw new Failure(message, { result: 'announcementInvalid', field: 'address' });
    }
    if (await accepts(ip, port)) return;
    throw new Failure(`Nothing accepts connections at ${address}.`, {
      result: 'announcementUnreachable',
      field: 'address',
    });
  }
}

const DEFAULT_QUEUE_MS = 50;
/** As many as an operators' file may have: what counts before there is one. */
const MOST_CLASSES = 16;
/** Stands for no limit on the plain path. */
const UNLIMITED_SLOTS = 1_000_000;

async function accepts(ip: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({ host: ip, port, timeout: PROBE_TIMEOUT_MS });
    const settle = (result: boolean) => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(false));
    socket.once('error', () => settle(false));
  });
}
