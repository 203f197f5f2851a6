/** The daemon for unmodified callers: the same core, routes by host and path, and a watcher of the configuration source in every daemon. */
import {
  FleetRetryBudget,
  LearnedCalls,
  Relay,
  type UpstreamDialect,
  Uploads,
  singlePartResponse,
  routeFromHead,
} from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import {
  type Adoption,
  Configuration,
  type ConfigurationSource,
  type Sections,
} from '@cleatquay/configuration';
import { Failure } from '@cleatquay/errors';
import {
  type PeerDiscovery,
  type DiscoveryTable,
  type Membership,
  DomainMembers,
} from '@cleatquay/membership';
import { type Refusal, type Section, refusalPart, createRefusal } from '@cleatquay/protocol';
import { type Quarantine, type QuarantineTable } from '@cleatquay/quarantine';
import { HostRoutes, type RoutePlan } from '@cleatquay/routes';
import { type ServiceBroker } from 'moleculer';
import { createServer } from 'node:http';
import { type Logger } from 'pino';
import { logAdoption } from './adoptionLog.js';
import { ConfigurationUpdater } from './configurationUpdater.js';
import { DaemonCore } from './daemonCore.js';
import { createRelayDiscovery } from './relayDiscovery.js';
import { Drain, type DrainReason } from './drain.js';
import { HttpListeners, type Listener, listenAddress, serverOf, startServers } from './httpListeners.js';
import { Metrics } from './metrics.js';
import { operatorGateway } from './operatorGateway.js';
import { OperatorRequests } from './operatorRequests.js';
import { createBroker } from './createBroker.js';
import { CloseLog } from './closeLog.js';
import { ResponseEndLog } from './responseEndLog.js';
import { flushResponses } from './responseFlush.js';
import { type CallerDialect, RelayGateway } from './relayGateway.js';
import { PipelinedRequests } from './pipelinedRequests.js';
import { UnreadBodies } from './unreadBodies.js';
import { PlatformContact } from './platformContact.js';
import { Processor } from './processor.js';
import { type ProcessorTime } from './processorTime.js';
import { OrganisationServices } from './organisationServices.js';
import { addDaemonGauges } from './daemonGauges.js';
import { type RelayReportSources, relayDump, relayStatus } from './relayReport.js';
import { type RelaySettings } from './relaySettings.js';
import { type Announcement } from './announcement.js';
import { type ProcessFacts } from './unhandledExceptions.js';
import { type UpstreamBounds, type Upstreams } from './upstreams.js';

/** How long records of non-idempotent attempts are kept, ms: longer than any caller waits for one. */
const ATTEMPT_RETENTION_MS = 60_000;
/**
 * Time until two of the platform's readiness checks, one per second, have failed, ms. The local upstream serves until then:
 * draining it sooner would only lengthen its outage, since the next process starts no earlier.
 */
const UNREADY_DETECTION_MS = 2300;
/** Time after which a daemon becomes ready even though it has discovered no peers, ms. */
const DISCOVERY_TIMEOUT_MS = 1500;
/** Upper bound of the queueing delay at an upstream, ms: a fifth of the shortest usual target latency. */
const MAX_QUEUE_MS = 50;

/** What a platform defines for its daemons: protocols of callers and upstreams, tables, configuration source, listeners. */
export interface PlatformAdapter {
  readonly callers: CallerDialect;
  readonly upstreams: UpstreamDialect;
  readonly configurationSource: ConfigurationSource;
  readonly discoveryTable: DiscoveryTable;
  readonly quarantine: QuarantineTable;
  /** Validates sections that a peer sent; throws for the first invalid one. */
  readonly checkSections: (sections: readonly Section[]) => void;
  /** Parses the sections of a configuration. */
  readonly plan: (sections: Sections) => RoutePlan;
  readonly createListeners: (daemon: RelayDaemon) => readonly Listener[];
}

/** Dependencies of a daemon for unmodified callers. */
export interface RelayDaemonOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly platformAdapter: PlatformAdapter;
  /** Measures the timers of the clock, too. */
  readonly processorTime?: ProcessorTime;
}

/** A running daemon for unmodified callers. */
export class RelayDaemon implements AsyncDisposable {
  readonly metrics = new Metrics();
  readonly configuration: Configuration<HostRoutes>;
  readonly organisations: OrganisationServices;
  private readonly broker: ServiceBroker = createBroker();
  private readonly configurationLog: Logger;
  private readonly platformContact: PlatformContact;
  private readonly gateway: RelayGateway;
  private readonly learnedCalls: LearnedCalls;
  readonly processor: Processor;
  /** Set once the daemon listens for its peers. */
  core!: DaemonCore;
  private ingress!: Relay;
  updater!: ConfigurationUpdater;
  private discovery!: PeerDiscovery;
  private readonly listeners = new HttpListeners(this.broker);
  private inFlight = 0;
  /** Number of priority classes of the active configuration. */
  private priorityClasses = 1;
  /** Whether the first discovery round has succeeded, or has taken longer than `DISCOVERY_TIMEOUT_MS`. */
  private isDiscoveryDone = false;
  private domainMembers!: DomainMembers;
  private readonly shutdown: Drain;
  private readonly closeLog: CloseLog;

