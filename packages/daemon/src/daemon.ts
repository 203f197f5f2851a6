/** The daemon for callers of the native interface: creates its components and disposes of them in order. */
import {
  type CallRoute,
  IdempotencyKeys,
  Ingress,
  RequestDeduplicator,
  RequestIdIssuer,
  TokenBucketRetryBudget,
  defaultDialect,
  RequestScheduler,
} from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import {
  Configuration,
  ConfigurationDistribution,
  ConfigurationStore,
  joinSections,
} from '@cleatquay/configuration';
import { DomainMembers, type Membership } from '@cleatquay/membership';
import { CallGraph, type ProcessSettings } from '@cleatquay/settings';
import { NO_TABLE } from '@cleatquay/quarantine';
import { HttpStore } from '@cleatquay/store';
import { type ServiceBroker } from 'moleculer';
import { type Server } from 'node:http';
import { type Logger } from 'pino';
import { type ShutdownPhase, callerGateway } from './callerGateway.js';
import { logAdoption, logDigestMismatch, logPeerFetchFailure } from './adoptionLog.js';
import { DaemonCore } from './daemonCore.js';
import { type ReportSources, addDaemonGauges, daemonDump, daemonStatus } from './daemonReport.js';
import { type DrainReason, type Outstanding } from './drain.js';
import { FaultHooks } from './faultHooks.js';
import { Metrics } from './metrics.js';
import { operatorGateway } from './operatorGateway.js';
import { CloseLog } from './closeLog.js';
import { PipelinedRequests } from './pipelinedRequests.js';
import { UnreadBodies } from './unreadBodies.js';
import { OperatorRequests } from './operatorRequests.js';
import { listenAddress, serverOf, startServers } from './httpListeners.js';
import { addOrganisationGauges } from './organisationGauges.js';
import { OrganisationServices } from './organisationServices.js';
import { addQuarantineGauges } from './quarantineGauges.js';
import { createBroker } from './createBroker.js';
import { PlatformReaders } from './platformReaders.js';
import { flushResponses } from './responseFlush.js';
import { SourceContact } from './sourceContact.js';
import { addUpstreamGauges } from './upstreamGauges.js';
import { checkListening, checkSameVm } from './upstreamAddress.js';
import { type UpstreamBounds, type Upstreams } from './upstreams.js';

const DEFAULT_REQUEST_ID_LIFETIME_MS = 600_000;
/** Time in which callers on keep-alive connections learn of the shutdown before requests are refused, ms. */
const SHUTDOWN_NOTICE_MS = 500;
const DRAIN_POLL_MS = 20;
/** Interval of the announcements of upstreams that use the native interface, ms. */
const HEARTBEAT_MS = 1000;
/** Upper bound of the queueing delay before there is a configuration, ms. */
const DEFAULT_MAX_QUEUE_MS = 50;
/** Time after the start from which a daemon is assumed to know all other members, ms. */
const FLEET_DISCOVERY_MS = 3000;
/** The same for a daemon that can reach none of its seeds, which may only be partitioned from them, ms. */
const MAX_FLEET_DISCOVERY_MS = 60_000;
/** Upper bound of the priority classes in an operator file; applies until a configuration is active. */
const MAX_CLASSES = 16;

/** Dependencies of a daemon. */
export interface DaemonOptions {
  readonly settings: ProcessSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
}

/** A running daemon. */
export class Daemon implements AsyncDisposable {
  readonly metrics = new Metrics();
  readonly configuration: Configuration<CallGraph>;
  private readonly faultHooks = new FaultHooks();
  private readonly configurationLog: Logger;
  private readonly deduplicator: RequestDeduplicator;
  private readonly broker: ServiceBroker;
  private readonly scheduler: RequestScheduler;
  private readonly inFlight = new Set<Promise<unknown>>();
  private readonly store: HttpStore | undefined;
  /** Set once the daemon listens for its peers. */
  private core!: DaemonCore;
  private domainMembers!: DomainMembers;
  private ingress!: Ingress;
  private readers!: PlatformReaders;
  private contact!: SourceContact;
  private distribution!: ConfigurationDistribution;
  private readonly organisations: OrganisationServices;
  private callerAddress = '';
  private servers: readonly Server[] = [];
  private readonly closeLog: CloseLog;
  private shutdownPhase: ShutdownPhase | undefined;

