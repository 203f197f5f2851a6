/** What every daemon has, whichever protocol its callers use: membership, the peer protocol and the local upstreams. */
import {
  type ResponseNotice,
  type CallResponse,
  type CallBody,
  type CallHandler,
  type CallRoute,
  type Reachability,
  Forwarder,
  PeerServer,
  DecisionTrace,
  Peers,
  ProcessIdentity,
  type RetryBudget,
  RoomWaits,
  RunningCalls,
  CallChains,
  AttemptRegistry,
  type UpstreamDialect,
  type UpstreamCrash,
  CrashDetector,
  DelimiterHistory,
  UpstreamDispatcher,
  StreamPacer,
  type RequestScheduler,
  type UploadBudget,
  withUploadIntake,
} from '@cleatquay/calls';
import { type CancelSignal, type Clock, type Random, type WorkMeter } from '@cleatquay/clock';
import { Quarantine, type QuarantineTable } from '@cleatquay/quarantine';
import { type Freshness, type Moment } from '@cleatquay/configuration';
import {
  type KnownConfiguration,
  Membership,
  type Proofs,
  type QuotaHandlers,
  UdpDatagrams,
} from '@cleatquay/membership';
import {
  type ConfigurationAnswer,
  type ConfigurationRequest,
  type Member,
  type RequestHead,
} from '@cleatquay/protocol';
import { type Candidate, UpstreamDirectory, Router } from '@cleatquay/routing';
import { type Logger } from 'pino';
import { DecisionLog } from './decisionLog.js';
import { BufferCollector } from './bufferCollector.js';
import { createUploadBudget } from './uploadMemory.js';
import { checkHealth } from './upstreamHealth.js';
import { Upstreams } from './upstreams.js';
import { type HealthCheckTarget, type UpstreamsOptions } from './upstreamsOptions.js';

/** Delay until the connection and state of a peer that is DEAD or LEFT are dropped, ms: calls to it may still be in flight. */
const FORGET_PEER_DELAY_MS = 60_000;
/** How long a partition check is cached, ms: a fraction of the 300 ms after which a peer counts as unresponsive. */
const PARTITION_CACHE_MS = 50;
/** How long a downstream level is cached, ms: less than a round trip, since a new one arrives after that at the earliest. */
const DOWNSTREAM_LEVEL_CACHE_MS = 5;

/** Maximum number of requests that the log line about the crash of an upstream names, the last ones. */
const MAX_LOGGED_REQUESTS = 10;
const CRASH_MESSAGE = 'Upstreams: An upstream crashed with requests in flight.';

/** Network settings of a daemon, and its failure domain. */
export interface CoreSettings {
  readonly ip: string;
  readonly failureDomain: string;
  readonly innerPort: number;
  readonly gossipPort: number;
  /** Gossip addresses of members to join through. */
  readonly seeds: readonly string[];
}

/** Dependencies of a daemon core. */
export interface CoreOptions {
  readonly settings: CoreSettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  /** Measures the handlers of links. */
  readonly meter?: WorkMeter;
  /** Whether this process lacks processor time; it never does by default. */
  readonly isStrained?: () => boolean;
  readonly upstreams: Pick<
    UpstreamsOptions,
    'protection' | 'heartbeatMs' | 'slowStart' | 'classes' | 'bounds' | 'checkAddress' | 'onDeparture'
  >;
  /** Health check path of a service's upstreams; undefined if they have none. */
  readonly healthPath: (service: string) => string | undefined;
  readonly dialect: UpstreamDialect;
  readonly retries: RetryBudget;
  /** Maximum number of refusals by peers after which a call is rerouted without spending a retry. */
  readonly freeReroutes: number;
  /** Whether the calls of a run have retry tokens of their own. */
  readonly callsHaveOwnTokens: boolean;
  /** Whether the signals given to the forwarder abort at the deadline of the call. */
  readonly signalsEnforceDeadline: boolean;
  readonly routeOf: (head: RequestHead) => CallRoute | undefined;
  /** The calls that executions of the route make, as far as known. */
  readonly downstreamCallsOf: (route: CallRoute) => readonly Pick<CallRoute, 'name' | 'service'>[];
  /** How long the record of an attempt is kept, ms. */
  readonly attemptRetentionMs: () => number;
  /** Whether traffic to and from the address is dropped (fault hook). */
  readonly isPartitioned: (address: string) => boolean;
  /** Bounds the request starts per event loop iteration; shared with the caller API. */
  readonly scheduler: RequestScheduler;
  /** Persists the quarantine's state. */
  readonly quarantineTable: QuarantineTable;
  /** Service of the local upstream; empty for any. */
  readonly localService: string;
  /** Handles a call that is sent to this daemon as the home daemon of its request id. */
  readonly handleAsHome: CallHandler;
  readonly createConfigurationResponse: (request: ConfigurationRequest) => ConfigurationAnswer;
  /** When the configuration was last known to be the newest; absent if nothing depends on it. */
  readonly freshness?: Freshness;
  readonly quotas?: QuotaHandlers;
  /** Called when what is known of how services delimit their responses changes. */
  readonly onDelimiterEvidence?: () => void;
  /** Time until this daemon stops waiting for requests in flight, ms; infinite if absent. */
  readonly timeLeftMs?: () => number;
  /** Called with the configuration that a peer reports; the peer is named by its peer protocol address. */
  readonly onPeerConfiguration: (configuration: KnownConfiguration, peer: string) => void;
}