  private constructor(private readonly options: RelayDaemonOptions) {
    const { settings, clock, random, log, platformAdapter: adapter } = options;
    const { metrics } = this;
    this.configurationLog = log.child({ part: 'configuration' });
    this.learnedCalls = new LearnedCalls(clock);
    this.platformContact = new PlatformContact(clock, () => this.updater.onPlatformReached());
    const processorLog = log.child({ part: 'processor' });
    this.processor = new Processor({
      clock,
      metrics,
      log: (message, facts) => processorLog.info(facts, `Processor: ${message}`),
      classes: () => this.priorityClasses,
      time: options.processorTime,
    });
    this.configuration = new Configuration(
      clock,
      sections => new HostRoutes(adapter.plan(sections), random, this.configuration.active),
      adoption => this.onConfigurationAdopted(adoption),
    );
    const quotaLog = log.child({ part: 'quotas' });
    this.organisations = new OrganisationServices({
      clock,
      random,
      configuration: this.configuration,
      keyring: () => this.configuration.active?.keyring,
      revocationMs: settings.revocationMs,
      failureDomain: settings.failureDomain,
      division: settings.quotas,
      shareCount: () => this.domainMembers.count,
      onShares: report => quotaLog.info(report, 'Quotas: The shares changed.'),
      log: (message, facts) => this.configurationLog.info(facts, `Configuration: ${message}`),
    });
    this.shutdown = new Drain({
      clock,
      graceMs: settings.graceMs,
      outstanding: () => ({ inFlight: this.inFlight, running: this.core.running.size }),
      log: (message, facts) => log.info(facts, message),
    });
    this.closeLog = new CloseLog({
      lagMs: () => this.processor.pressure.lagMs,
      log: (message, facts) => log.info(facts, message),
    });
    const warn = (message: string, facts: object) => log.warn(facts, message);
    const responseEnds = new ResponseEndLog({ metrics, decisionTrace: () => this.core.decisionTrace });
    this.gateway = new RelayGateway({
      ingress: { handle: (...call) => this.ingress.handle(...call) },
      dialect: adapter.callers,
      limits: () => this.configuration.active?.plan.limits,
      needsKeys: () => this.organisations.needsKeys,
      isShuttingDown: () => this.shutdown.hasStarted,
      scheduler: this.processor.scheduler,
      clock,
      meter: this.processor.time,
      onRequestStart: () => this.onRequestStart(),
      closeLog: this.closeLog,
      unreadBodies: new UnreadBodies({ clock, metrics, log: warn }),
      pipelined: new PipelinedRequests(warn),
      onResponseCut: responseEnds.recordCut,
      onDeliveryEnd: responseEnds.recordDelivery,
    });
  }

  /** Starts a daemon, which listens once the promise resolves, and is ready once a configuration is active. */
  static async start(options: RelayDaemonOptions): Promise<RelayDaemon> {
    const daemon = new RelayDaemon(options);
    daemon.core = await daemon.startCore();
    daemon.domainMembers = daemon.createDomainMembers();
    daemon.organisations.connect(daemon.membership);
    daemon.ingress = daemon.createIngress();
    daemon.updater = daemon.createUpdater();
    daemon.discovery = daemon.createDiscovery();
    addDaemonGauges(daemon.metrics, daemon);
    await daemon.startListening();
    daemon.processor.time.startEnded();
    return daemon;
  }

  /** Whether callers should use this daemon. */
  get isReady(): boolean {
    return !this.shutdown.hasStarted && this.configuration.generation > 0 && this.isDiscoveryDone;
  }