  private constructor(private readonly options: DaemonOptions) {
    const { settings, clock, log } = options;
    this.configurationLog = log.child({ part: 'configuration' });
    this.configuration = new Configuration(
      clock,
      sections => new CallGraph(joinSections(sections)),
      adoption => {
        logAdoption(this.configurationLog, adoption, this.distribution.announcedForMs(adoption.generation));
        this.onConfigurationAdopted();
      },
    );
    this.organisations = this.createOrganisationServices();
    this.deduplicator = new RequestDeduplicator(clock);
    this.store = settings.platform === undefined ? undefined : new HttpStore(settings.platform);
    this.broker = createBroker();
    this.scheduler = new RequestScheduler(clock, () => false);
    this.closeLog = new CloseLog({
      lagMs: () => this.scheduler.waitMs(),
      log: (message, facts) => log.info(facts, message),
    });
  }

  /** Starts a daemon, which serves requests once the promise resolves. */
  static async start(options: DaemonOptions): Promise<Daemon> {
    const daemon = new Daemon(options);
    daemon.core = await daemon.startCore();
    daemon.domainMembers = daemon.createDomainMembers();
    daemon.organisations.connect(daemon.membership);
    daemon.ingress = daemon.createIngress();
    daemon.readers = daemon.createReaders();
    daemon.contact = daemon.createContact();
    daemon.distribution = daemon.createDistribution();
    addDaemonGauges(daemon.metrics, daemon.reportSources);
    addQuarantineGauges(daemon.metrics, daemon.core.quarantine);
    addOrganisationGauges(daemon.metrics, daemon.organisations);
    addUpstreamGauges(daemon.metrics, daemon.upstreams);
    await daemon.startListening();
    return daemon;
  }

  /** This daemon's view of the fleet's members. */
  get membership(): Membership {
    return this.core.membership;
  }

  /** Requests that have no response yet. */
  get outstanding(): Outstanding {
    return { inFlight: this.inFlight.size, running: this.core.running.size };
  }

  /** The upstreams on the same VM. */
  get upstreams(): Upstreams {
    return this.core.upstreams;
  }

  /** Addresses for callers, peers and operators, ip:port. */
  get addresses(): { caller: string; inner: string; gossip: string; operator: string } {
    const { address, gossipAddress, operatorAddress } = this.membership.me;
    return { caller: this.callerAddress, inner: address, gossip: gossipAddress, operator: operatorAddress };
  }

