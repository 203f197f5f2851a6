/** The daemon for unchanged callers: the same core behind routes by host and path, with every daemon watching the source. */
import { ProcessorPressure } from '@cleatquay/admission';
import {
  FleetRetryBudget,
  LearnedCalls,
  Relay,
  type UpstreamDialect,
  WorkTurns,
  answerOf,
  routeOfHead,
} from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import {
  type Adoption,
  Configuration,
  type ConfigurationSource,
  ConfigurationSpread,
  ConfigurationWatch,
  type Sections,
} from '@cleatquay/configuration';
import { Failure } from '@cleatquay/errors';
import { type KeptState, Meeting, type MeetingTable, type Membership } from '@cleatquay/membership';
import { type Refusal, endOf, refusalOf } from '@cleatquay/protocol';
import { type Quarantine, type QuarantineTable } from '@cleatquay/quarantine';
import { HostRoutes, type RoutePlan } from '@cleatquay/routes';
import { type ServiceBroker } from 'moleculer';
import { createServer } from 'node:http';
import { type Logger } from 'pino';
import { logAdoption, logDoubt, logPeerFailure } from './adoptionLog.js';
import { Core } from './core.js';
import { takeOver } from './formerUpstreams.js';
import { HttpListeners, type Listener, addressOf, serverOf, startServers } from './httpListeners.js';
import { Metrics } from './metrics.js';
import { operatorGateway } from './operatorGateway.js';
import { quietBroker } from './quietBroker.js';
import { type CallerDialect, RelayGateway } from './relayGateway.js';
import { addQuarantineGauges } from './quarantineGauges.js';
import { PressureLog } from './pressureLog.js';
import { Readers } from './readers.js';
import { addOrganisationGauges } from './organisationGauges.js';
import { OrganisationSide } from './organisationSide.js';
import { addRelayGauges } from './relayGauges.js';
import { type RelayReportParts, relayDump, relayStatus } from './relayReport.js';
import { type RelaySettings } from './relaySettings.js';
import { addUpstreamGauges } from './upstreamGauges.js';
import { type Announcement } from './announcement.js';
import { type UpstreamBounds, type Upstreams } from './upstreams.js';

/** How long tries that may run only once are remembered, ms: longer than any caller waits for one. */
const MEMORY_MS = 60_000;
/**
 * Time after which the platform has seen twice that this daemon is not ready, ms: it asks every second. The own upstream
 * serves until then: what it stops sooner it would do without for longer, since the next process starts no earlier.
 */
const UNREADY_SEEN_MS = 2300;
/** Calls in flight are looked at so often while the daemon ends, ms. */
const DRAIN_CHECK_MS = 25;
/** Time for the last answers to leave before connections are closed, ms. */
const LAST_BYTES_MS = 100;
/** A daemon that knows nobody after so long serves with what it has, ms. */
const MEETING_PATIENCE_MS = 1500;
/** Part of the grace in which the daemon ends by itself, before it is killed. */
const GRACE_PART = 0.85;
/** Longest standing delay of an upstream's queue, ms: a fifth of the shortest of the usual targets. */
const QUEUE_MS = 50;

/** What differs between installations. */
export interface Installation {
  readonly callers: CallerDialect;
  readonly upstreams: UpstreamDialect;
  readonly source: ConfigurationSource;
  readonly meeting: MeetingTable;
  readonly quarantine: QuarantineTable;
  /** Reads the sections of a configuration. */
  readonly plan: (sections: Sections) => RoutePlan;
  readonly listeners: (daemon: RelayDaemon) => readonly Listener[];
}

/** What a daemon for unchanged callers is given from outside. */
export interface RelayDaemonParts {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly installation: Installation;
}

/** One running daemon for unchanged callers. */
export class RelayDaemon implements AsyncDisposable {
  readonly metrics = new Metrics();
  readonly configuration: Configuration<HostRoutes>;
  private readonly organisations: OrganisationSide;
  private readonly broker: ServiceBroker = quietBroker();
  private readonly configurationLog: Logger;
  private readonly gateway: RelayGateway;
  private readonly learned: LearnedCalls;
  readonly pressure: ProcessorPressure;
  private readonly turns: WorkTurns;
  /** Made once the daemon listens for its peers. */
  private core!: Core;
  private relay!: Relay;
  private readers!: Readers;
  private meeting!: Meeting;
  private watch!: ConfigurationWatch;
  private spread!: ConfigurationSpread;
  private readonly listeners = new HttpListeners(this.broker);
  private inFlight = 0;
  /** Importance classes of the configuration in force. */
  private classes = 1;
  private hasMet = false;
  /** Whether it has read from the platform which daemons there are. */
  private knowsFleet = false;
  private leavingSince: number | undefined;
  /** Clock time at which it stops waiting for what is in flight, ms; once it has stopped, the time at which it did. */
  private endsAt = Number.POSITIVE_INFINITY;