  /** Requests that have no response yet, and the event-loop lag. */
  get processFacts(): ProcessFacts {
    const { lagMs } = this.processor.pressure;
    return { inFlight: this.inFlight, running: this.core.running.size, lagMs: Math.round(lagMs) };
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

  /** Listen addresses by name, ip:port. */
  get addresses(): ReadonlyMap<string, string> {
    return this.listeners.addresses;
  }

  /** Handles an upstream's announcement. A new upstream is recorded, so that this daemon knows it right after a restart. */
  async announce(announcement: Announcement): Promise<void> {
    const { service, instanceId, born } = announcement;
    if (!this.isKnownService(service))
      throw new Failure(`No service is named "${service}".`, {
        result: 'announcementInvalid',
        field: 'service',
      });
    const wasKnown = this.upstreams.isIdentified(instanceId, born);
    await this.upstreams.announce(announcement);
    if (!wasKnown && this.upstreams.isIdentified(instanceId, born)) void this.discovery.record();
  }

  /** Whether the active configuration or the settings name the service; true while there is no configuration. */
  private isKnownService(name: string): boolean {
    const routes = this.configuration.active;
    return (
      routes?.service(name) !== undefined || routes === undefined || name === this.options.settings.service
    );
  }

  /** Handles an upstream's report that it is shutting down. It is recorded, so that a restart of this daemon preserves it. */
  async markUpstreamLeaving(instanceId: string, born?: number): Promise<void> {
    const isNew = this.upstreams.markLeaving(instanceId, born);
    if (isNew) await this.discovery.record();
  }

  /** Fails the readiness check, and waits for requests in flight within the grace period. After a failure, new requests are refused at once. */
  async drain(reason: DrainReason = 'planned'): Promise<void> {
    const { clock, settings } = this.options;
    this.shutdown.start(reason);
    if (reason === 'planned') await clock.sleep(Math.min(UNREADY_DETECTION_MS, settings.graceMs / 2));
    this.upstreams.setDraining(true);
    await this.shutdown.waitUntilIdle();
    await this.processor.logTotals();
  }

  /** Begins the grace period of a drain anew. */
  extendDrain(): void {
    this.shutdown.extend();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.membership.leave();
    this.processor[Symbol.dispose]();
    this.listeners.stopAccepting();
    await flushResponses(this.options.clock, () => this.inFlight > 0);
    this.shutdown.log('Daemon: Closing the connections of callers.');
    // Requests still in flight have used up the grace period; a server that closes would wait for them.
    this.closeLog.endDrain();
    this.listeners.closeConnections();
    await this.broker.stop();
    await this.updater[Symbol.asyncDispose]();
    await this.organisations[Symbol.asyncDispose]();
    await this.discovery[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
  }

  private startCore(): Promise<DaemonCore> {
    const { settings, clock, random, log, platformAdapter: adapter } = this.options;
    const { retries } = settings;
    return DaemonCore.start({
      settings,
      clock,
      random,
      log,
      meter: this.processor.time,
      isStrained: () => this.processor.pressure.isStrained,
      upstreams: {
        protection: true,
        heartbeatMs: settings.heartbeatMs,
        slowStart: false,
        classes: () => this.priorityClasses,
        bounds: service => this.boundsOf(service),
        checkAddress: () => Promise.resolve(),
        onDeparture: () => void this.discovery.record(),
      },
      healthPath: service => this.healthPathOf(service),
      dialect: adapter.upstreams,
      retries: new FleetRetryBudget(clock, retries, () => this.membership.aliveCount() + 1),
      freeReroutes: 3,
      callsHaveOwnTokens: true,
      signalsEnforceDeadline: true,
      routeOf: routeFromHead,
      downstreamCallsOf: ({ name }) => this.learnedCalls.expectedFrom(name),
      attemptRetentionMs: () => ATTEMPT_RETENTION_MS,
      isPartitioned: () => false,
      scheduler: this.processor.scheduler,
      quarantineTable: adapter.quarantine,
      localService: settings.service,
      handleAsHome: () => {
        const refusal = createRefusal('innerMessageInvalid', 'This daemon does not issue request ids.');
        return Promise.resolve(singlePartResponse(refusalPart(refusal, 0)));
      },
      createConfigurationResponse: request => this.configuration.createResponse(request),
      freshness: this.organisations.freshness,
      quotas: this.organisations.quotaHandlers,
      onPeerConfiguration: (reported, peer) => this.updater.handleAnnouncement(reported, peer),
      onDelimiterEvidence: () => void this.discovery.record(),
      timeLeftMs: () => this.shutdown.timeLeftMs,
    });
  }

  private createIngress(): Relay {
    const { settings, clock, random } = this.options;
    return new Relay({
      clock,
      routes: () => this.configuration.active,
      configuration: this.configuration,
      decisionTrace: this.core.decisionTrace,
      forwarder: this.core.forwarder,
      originService: settings.service,
      running: this.core.running,
      learnedCalls: this.learnedCalls,
      chains: this.core.chains,
      authenticator: this.organisations.authenticator,
      quotaGate: this.organisations.createQuotaGate(this.core.decisionTrace),
      uploads: new Uploads(this.core.uploadBudget, random),
      pressureLevel: () => this.processor.pressure.level,
      refusesRequests: () => this.shutdown.refusesRequests,
      timeLeftMs: () => this.shutdown.timeLeftMs,
      drainEnd: this.shutdown.end,
      random,
    });
  }

  private boundsOf(service: string): UpstreamBounds {
    const routes = this.configuration.active;
    return {
      connections: routes?.service(service)?.connections,
      maxQueueMs: MAX_QUEUE_MS,
    };
  }

  private healthPathOf(service: string): string | undefined {
    return this.configuration.active?.service(service)?.healthPath;
  }

  private createDiscovery(): PeerDiscovery {
    const { settings, clock, random, log, platformAdapter: adapter } = this.options;
    return createRelayDiscovery({
      clock,
      random,
      heartbeatMs: settings.heartbeatMs,
      adapter,
      membership: this.membership,
      contact: this.platformContact,
      domainMembers: this.domainMembers,
      delimiters: this.core.delimiters,
      upstreams: this.upstreams,
      maintainsTable: () => this.updater.readers.isReader,
      healthPath: service => this.healthPathOf(service),
      markLeaving: ({ instanceId, born }) => this.markUpstreamLeaving(instanceId, born),
      log,
    });
  }

  private createDomainMembers(): DomainMembers {
    const { settings, clock } = this.options;
    return new DomainMembers({
      clock,
      membership: this.membership,
      failureDomain: settings.failureDomain,
      isComplete: () => this.discovery.isListComplete,
    });
  }

  private createUpdater(): ConfigurationUpdater {
    const { settings, clock, random, platformAdapter: adapter } = this.options;
    return new ConfigurationUpdater({
      clock,
      random,
      configuration: this.configuration,
      freshness: this.organisations.freshness,
      source: adapter.configurationSource,
      membership: this.membership,
      contact: this.platformContact,
      failureDomain: settings.failureDomain,
      proofRenewer: this.organisations.proofRenewer,
      fetch: async (peer, request) => {
        const answer = await this.core.peers.fetchConfiguration(peer, request);
        adapter.checkSections(answer.sections);
        return answer;
      },
      log: this.configurationLog,
    });
  }

  private async startListening(): Promise<void> {
    const { settings, clock, platformAdapter: adapter } = this.options;
    this.core.quarantine.start();
    this.listeners.add('callers', settings.callers, this.gateway.server);
    for (const { name, address, handle } of adapter.createListeners(this))
      this.listeners.add(name, address, createServer(handle));
    const operators = this.broker.createService(
      operatorGateway({
        ip: settings.ip,
        port: settings.operatorPort,
        upstreams: this.upstreams,
        metrics: this.metrics,
        decisionTrace: this.core.decisionTrace,
        quarantine: this.core.quarantine,
        faultHooks: undefined,
        isReady: () => this.isReady,
        organisations: () => this.organisations.counts.report,
        status: () => relayStatus(this.reportSources),
        dump: () => relayDump(this.reportSources),
        setDraining: draining => this.upstreams.setDraining(draining),
      }),
    );
    const operatorLog = this.options.log.child({ part: 'operators' });
    const log = (message: string, facts: object) => operatorLog.warn(facts, message);
    new OperatorRequests({ clock, metrics: this.metrics, log }).watch(serverOf(operators));
    await startServers(this.broker, [...this.listeners.servers, serverOf(operators)]);
    this.membership.setOperatorAddress(listenAddress(settings.ip, serverOf(operators)));
    this.membership.start();
    this.updater.start();
    this.organisations.start();
    this.discovery.start();
    void Promise.race([this.discovery.firstRoundDone, clock.sleep(DISCOVERY_TIMEOUT_MS)]).then(
      () => (this.isDiscoveryDone = true),
    );
  }

  private onConfigurationAdopted(adoption: Adoption): void {
    const announcedForMs = this.updater.announcedForMs(adoption.generation);
    logAdoption(this.configurationLog, adoption, announcedForMs, this.platformContact.facts);
    this.priorityClasses = this.configuration.active?.classes ?? 1;
    this.core.membership.setConfiguration(this.configuration);
    this.gateway.adoptConfiguration();
    this.organisations.onConfigurationAdopted();
  }

  private onRequestStart(): (refusal: Refusal | undefined) => void {
    this.inFlight++;
    const recordEnd = this.metrics.requestStarted();
    return refusal => {
      this.inFlight--;
      recordEnd(this.options.settings.service, refusal);
    };
  }

  private get reportSources(): RelayReportSources {
    const { configuration, membership, upstreams, updater } = this;
    const { router, running, chains, attempts, quarantine } = this.core;
    const core = { router, running, chains, attempts, quarantine };
    const sources = { configuration, updater, membership, upstreams, ...core };
    const { freshness, quotas } = this.organisations;
    return { ...sources, inFlight: this.inFlight, freshness, quotas };
  }
}
