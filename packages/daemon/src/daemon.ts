/** The daemon of our own interface: its parts wired together, and taken down in order. */
import {
  type CallRoute,
  Claims,
  Entry,
  Home,
  RequestIds,
  RetryAllowance,
  ownDialect,
  WorkTurns,
} from '@cleatquay/calls';
import { type Clock, type Random } from '@cleatquay/clock';
import {
  Configuration,
  ConfigurationSpread,
  ConfigurationStore,
  joinSections,
} from '@cleatquay/configuration';
import { type Membership } from '@cleatquay/membership';
import { CallGraph, type ProcessSettings } from '@cleatquay/settings';
import { NO_TABLE } from '@cleatquay/quarantine';
import { HttpStore } from '@cleatquay/store';
import { type ServiceBroker } from 'moleculer';
import { type Logger } from 'pino';
import { writeHttpParserError } from './callerAnswer.js';
import { callerGateway } from './callerGateway.js';
import { logAdoption, logDoubt, logPeerFailure } from './adoptionLog.js';
import { Core } from './core.js';
import { type ReportedParts, addGauges, dumpOf, statusOf } from './daemonReport.js';
import { Faults } from './faults.js';
import { Metrics } from './metrics.js';
import { operatorGateway } from './operatorGateway.js';
import { addressOf, serverOf, startServers } from './httpListeners.js';
import { addOrganisationGauges } from './organisationGauges.js';
import { OrganisationSide } from './organisationSide.js';
import { addQuarantineGauges } from './quarantineGauges.js';
import { quietBroker } from './quietBroker.js';
import { readersOf } from './readers.js';
import { addUpstreamGauges } from './upstreamGauges.js';
import { checkListening, checkSameVm } from './upstreamAddress.js';
import { type UpstreamBounds, type Upstreams } from './upstreams.js';