  private constructor(private readonly parts: RelayDaemonParts) {
    const { settings, clock, random, log, installation } = parts;
    this.configurationLog = log.child({ part: 'configuration' });
    this.learned = new LearnedCalls(clock);
    const processorLog = log.child({ part: 'processor' });
    const pressureLog = new PressureLog(clock, (message, facts) =>
      processorLog.info(facts, `Processor: ${message}`),
    );
    this.pressure = new ProcessorPressure(
      clock,
      () => this.classes,
      () => this.turns.waitMs(),
      (lagMs, isLagging) => pressureLog.sampled(lagMs, isLagging),
    );
    this.turns = new WorkTurns(clock, () => this.pressure.isLagging);
    this.configuration = new Configuration(
      clock,
      sections => new HostRoutes(installation.plan(sections), random, this.configuration.inForce),
      adoption => this.adopted(adoption),
    );
    this.organisations = new OrganisationSide({
      clock,
      random,
      configuration: this.configuration,
      keyring: () => this.configuration.inForce?.keyring,
      revocationMs: settings.revocationMs,
      failureDomain: settings.failureDomain,
      division: settings.quotas,
      knowsFleet: () => this.knowsFleet,
      log: (message, facts) => this.configurationLog.info(facts, `Configuration: ${message}`),
    });
    this.gateway = new RelayGateway({
      relay: { handle: (...call) => this.relay.handle(...call) },
      dialect: installation.callers,
      limits: () => this.configuration.inForce?.plan.limits,
      needsKeys: () => this.organisations.needsKeys,
      isLeaving: () => this.leavingSince !== undefined,
      turns: this.turns,
      started: () => this.started(),
    });
  }

  /** Starts a daemon; it serves as soon as the promise resolves, and is ready once it knows a configuration. */
  static async start(parts: RelayDaemonParts): Promise<RelayDaemon> {
    const daemon = new RelayDaemon(parts);
    daemon.core = await daemon.startCore();
    daemon.organisations.join(daemon.membership);
    daemon.relay = daemon.makeRelay();
    daemon.readers = new Readers(parts.clock, daemon.membership, parts.settings.failureDomain);
    daemon.meeting = daemon.makeMeeting();
    daemon.watch = daemon.makeWatch();
    daemon.spread = daemon.makeSpread();
    addQuarantineGauges(daemon.metrics, daemon.core.quarantine);
    addRelayGauges(daemon.metrics, daemon);
    addOrganisationGauges(daemon.metrics, daemon.organisations);
    addUpstreamGauges(daemon.metrics, daemon.upstreams);
    await daemon.serve();
    return daemon;
  }

  /** Whether callers should come here. */
  get isReady(): boolean {
    return this.leavingSince === undefined && this.configuration.generation > 0 && this.hasMet;
  }

  get membership(): Membership {
    return this.core.membership;
  }

  get upstreams(): Upstreams {
    return this.core.upstreams;
  }

  get quarantine(): Quarantine {
    return this.core.quarantine;
  }

  /** Where its listeners are, by name. */
  get addresses(): ReadonlyMap<string, string> {
    return this.listeners.addresses;
  }

  /** An upstream announces itself; one that is new is recorded, so that a restart of this daemon knows it at once. */
  async announce(announcement: Announcement): Promise<void> {
    const { service, instanceId, born } = announcement;
    if (!this.isService(service))
      throw new Failure(`No service is called "${service}".`, {
        result: 'announcementInvalid',
        field: 'service',
      });
    const isKnown = () =>
      this.upstreams.known.some(known => known.instanceId === instanceId && known.born === born);
    const wasKnown = isKnown();
    await this.upstreams.announce(announcement);
    if (!wasKnown && isKnown()) void this.meeting.record();
  }

  /** A service of the configuration in force; any while there is none. */
  private isService(name: string): boolean {
    const routes = this.configuration.inForce;
    return (
      routes?.service(name) !== undefined || routes === undefined || name === this.parts.settings.service
    );
  }

  /** An upstream says that it leaves: recorded, so that a restart of this daemon doesn't forget it. */
  async leave(instanceId: string, born?: number): Promise<void> {
    const isNew = this.upstreams.leave(instanceId, born);
    if (isNew) await this.meeting.record();
  }