/** Creates and connects the components that all daemons share. */
export class DaemonCore implements AsyncDisposable {
  readonly decisionTrace: DecisionTrace;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly directory = new UpstreamDirectory();
  readonly attempts: AttemptRegistry;
  readonly delimiters: DelimiterHistory;
  readonly running = new RunningCalls();
  readonly chains: CallChains;
  readonly quarantine: Quarantine;
  readonly peers: Peers;
  readonly router: Router;
  readonly upstreamDispatcher: UpstreamDispatcher;
  readonly forwarder: Forwarder;
  readonly uploadBudget: UploadBudget;
  /** Handles calls for the local upstreams. */
  private readonly dispatch: CallHandler;
  private readonly downstreamLevels = new Map<string, { readonly at: number; readonly level: number }>();
  private readonly partitionChecks = new Map<
    string,
    { readonly at: number; readonly isPartitioned: boolean }
  >();

  private constructor(
    private readonly options: CoreOptions,
    /** Identifies this process of the daemon. */
    readonly process: ProcessIdentity,
    private readonly peerServer: PeerServer,
    private readonly datagrams: UdpDatagrams,
    /** ip:port of the peer protocol; identifies the daemon. */
    readonly self: string,
  ) {
    const { settings, clock, random, log, isPartitioned } = options;
    const membershipLog = log.child({ part: 'membership' });
    const upstreamsLog = log.child({ part: 'upstreams' });
    const quarantineLog = log.child({ part: 'quarantine' });
    this.quarantine = new Quarantine({
      clock,
      random,
      table: options.quarantineTable,
      service: options.localService,
      broadcast: finding => this.membership.broadcast(finding),
      log: (message, facts) => quarantineLog.warn(facts, `Quarantine: ${message}`),
    });
    this.membership = new Membership({
      clock,
      random,
      datagrams,
      seeds: settings.seeds,
      isPartitioned,
      self: {
        address: self,
        gossipAddress: datagrams.address,
        operatorAddress: '',
        failureDomain: settings.failureDomain,
        epoch: clock.date().getTime(),
      },
      findings: {
        digest: () => this.quarantine.digest,
        verdicts: () => this.quarantine.findings,
        receive: finding => this.quarantine.handleFinding(finding),
      },
      ...(options.quotas && { quotas: options.quotas }),
      ...(options.freshness && { proofs: freshnessProofs(options.freshness) }),
      onConfiguration: (configuration, from) => this.onPeerConfiguration(configuration, from),
      onChange: member => {
        const { address, state, epoch, incarnation } = member;
        membershipLog.info({ address, state, epoch, incarnation }, 'Membership: A member changed.');
        this.onMemberChange(member);
      },
    });
    const collector = new BufferCollector();
    const pacer = new StreamPacer(clock, collector.checkStreams);
    this.upstreams = new Upstreams({
      ...options.upstreams,
      clock,
      random,
      pacer,
      onChange: list => this.announceUpstreams(list),
      fetchNotice: (service, address) => this.queryNotice(service, address),
      loadChecks: {
        isConfigured: service => options.healthPath(service) !== undefined,
        fetch: target => this.queryLoad(target),
      },
      log: (message, facts) => upstreamsLog.info(facts, `Upstreams: ${message}`),
    });
    const requests = new DecisionLog(clock, log.child({ part: 'requests' }));
    this.decisionTrace = new DecisionTrace(clock, requests.write);
    this.chains = new CallChains(clock, random, this.decisionTrace, options.isStrained);
    this.attempts = new AttemptRegistry(clock, options.attemptRetentionMs);
    this.delimiters = new DelimiterHistory(options.onDelimiterEvidence);
    const onLinkLost = (address: string) => this.forwarder.notices.linkEnded(address);
    this.peers = new Peers(clock, isPartitioned, pacer, onLinkLost, options.meter);
    this.router = new Router({
      clock,
      random,
      directory: this.directory,
      self,
      failureDomain: settings.failureDomain,
      reachabilityOf: candidate => this.reachabilityOf(candidate),
    });
    this.upstreamDispatcher = new UpstreamDispatcher({
      clock,
      process,
      epoch: () => this.membership.me.epoch,
      routeOf: options.routeOf,
      dialect: options.dialect,
      upstream: service => this.upstreams.get(service),
      onNotice: (service, notice) => this.upstreams.applyPeerNotice(service, notice),
      downstreamLevel: route => this.downstreamLevel(route),
      attempts: this.attempts,
      delimiters: this.delimiters,
      running: this.running,
      crashDetector: new CrashDetector({
        clock,
        running: this.running,
        onCrash: crash => this.onCrash(crash),
      }),
      quarantine: this.quarantine,
      decisionTrace: this.decisionTrace,
      chains: this.chains,
      timeLeftMs: options.timeLeftMs ?? (() => Number.POSITIVE_INFINITY),
      meter: options.meter,
    });
    this.uploadBudget = createUploadBudget(clock, log, collector);
    this.dispatch = withUploadIntake(
      (head, body, signal) => this.upstreamDispatcher.handle(head, body, signal),
      { budget: this.uploadBudget, random, decisionTrace: this.decisionTrace },
    );
    this.forwarder = new Forwarder({
      clock,
      random,
      router: this.router,
      peers: this.peers,
      retries: options.retries,
      freeReroutes: options.freeReroutes,
      callsHaveOwnTokens: options.callsHaveOwnTokens,
      roomWaits: new RoomWaits(clock, random),
      signalsEnforceDeadline: options.signalsEnforceDeadline,
      quarantine: this.quarantine,
      decisionTrace: this.decisionTrace,
      self,
      local: this.dispatch,
      meter: options.meter,
    });
  }