  /**
   * Announces the shutdown to peers and callers, then refuses new requests as not run and waits for those in flight. After a failure, new requests are
   * refused at once.
   */
  async drain(reason: DrainReason = 'planned'): Promise<void> {
    const { clock, settings } = this.options;
    this.upstreams.setDraining(true);
    this.shutdownPhase = 'announced';
    if (reason === 'planned') await clock.sleep(SHUTDOWN_NOTICE_MS);
    this.shutdownPhase = 'refusing';
    const deadline = clock.now() + settings.drainMs;
    while (this.isBusy() && clock.now() < deadline) await clock.sleep(DRAIN_POLL_MS);
    this.shutdownPhase = 'ended';
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.membership.leave();
    await this.closeConnections();
    await this.broker.stop();
    await this.contact[Symbol.asyncDispose]();
    await this.distribution[Symbol.asyncDispose]();
    await this.organisations[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
    await this.store?.[Symbol.asyncDispose]();
  }

  /** A server that closes would wait for connections that no request has used, and for requests that the drain did not wait for. */
  private async closeConnections(): Promise<void> {
    for (const server of this.servers) server.close();
    await flushResponses(this.options.clock, () => this.inFlight.size > 0);
    this.closeLog.endDrain();
    for (const server of this.servers) server.closeAllConnections();
  }

  private startCore(): Promise<DaemonCore> {
    const { settings, clock, random, log } = this.options;
    const graph = () => this.configuration.active;
    return DaemonCore.start({
      settings,
      clock,
      random,
      log,
      upstreams: {
        protection: settings.protection,
        heartbeatMs: HEARTBEAT_MS,
        slowStart: true,
        classes: () => graph()?.classes ?? MAX_CLASSES,
        bounds: service => this.boundsOf(service),
        checkAddress: async address => {
          checkSameVm(address, settings.ip);
          await checkListening(address);
        },
        onDeparture: () => undefined,
      },
      healthPath: () => undefined,
      dialect: defaultDialect,
      retries: new TokenBucketRetryBudget(),
      freeReroutes: 0,
      callsHaveOwnTokens: false,
      signalsEnforceDeadline: false,
      routeOf: head => graph()?.find(head.service, head.method, head.path),
      downstreamCallsOf: route => this.downstreamCallsOf(route),
      attemptRetentionMs: () => graph()?.file.requestIdLifetimeMs ?? DEFAULT_REQUEST_ID_LIFETIME_MS,
      isPartitioned: address => this.faultHooks.isPartitioned(address),
      scheduler: this.scheduler,
      quarantineTable: NO_TABLE,
      localService: '',
      handleAsHome: (head, body, signal) => this.ingress.handleAsHome(head, body, signal),
      createConfigurationResponse: request => this.configuration.createResponse(request),
      freshness: this.organisations.freshness,
      quotas: this.organisations.quotaHandlers,
      onPeerConfiguration: (reported, peer) => this.distribution.handleAnnouncement(reported, peer),
    });
  }

  private boundsOf(service: string): UpstreamBounds {
    const declared = this.configuration.active?.file.services[service];
    return { slots: declared?.slots, maxQueueMs: declared?.maxQueueMs ?? DEFAULT_MAX_QUEUE_MS };
  }

  private downstreamCallsOf({ calls }: CallRoute): CallRoute[] {
    return calls.flatMap(name => this.configuration.active?.get(name) ?? []);
  }

  private createIngress(): Ingress {
    const { clock } = this.options;
    const { core, deduplicator } = this;
    return new Ingress({
      clock,
      self: core.self,
      process: core.process,
      graph: () => this.configuration.active,
      generation: () => this.configuration.generation,
      forwarder: core.forwarder,
      peers: core.peers,
      directory: core.directory,
      deduplicator,
      ids: new RequestIdIssuer(clock, core.self, core.process),
      idempotencyKeys: new IdempotencyKeys(clock, this.store),
      running: core.running,
      decisionTrace: core.decisionTrace,
      authenticator: this.organisations.authenticator,
      quotaGate: this.organisations.createQuotaGate(core.decisionTrace),
    });
  }

  private onConfigurationAdopted(): void {
    this.core.membership.setConfiguration(this.configuration);
    this.organisations.onConfigurationAdopted();
  }

  private createOrganisationServices(): OrganisationServices {
    const { settings, clock, random } = this.options;
    return new OrganisationServices({
      clock,
      random,
      configuration: this.configuration,
      keyring: () => this.configuration.active?.keyring,
      revocationMs: settings.revocationMs,
      failureDomain: settings.failureDomain,
      division: { failureDomains: settings.failureDomains, slack: settings.quotaSlack },
      shareCount: () => this.domainMembers.count,
      log: (message, facts) => this.configurationLog.info(facts, `Configuration: ${message}`),
    });
  }

  /** The daemon is assumed to know the fleet some time after its start, if it has met anybody of it. */
  private createDomainMembers(): DomainMembers {
    const { settings, clock } = this.options;
    const { membership } = this;
    const startedAt = clock.now();
    const hasOtherSeeds = settings.seeds.some(seed => seed !== membership.me.gossipAddress);
    return new DomainMembers({
      clock,
      membership,
      failureDomain: settings.failureDomain,
      isComplete: () => {
        const ageMs = clock.now() - startedAt;
        const isInTouch = !hasOtherSeeds || membership.aliveCount() > 0;
        return ageMs > (isInTouch ? FLEET_DISCOVERY_MS : MAX_FLEET_DISCOVERY_MS);
      },
    });
  }

  private createReaders(): PlatformReaders {
    const { settings, clock } = this.options;
    return new PlatformReaders(clock, this.membership, settings.failureDomain);
  }

  private createContact(): SourceContact {
    const { clock, random } = this.options;
    const { readers, membership } = this;
    return new SourceContact({ clock, random, readers, membership });
  }

  private createDistribution(): ConfigurationDistribution {
    const { clock, random } = this.options;
    const { core } = this;
    return new ConfigurationDistribution({
      clock,
      random,
      configuration: this.configuration,
      freshness: this.organisations.freshness,
      store: this.store && new ConfigurationStore(this.store, clock),
      isReader: () => this.readers.isReader || this.readers.isUninformed,
      onReachability: isReachable => core.membership.setPlatformLost(!isReachable),
      fetchOrder: candidates => candidates,
      fetchDelayMs: () => 0,
      fetch: (peer, request) => core.peers.fetchConfiguration(peer, request),
      onPeerFailure: (peer, reason) => logPeerFetchFailure(this.configurationLog, peer, reason),
      onDigestMismatch: peer => logDigestMismatch(this.configurationLog, this.configuration, peer),
    });
  }

  private async startListening(): Promise<void> {
    const { settings, clock, log } = this.options;
    const warn = (message: string, facts: object) => log.warn(facts, message);
    const callers = this.broker.createService(
      callerGateway({
        ip: settings.ip,
        port: settings.callerPort,
        clock,
        ingress: this.ingress,
        metrics: this.metrics,
        closeLog: this.closeLog,
        unreadBodies: new UnreadBodies({ clock, metrics: this.metrics, log: warn }),
        pipelined: new PipelinedRequests(warn),
        needsKeys: () => this.organisations.needsKeys,
        shutdownPhase: () => this.shutdownPhase,
        scheduler: this.scheduler,
        trackInFlight: work => this.trackInFlight(work),
      }),
    );
    const operators = this.broker.createService(
      operatorGateway({
        ip: settings.ip,
        port: settings.operatorPort,
        upstreams: this.upstreams,
        metrics: this.metrics,
        decisionTrace: this.core.decisionTrace,
        quarantine: this.core.quarantine,
        faultHooks: settings.faultHooks ? this.faultHooks : undefined,
        isReady: () => this.shutdownPhase === undefined && this.configuration.generation > 0,
        organisations: () => this.organisations.counts.report,
        status: () => daemonStatus(this.reportSources),
        dump: () => daemonDump(this.reportSources),
        setDraining: draining => this.upstreams.setDraining(draining),
      }),
    );
    new OperatorRequests({ clock, metrics: this.metrics, log: warn }).watch(serverOf(operators));
    this.servers = [serverOf(callers), serverOf(operators)];
    await startServers(this.broker, this.servers);
    const server = serverOf(callers);
    this.callerAddress = listenAddress(settings.ip, server);
    this.membership.setOperatorAddress(listenAddress(settings.ip, serverOf(operators)));
    this.membership.start();
    this.distribution.start();
    this.contact.start();
    this.organisations.start();
  }

  private trackInFlight<T>(work: Promise<T>): Promise<T> {
    this.inFlight.add(work);
    return work.finally(() => this.inFlight.delete(work));
  }

  private isBusy(): boolean {
    return this.inFlight.size > 0 || this.core.running.size > 0 || this.deduplicator.runningCount > 0;
  }

  private get reportSources(): ReportSources {
    const { settings } = this.options;
    const { addresses, configuration, distribution, membership, upstreams, deduplicator, inFlight } = this;
    const { router, attempts, running, peers, quarantine } = this.core;
    const sources = { settings, addresses, configuration, distribution, membership, upstreams, router };
    return { ...sources, deduplicator, attempts, running, peers, quarantine, inFlight };
  }
}