const DEFAULT_LIFETIME_MS = 600_000;
/** How long callers on kept connections have to hear of the departure, ms. */
const ANNOUNCED_MS = 500;
const DRAIN_CHECK_MS = 20;
/** How often our own upstreams announce themselves, ms. */
const HEARTBEAT_MS = 1000;
/** Longest standing delay before there is a configuration, ms. */
const DEFAULT_QUEUE_MS = 50;
/** A daemon has heard of all others so long after its start, ms. */
const JOINED_AFTER_MS = 3000;
/** As many as an operators' file may have: what counts before there is one. */
const MOST_CLASSES = 16;

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
  readonly configuration: Configuration<CallGraph>;
  private readonly faults = new Faults();
  private readonly configurationLog: Logger;
  private readonly home: Home;
  private readonly broker: ServiceBroker;
  private readonly turns: WorkTurns;
  private readonly inFlight = new Set<Promise<unknown>>();
  private readonly store: HttpStore | undefined;
  /** Made once the daemon listens for its peers. */
  private core!: Core;
  private entry!: Entry;
  private spread!: ConfigurationSpread;
  private readonly organisations: OrganisationSide;
  private callerAddress = '';
  private leaving: 'announced' | 'refusing' | undefined;

  private constructor(private readonly parts: DaemonParts) {
    const { settings, clock, log } = parts;
    this.configurationLog = log.child({ part: 'configuration' });
    this.configuration = new Configuration(
      clock,
      sections => new CallGraph(joinSections(sections)),
      adoption => {
        logAdoption(this.configurationLog, adoption);
        this.adopted();
      },
    );
    this.organisations = this.makeOrganisationSide();
    this.home = new Home(clock);
    this.store = settings.platform === undefined ? undefined : new HttpStore(settings.platform);
    this.broker = quietBroker();
    this.turns = new WorkTurns(clock, () => false);
  }

  /** Starts a daemon that serves as soon as the promise resolves. */
  static async start(parts: DaemonParts): Promise<Daemon> {
    const daemon = new Daemon(parts);
    daemon.core = await daemon.startCore();
    daemon.organisations.join(daemon.membership);
    daemon.entry = daemon.makeEntry();
    daemon.spread = daemon.makeSpread();
    addGauges(daemon.metrics, daemon.reported);
    addQuarantineGauges(daemon.metrics, daemon.core.quarantine);
    addOrganisationGauges(daemon.metrics, daemon.organisations);
    addUpstreamGauges(daemon.metrics, daemon.upstreams);
    await daemon.serve();
    return daemon;
  }

  /** This daemon's view of the fleet. */
  get membership(): Membership {
    return this.core.membership;
  }

  /** The upstreams beside this daemon. */
  get upstreams(): Upstreams {
    return this.core.upstreams;
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
    await this.organisations[Symbol.asyncDispose]();
    await this.core[Symbol.asyncDispose]();
    await this.store?.[Symbol.asyncDispose]();
  }

  private startCore(): Promise<Core> {
    const { settings, clock, random, log } = this.parts;
    const graph = () => this.configuration.inForce;
    return Core.start({
      place: settings,
      clock,
      random,
      log,
      upstreams: {
        protection: settings.protection,
        heartbeatMs: HEARTBEAT_MS,
        slowStart: true,
        classes: () => graph()?.classes ?? MOST_CLASSES,
        bounds: service => this.boundsOf(service),
        checkAddress: async address => {
          checkSameVm(address, settings.ip);
          await checkListening(address);
        },
        onDeparture: () => undefined,
      },
      healthPath: () => undefined,
      dialect: ownDialect,
      retries: new RetryAllowance(),
      freeMoves: 0,
      signalsEndInTime: false,
      routeOf: head => graph()?.find(head.service, head.method, head.path),
      callsOf: route => this.callsOf(route),
      memoryMs: () => graph()?.file.requestIdLifetimeMs ?? DEFAULT_LIFETIME_MS,
      isCut: address => this.faults.isCut(address),
      turns: this.turns,
      quarantineTable: NO_TABLE,
      service: '',
      atHome: (head, body, signal) => this.entry.handleAsHome(head, body, signal),
      configuration: question => this.configuration.answer(question),
      freshness: this.organisations.freshness,
      quotas: this.organisations.handlers,
      onConfiguration: (heard, peer) => this.spread.heard(heard, peer),
    });
  }

  private boundsOf(service: string): UpstreamBounds {
    const declared = this.configuration.inForce?.file.services[service];
    return { slots: declared?.slots, maxQueueMs: declared?.maxQueueMs ?? DEFAULT_QUEUE_MS };
  }

  private callsOf({ calls }: CallRoute): CallRoute[] {
    return calls.flatMap(name => this.configuration.inForce?.get(name) ?? []);
  }

  private makeEntry(): Entry {
    const { clock } = this.parts;
    const { core, home } = this;
    const epoch = () => core.membership.me.epoch;
    return new Entry({
      clock,
      self: core.self,
      epoch,
      graph: () => this.configuration.inForce,
      generation: () => this.configuration.generation,
      forwarder: core.forwarder,
      peers: core.peers,
      directory: core.directory,
      home,
      ids: new RequestIds(clock, core.self, epoch),
      claims: new Claims(clock, this.store),
      running: core.running,
      journal: core.journal,
      senders: this.organisations.senders,
      quotaGate: this.organisations.gate(core.journal),
    });
  }

  private adopted(): void {
    this.core.membership.setConfiguration(this.configuration);
    this.organisations.adopted();
  }

  /** It knows the fleet some time after it has joined. */
  private makeOrganisationSide(): OrganisationSide {
    const { settings, clock, random } = this.parts;
    const startedAt = clock.now();
    return new OrganisationSide({
      clock,
      random,
      configuration: this.configuration,
      keyring: () => this.configuration.inForce?.keyring,
      revocationMs: settings.revocationMs,
      failureDomain: settings.failureDomain,
      division: { failureDomains: settings.failureDomains, slack: settings.quotaSlack },
      knowsFleet: () => clock.now() - startedAt > JOINED_AFTER_MS,
      log: (message, facts) => this.configurationLog.info(facts, `Configuration: ${message}`),
    });
  }

  private makeSpread(): ConfigurationSpread {
    const { settings, clock, random } = this.parts;
    const { core } = this;
    return new ConfigurationSpread({
      clock,
      random,
      configuration: this.configuration,
      freshness: this.organisations.freshness,
      store: this.store && new ConfigurationStore(this.store, clock),
      isReader: () => readersOf(settings.failureDomain, core.membership.table.all()).includes(core.self),
      onReach: isReached => core.membership.setPlatformLost(!isReached),
      inOrder: holders => holders,
      patienceMs: () => 0,
      fetch: (peer, question) => core.peers.fetchConfiguration(peer, question),
      onPeerFailure: (peer, reason) => logPeerFailure(this.configurationLog, peer, reason),
      onDoubt: peer => logDoubt(this.configurationLog, this.configuration, peer),
    });
  }

  private async serve(): Promise<void> {
    const { settings } = this.parts;
    const callers = this.broker.createService(
      callerGateway({
        ip: settings.ip,
        port: settings.callerPort,
        entry: this.entry,
        metrics: this.metrics,
        needsKeys: () => this.organisations.needsKeys,
        leaving: () => this.leaving,
        turns: this.turns,
        track: work => this.track(work),
      }),
    );
    const operators = this.broker.createService(
      operatorGateway({
        ip: settings.ip,
        port: settings.operatorPort,
        upstreams: this.upstreams,
        metrics: this.metrics,
        journal: this.core.journal,
        quarantine: this.core.quarantine,
        faults: settings.faultHooks ? this.faults : undefined,
        isReady: () => this.configuration.generation > 0,
        organisations: () => this.organisations.counts.report,
        status: () => statusOf(this.reported),
        dump: () => dumpOf(this.reported),
        setDraining: draining => this.upstreams.setDraining(draining),
      }),
    );
    await startServers(this.broker, [serverOf(callers), serverOf(operators)]);
    const server = serverOf(callers);
    server.on('clientError', (error, socket) => writeHttpParserError(error, socket));
    this.callerAddress = addressOf(settings.ip, server);
    this.membership.setOperatorAddress(addressOf(settings.ip, serverOf(operators)));
    this.membership.start();
    this.spread.start();
    this.organisations.start();
  }

  private track<T>(work: Promise<T>): Promise<T> {
    this.inFlight.add(work);
    return work.finally(() => this.inFlight.delete(work));
  }

  private isBusy(): boolean {
    return this.inFlight.size > 0 || this.core.running.size > 0 || this.home.runningCount > 0;
  }

  private get reported(): ReportedParts {
    const { settings } = this.parts;
    const { addresses, configuration, spread, membership, upstreams, home, inFlight } = this;
    const { router, tries, running, peers, quarantine } = this.core;
    const parts = { settings, addresses, configuration, spread, membership, upstreams, router };
    return { ...parts, home, tries, running, peers, quarantine, inFlight };
  }
}