  /** Starts to listen for peers; `membership.start` joins the fleet. */
  static async start(options: CoreOptions): Promise<DaemonCore> {
    const { ip, innerPort, gossipPort } = options.settings;
    const datagrams = await UdpDatagrams.bind(ip, gossipPort);
    const started: { core?: DaemonCore } = {};
    const process = new ProcessIdentity(options.clock);
    const server = new PeerServer({
      clock: options.clock,
      process,
      exchange: (head, body, signal) => requireCore(started).exchange(head, body, signal),
      seal: request => requireCore(started).upstreamDispatcher.seal(request),
      configuration: options.createConfigurationResponse,
      scheduler: options.scheduler,
      meter: options.meter,
    });
    const port = await server.listen(ip, innerPort);
    started.core = new DaemonCore(options, process, server, datagrams, `${ip}:${String(port)}`);
    return started.core;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.peerServer[Symbol.asyncDispose]();
    await this.quarantine[Symbol.asyncDispose]();
    await this.membership[Symbol.asyncDispose]();
    await this.datagrams[Symbol.asyncDispose]();
    this.peers[Symbol.dispose]();
    await this.upstreams[Symbol.asyncDispose]();
  }

  private onCrash({ start, requests }: UpstreamCrash): Promise<void> {
    const logged = requests.slice(-MAX_LOGGED_REQUESTS);
    this.options.log.warn(
      { part: 'upstreams', start, running: requests.length, requests: logged },
      CRASH_MESSAGE,
    );
    return this.quarantine.recordLocalCrash(start, requests);
  }