  /** Sends callers elsewhere, and lets what is in flight end, within the grace. */
  async drain(): Promise<void> {
    const { clock, settings } = this.parts;
    const start = clock.now();
    this.leavingSince = start;
    this.endsAt = start + settings.graceMs * GRACE_PART;
    await clock.sleep(Math.min(UNREADY_SEEN_MS, settings.graceMs / 2));
    this.upstreams.setDraining(true);
    while (!this.isIdle() && clock.now() < this.endsAt) await clock.sleep(DRAIN_CHECK_MS);
    // From here on nothing is taken any more: callers keep using open connections until these are closed.
    this.endsAt = Math.min(this.endsAt, clock.now());
    this.logEnd('Daemon: Waits no longer for what is in flight.');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.membership.leave();
    this.pressure[Symbol.dispose]();
    this.listeners.stopAccepting();
    await this.parts.clock.sleep(LAST_BYTES_MS);
    this.logEnd('Daemon: Closes the connections of its callers.');
    // What is still in flight has had its grace; a server that closes would wait for it.
    this.listeners.closeConnections();
    await this.broker.stop();
    await this.watch[Symbol.asyncDispose]();
    await this.organisations[Symbol.asyncDispose]();
    await this.meeting[Symbol.asyncDispose]();
    await this.spread[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
  }

  private logEnd(message: string): void {
    const { clock, log } = this.parts;
    const leavingForMs = Math.round(clock.now() - (this.leavingSince ?? clock.now()));
    log.info({ leavingForMs, inFlight: this.inFlight, running: this.core.running.size }, message);
  }

  private startCore(): Promise<Core> {
    const { settings, clock, random, log, installation } = this.parts;
    const { retries } = settings;
    return Core.start({
      place: settings,
      clock,
      random,
      log,
      upstreams: {
        protection: true,
        heartbeatMs: settings.heartbeatMs,
        slowStart: false,
        classes: () => this.classes,
        bounds: service => this.boundsOf(service),
        checkAddress: () => Promise.resolve(),
        onDeparture: () => void this.meeting.record(),
      },
      healthPath: service => this.healthPathOf(service),
      dialect: installation.upstreams,
      retries: new FleetRetryBudget(clock, retries, () => this.membership.aliveCount() + 1),
      freeMoves: 3,
      signalsEndInTime: true,
      routeOf: routeOfHead,
      callsOf: ({ name }) => this.learned.of(name),
      memoryMs: () => MEMORY_MS,
      isCut: () => false,
      turns: this.turns,
      quarantineTable: installation.quarantine,
      service: settings.service,
      atHome: () => {
        const refusal = refusalOf('innerMessageInvalid', 'This daemon issues no request ids.');
        return Promise.resolve(answerOf(endOf(refusal, 0)));
      },
      configuration: question => this.configuration.answer(question),
      freshness: this.organisations.freshness,
      quotas: this.organisations.handlers,
      onConfiguration: (heard, peer) => this.spread.heard(heard, peer),
    });
  }

  private makeRelay(): Relay {
    const { settings, clock, random } = this.parts;
    return new Relay({
      clock,
      routes: () => this.configuration.inForce,
      configuration: this.configuration,
      journal: this.core.journal,
      forwarder: this.core.forwarder,
      originService: settings.service,
      running: this.core.running,
      learned: this.learned,
      senders: this.organisations.senders,
      quotaGate: this.organisations.gate(this.core.journal),
      pressureLevel: () => this.pressure.level,
      timeLeftMs: () => this.endsAt - clock.now(),
      random,
    });
  }

  private boundsOf(service: string): UpstreamBounds {
    const routes = this.configuration.inForce;
    return {
      connections: routes?.service(service)?.connections,
      maxQueueMs: QUEUE_MS,
    };
  }

  private healthPathOf(service: string): string | undefined {
    return this.configuration.inForce?.service(service)?.healthPath;
  }

  private makeMeeting(): Meeting {
    const { clock, random, log, installation } = this.parts;
    const meetingLog = log.child({ part: 'meeting' });
    return new Meeting({
      clock,
      random,
      table: installation.meeting,
      membership: this.membership,
      isTender: () => this.readers.isReader,
      kept: () => ({ departures: this.upstreams.departures, upstreams: this.upstreams.known }),
      onFormer: former => this.takeFormer(former),
      log: (message, facts) => meetingLog.info(facts, `Meeting: ${message}`),
    });
  }

  /** Takes over what an earlier process recorded. */
  private takeFormer({ departures, upstreams }: KeptState): void {
    const { settings, clock, log, installation } = this.parts;
    for (const { instanceId, born } of departures) this.upstreams.leave(instanceId, born);
    void takeOver(upstreams, {
      clock,
      heartbeatMs: settings.heartbeatMs,
      dialect: installation.upstreams,
      healthPath: service => this.healthPathOf(service),
      isKnown: service => this.upstreams.get(service) !== undefined,
      announce: announcement => this.upstreams.announce(announcement),
      leave: ({ instanceId, born }) => this.leave(instanceId, born),
      log: (message, facts) => log.info(facts, `Upstreams: ${message}`),
    });
  }

  private makeWatch(): ConfigurationWatch {
    const { clock, installation } = this.parts;
    return new ConfigurationWatch({
      clock,
      configuration: this.configuration,
      source: installation.source,
      freshness: this.organisations.freshness,
      isOnDuty: () => this.readers.isOnDuty,
      waitMs: isFirst =>
        Math.min(
          this.readers.waitMs(isFirst),
          this.organisations.proofs?.longestWaitMs ?? Number.POSITIVE_INFINITY,
        ),
      paceMs: () => this.organisations.proofs?.paceMs,
      pauseMs: () => this.readers.pauseMs,
      onReach: isReached => this.membership.setPlatformLost(!isReached),
      log: (message, facts) => this.configurationLog.info(facts, `Configuration: ${message}`),
    });
  }

  private makeSpread(): ConfigurationSpread {
    const { clock, random } = this.parts;
    return new ConfigurationSpread({
      clock,
      random,
      configuration: this.configuration,
      freshness: this.organisations.freshness,
      store: undefined,
      isReader: () => false,
      onReach: () => undefined,
      patienceMs: peer => this.readers.patienceMs(peer),
      fetch: (peer, question) => this.core.peers.fetchConfiguration(peer, question),
      inOrder: holders => this.readers.inOrder(holders),
      onPeerFailure: (peer, reason) => logPeerFailure(this.configurationLog, peer, reason),
      onDoubt: peer => {
        logDoubt(this.configurationLog, this.configuration, peer);
        this.watch.doubt();
      },
    });
  }

  private async serve(): Promise<void> {
    const { settings, clock, installation } = this.parts;
    this.core.quarantine.start();
    this.listeners.add('callers', settings.callers, this.gateway.server);
    for (const { name, address, handle } of installation.listeners(this))
      this.listeners.add(name, address, createServer(handle));
    const operators = this.broker.createService(
      operatorGateway({
        ip: settings.ip,
        port: settings.operatorPort,
        upstreams: this.upstreams,
        metrics: this.metrics,
        journal: this.core.journal,
        quarantine: this.core.quarantine,
        faults: undefined,
        isReady: () => this.isReady,
        organisations: () => this.organisations.counts.report,
        status: () => relayStatus(this.reported),
        dump: () => relayDump(this.reported),
        setDraining: draining => this.upstreams.setDraining(draining),
      }),
    );
    await startServers(this.broker, [...this.listeners.servers, serverOf(operators)]);
    this.membership.setOperatorAddress(addressOf(settings.ip, serverOf(operators)));
    this.membership.start();
    this.watch.start();
    this.organisations.start();
    this.meeting.start();
    void this.meeting.met.then(() => (this.knowsFleet = true));
    void Promise.race([this.meeting.met, clock.sleep(MEETING_PATIENCE_MS)]).then(() => (this.hasMet = true));
  }

  private adopted(adoption: Adoption): void {
    logAdoption(this.configurationLog, adoption);
    this.classes = this.configuration.inForce?.classes ?? 1;
    this.core.membership.setConfiguration(this.configuration);
    this.gateway.applyConfiguration();
    this.organisations.adopted();
  }

  private started(): (refusal: Refusal | undefined) => void {
    this.inFlight++;
    const end = this.metrics.requestStarted();
    return refusal => {
      this.inFlight--;
      end(this.parts.settings.service, refusal);
    };
  }

  private isIdle(): boolean {
    return this.inFlight === 0 && this.core.running.size === 0;
  }

  private get reported(): RelayReportParts {
    const { configuration, membership, upstreams } = this;
    const { router, running, tries, quarantine } = this.core;
    const parts = { configuration, membership, upstreams, router, running, tries, quarantine };
    return { ...parts, inFlight: this.inFlight, freshness: this.organisations.freshness };
  }
}
