/** Wires the parts of one daemon together, and takes them down in order. */
import {
  Claims,
  Entry,
  Forwarder,
  Home,
  InnerServer,
  Journal,
  Peers,
  RequestIds,
  RetryAllowance,
  RunningCalls,
  TryMemory,
  UpstreamSide,
} from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import { Configuration, ConfigurationSpread, ConfigurationStore } from '@cleatquay/configuration';
import { Membership, UdpDatagrams } from '@cleatquay/membership';
import { HttpPlatform } from '@cleatquay/platform';
import { type Member, type RequestHead, type SealAnswer, type SealRequest } from '@cleatquay/protocol';
import { Directory, Router } from '@cleatquay/routing';
import { type ProcessSettings, type Route } from '@cleatquay/settings';
import { type Service, ServiceBroker } from 'moleculer';
import { type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { type Logger } from 'pino';
import { callerGateway } from './callerGateway.js';
import { writeHttpParserError } from './callerAnswer.js';
import { type ReportedParts, addGauges, dumpOf, statusOf } from './daemonReport.js';
import { Faults } from './faults.js';
import { Metrics } from './metrics.js';
import { operatorGateway } from './operatorGateway.js';
import { isReader } from './readers.js';
import { Upstreams } from './upstreams.js';

const DEFAULT_LIFETIME_MS = 600_000;
/** How long callers on kept connections have to hear of the departure, ms. */
const ANNOUNCED_MS = 500;
const DRAIN_CHECK_MS = 20;
const FORGET_PEER_MS = 60_000;

/** What a daemon is given from outside. */
export interface DaemonParts {
  readonly settings: ProcessSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** One running daemon. */
export class Daemon implements AsyncDisposable {
  readonly metrics = new Metrics();
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  private readonly faults = new Faults();
  private readonly directory = new Directory();
  private readonly journal: Journal;
  private readonly home: Home;
  private readonly tries: TryMemory;
  private readonly running = new RunningCalls();
  private readonly peers: Peers;
  private readonly router: Router;
  private readonly entry: Entry;
  private readonly upstreamSide: UpstreamSide;
  private readonly spread: ConfigurationSpread;
  private readonly broker: ServiceBroker;
  private readonly inFlight = new Set<Promise<unknown>>();
  private platform: HttpPlatform | undefined;
  private callerAddress = '';
  private leaving: 'announced' | 'refusing' | undefined;

  private constructor(
    private readonly parts: DaemonParts,
    private readonly inner: InnerServer,
    private readonly datagrams: UdpDatagrams,
    private readonly self: string,
  ) {
    const { settings, clock, random, log } = parts;
    const membershipLog = log.child({ part: 'membership' });
    const configurationLog = log.child({ part: 'configuration' });
    const upstreamsLog = log.child({ part: 'upstreams' });
    const isCut = (address: string) => this.faults.isCut(address);
    const epoch = () => this.membership.me.epoch;
    const graph = () => this.configuration.graph;

    this.configuration = new Configuration(clock, generation => this.membership.setGeneration(generation));
    this.membership = new Membership({
      clock,
      random,
      datagrams,
      seeds: settings.seeds,
      isCut,
      self: {
        address: self,
        gossipAddress: datagrams.address,
        operatorAddress: '',
        failureDomain: settings.failureDomain,
        epoch: clock.date().getTime(),
      },
      onGeneration: (generation, from) => this.heardGeneration(generation, from),
      onChange: member => {
        membershipLog.debug(`Membership: ${member.address} is ${member.state.toLowerCase()}.`);
        this.memberChanged(member);
      },
    });
    this.upstreams = new Upstreams({
      clock,
      random,
      ip: settings.ip,
      protection: settings.protection,
      file: () => graph()?.file,
      onChange: list => this.announceUpstreams(list),
      log: message => upstreamsLog.info(`Upstreams: ${message}`),
    });
    this.journal = new Journal(clock);
    this.home = new Home(clock);
    const lifetimeMs = () => graph()?.file.requestIdLifetimeMs ?? DEFAULT_LIFETIME_MS;
    this.tries = new TryMemory(clock, lifetimeMs);
    this.peers = new Peers(clock, isCut);
    this.router = new Router({
      clock,
      random,
      directory: this.directory,
      self,
      failureDomain: settings.failureDomain,
    });
    this.upstreamSide = new UpstreamSide({
      clock,
      epoch,
      graph,
      upstream: service => this.upstreams.get(service),
      levelBelow: route => this.levelBelow(route),
      tries: this.tries,
      running: this.running,
      journal: this.journal,
    });
    const forwarder = new Forwarder({
      clock,
      random,
      router: this.router,
      peers: this.peers,
      allowance: new RetryAllowance(),
      journal: this.journal,
      self,
      local: (head, body, signal) => this.upstreamSide.handle(head, body, signal),
    });
    this.platform = settings.platform === undefined ? undefined : new HttpPlatform(settings.platform);
    this.entry = new Entry({
      clock,
      self,
      epoch,
      graph,
      generation: () => this.configuration.generation,
      forwarder,
      peers: this.peers,
      directory: this.directory,
      home: this.home,
      ids: new RequestIds(clock, self, epoch),
      claims: new Claims(clock, this.platform),
      running: this.running,
      journal: this.journal,
    });
    this.spread = new ConfigurationSpread({
      clock,
      random,
      configuration: this.configuration,
      store: this.platform && new ConfigurationStore(this.platform, clock),
      isReader: () => isReader(self, settings.failureDomain, this.membership.table.all()),
      fetch: (peer, generation) => this.peers.fetchConfiguration(peer, generation),
      otherPeer: () => this.membership.randomAlive(1)[0]?.address,
      log: message => configurationLog.info(`Configuration: ${message}`),
    });
    // Moleculer's own signal handlers would end the process before it has drained.
    const quiet = { logger: false, metrics: false, skipProcessEventRegistration: true };
    this.broker = new ServiceBroker({ nodeID: self, transporter: null, ...quiet });
    addGauges(this.metrics, this.reported);
  }

  /** Starts a daemon that serves as soon as the promise resolves. */
  static async start(parts: DaemonParts): Promise<Daemon> {
    const { settings } = parts;
    const datagrams = await UdpDatagrams.bind(settings.ip, settings.gossipPort);
    const started: { daemon?: Daemon } = {};
    const inner = new InnerServer({
      exchange: (head, body, signal) => serving(started).exchange(head, body, signal),
      seal: request => serving(started).seal(request),
      configuration: ({ generation }) => serving(started).configuration.changesSince(generation),
    });
    const innerPort = await inner.listen(settings.ip, settings.innerPort);
    const daemon = new Daemon(parts, inner, datagrams, `${settings.ip}:${String(innerPort)}`);
    started.daemon = daemon;
    await daemon.serve();
    return daemon;
  }

  /** Where callers, peers and operators reach this daemon. */
  get addresses(): { caller: string; inner: string; gossip: string; operator: string } {
    const { address, gossipAddress, operatorAddress } = this.membership.me;
    return { caller: this.callerAddress, inner: address, gossip: gossipAddress, operator: operatorAddress };
  }

  /** Refuses new work here as not run, tells the fleet, and lets what is in flight end. */
  async drain(): Promise<void> {
    const { clock, settings } = this.parts;
    this.upstreams.setDraining(true);
    this.leaving = 'announced';
    await clock.sleep(ANNOUNCED_MS);
    this.leaving = 'refusing';
    const end = clock.now() + settings.drainMs;
    while (this.isBusy() && clock.now() < end) await clock.sleep(DRAIN_CHECK_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.membership.leave();
    await this.broker.stop();
    await this.spread[Symbol.asyncDispose]();
    await this.inner[Symbol.asyncDispose]();
    await this.membership[Symbol.asyncDispose]();
    await this.datagrams[Symbol.asyncDispose]();
    this.peers[Symbol.dispose]();
    await this.upstreams[Symbol.asyncDispose]();
    await this.platform?.[Symbol.asyncDispose]();
  }

  private async serve(): Promise<void> {
    const { settings } = this.parts;
    const callers = this.broker.createService(
      callerGateway({
        ip: settings.ip,
        port: settings.callerPort,
        entry: this.entry,
        metrics: this.metrics,
        leaving: () => this.leaving,
        track: work => this.track(work),
      }),
    );
    const operators = this.broker.createService(
      operatorGateway({
        ip: settings.ip,
        port: settings.operatorPort,
        upstreams: this.upstreams,
        metrics: this.metrics,
        journal: this.journal,
        faults: settings.faultHooks ? this.faults : undefined,
        isReady: () => this.configuration.generation > 0,
        status: () => statusOf(this.reported),
        dump: () => dumpOf(this.reported),
        setDraining: draining => this.upstreams.setDraining(draining),
      }),
    );
    await this.broker.start();
    const server = serverOf(callers);
    server.on('clientError', (error, socket) => writeHttpParserError(error, socket));
    this.callerAddress = addressOf(settings.ip, server);
    this.membership.setOperatorAddress(addressOf(settings.ip, serverOf(operators)));
    this.membership.start();
    this.spread.start();
  }

  /** One call from a peer: to this daemon as a home, or to the upstream beside it. */
  exchange(head: RequestHead, body: AsyncIterable<Uint8Array>, signal: AbortSignal) {
    const isToHome = head.context?.toHome === true;
    return isToHome
      ? this.entry.handleAsHome(head, body, signal)
      : this.upstreamSide.handle(head, body, signal);
  }

  /** A peer lost contact with a try. */
  seal(request: SealRequest): Promise<SealAnswer> {
    return this.upstreamSide.seal(request);
  }

  private track<T>(work: Promise<T>): Promise<T> {
    this.inFlight.add(work);
    return work.finally(() => this.inFlight.delete(work));
  }

  private isBusy(): boolean {
    return this.inFlight.size > 0 || this.running.size > 0 || this.home.runningCount > 0;
  }

  private announceUpstreams(list: ReturnType<Upstreams['list']>): void {
    this.membership.setUpstreams(list);
    this.directory.update(this.membership.me);
  }

  private memberChanged(member: Member): void {
    this.directory.update(member);
    const isGone = member.state === 'DEAD' || member.state === 'LEFT';
    if (isGone) this.parts.clock.after(FORGET_PEER_MS, () => this.forgetPeer(member));
  }

  /** Calls to a leaving peer may still be in flight, so that its connection is closed some time later. */
  private forgetPeer({ address, epoch }: Member): void {
    const now = this.membership.table.get(address);
    if (now?.epoch !== epoch || now.state === 'ALIVE') return;
    this.peers.forget(address);
    this.router.forget(address);
  }

  private heardGeneration(generation: number, from: string): void {
    const peer = this.membership.table.atGossip(from)?.address;
    if (peer !== undefined) this.spread.heard(generation, peer);
  }

  private levelBelow(route: Route): number {
    const graph = this.configuration.graph;
    return route.calls.reduce((lowest, name) => {
      const service = graph?.get(name)?.service;
      return service === undefined ? lowest : Math.min(lowest, this.router.levelFor(service, name));
    }, Number.MAX_VALUE);
  }

  private get reported(): ReportedParts {
    const { settings } = this.parts;
    const { addresses, configuration, spread, membership, upstreams, router } = this;
    const { home, tries, running, peers, inFlight } = this;
    const parts = { settings, addresses, configuration, spread, membership, upstreams, router };
    return { ...parts, home, tries, running, peers, inFlight };
  }
}

/** The HTTP server that moleculer-web made for a service. */
function serverOf(service: Service): Server {
  return (service as Service & { server: Server }).server;
}

function addressOf(ip: string, server: Server): string {
  return `${ip}:${String((server.address() as AddressInfo).port)}`;
}

function serving({ daemon }: { daemon?: Daemon }): Daemon {
  if (daemon) return daemon;
  throw new Error('The daemon is still starting.');
}