  private exchange(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallResponse> {
    const isToHome = head.context?.toHome === true;
    return isToHome ? this.options.handleAsHome(head, body, signal) : this.dispatch(head, body, signal);
  }

  private async queryNotice(service: string, address: string): Promise<ResponseNotice | undefined> {
    const path = this.options.healthPath(service);
    if (path === undefined) return undefined;
    return this.options.dialect.noticeOf((await checkHealth(address, path)).headers);
  }

  /** Rejects if another instance responds, which has none of the requests of this one. */
  private async queryLoad({ service, address, instanceId }: HealthCheckTarget) {
    const { healthPath, dialect } = this.options;
    const { headers } = await checkHealth(address, healthPath(service) ?? '/');
    const responding = dialect.instanceOf(headers) ?? instanceId;
    if (instanceId !== '' && responding !== instanceId)
      throw new Error('Another instance responded to the health check.');
    return dialect.loadOf(headers);
  }

  private reachabilityOf({ address, failureDomain }: Candidate): Reachability {
    if (address === this.self) return 'good';
    const reachability = this.peers.reachabilityOf(address);
    if (reachability !== 'good' || failureDomain === this.options.settings.failureDomain) return reachability;
    return this.isPartitionedFrom(failureDomain) ? 'silent' : 'good';
  }

  /** Whether a failure domain seems to be partitioned from this daemon; cached, since every routing decision checks it. */
  private isPartitionedFrom(failureDomain: string): boolean {
    const now = this.options.clock.now();
    const cached = this.partitionChecks.get(failureDomain);
    if (cached && now - cached.at < PARTITION_CACHE_MS) return cached.isPartitioned;
    const members = [...this.membership.table.all()].filter(m => m.failureDomain === failureDomain);
    const isPartitioned = this.peers.arePartitioned(members.map(m => m.address));
    this.partitionChecks.set(failureDomain, { at: now, isPartitioned });
    return isPartitioned;
  }

  private announceUpstreams(list: ReturnType<Upstreams['list']>): void {
    this.membership.setUpstreams(list);
    this.directory.update(this.membership.me);
  }

  private onMemberChange(member: Member): void {
    this.directory.update(member);
    const isGone = member.state === 'DEAD' || member.state === 'LEFT';
    if (isGone) this.options.clock.after(FORGET_PEER_DELAY_MS, () => this.forgetPeer(member));
  }

  private forgetPeer({ address, epoch }: Member): void {
    const current = this.membership.table.get(address);
    if (current?.epoch !== epoch || current.state === 'ALIVE' || current.state === 'SUSPECT') return;
    this.peers.forget(address);
    this.router.forget(address);
    this.forwarder.notices.forget(address);
  }

  private onPeerConfiguration(configuration: KnownConfiguration, from: string): void {
    const peer = this.membership.table.getByGossipAddress(from)?.address;
    if (peer !== undefined) this.options.onPeerConfiguration(configuration, peer);
  }

  /** Lowest admission level of the services that the route calls; cached, since every response carries it. */
  private downstreamLevel(route: CallRoute): number {
    const now = this.options.clock.now();
    const cached = this.downstreamLevels.get(route.name);
    if (cached && now - cached.at < DOWNSTREAM_LEVEL_CACHE_MS) return cached.level;
    const levels = this.options
      .downstreamCallsOf(route)
      .map(({ service, name }) => this.router.admissionLevelFor(service, name));
    const level = Math.min(Number.MAX_VALUE, ...levels);
    this.downstreamLevels.set(route.name, { at: now, level });
    return level;
  }
}

function freshnessProofs(freshness: Freshness): Proofs<Moment> {
  return {
    ageMs: () => freshness.ageMs,
    captureContext: () => freshness.moment(),
    receive: (proof, requestedAt) => freshness.receiveProof(proof, requestedAt),
  };
}

function requireCore({ core }: { core?: DaemonCore }): DaemonCore {
  if (core) return core;
  throw new Error('The daemon is still starting.');
}
