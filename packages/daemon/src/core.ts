/** What every daemon has, whatever its callers speak: membership, the inner protocol, and the upstreams beside it. */
import {
  type AnswerNotice,
  type CallAnswer,
  type CallBody,
  type CallHandler,
  type CallRoute,
  type Contact,
  Forwarder,
  InnerServer,
  Journal,
  Peers,
  type RetryBudget,
  RunningCalls,
  TryMemory,
  type UpstreamDialect,
  type UpstreamEnd,
  UpstreamEnds,
  UpstreamSide,
  type WorkTurns,
} from '@cleatquay/calls';
import { type CancelSignal, type Clock, type Random } from '@cleatquay/clock';
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
import { type Candidate, Directory, Router } from '@cleatquay/routing';
import { type Logger } from 'pino';
import { DecisionLog } from './decisionLog.js';
import { askHealth } from './upstreamHealth.js';
import { Upstreams, type UpstreamsOptions } from './upstreams.js';

/** Calls to a leaving peer may still be in flight; its connection is closed so much later, ms. */
const FORGET_PEER_MS = 60_000;
/** How long a finding on a failure domain holds, ms: a fraction of the 300 ms after which a peer counts as silent. */
const CUT_OFF_HOLDS_MS = 50;
/** How long the level of a route's calls holds, ms: less than a round trip, after which there may be a new one. */
const LEVEL_HOLDS_MS = 5;

/** Requests that a line names of those that ran where an upstream ended. */
const SHOWN_REQUESTS = 10;
const ENDED = 'Upstreams: An upstream ended with requests running.';

/** Where a daemon stands and listens for its peers. */
export interface CorePlace {
  readonly ip: string;
  readonly failureDomain: string;
  readonly innerPort: number;
  readonly gossipPort: number;
  /** Gossip addresses to join by. */
  readonly seeds: readonly string[];
}

/** What a core is made from. */
export interface CoreOptions {
  readonly place: CorePlace;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly upstreams: Pick<
    UpstreamsOptions,
    'protection' | 'heartbeatMs' | 'slowStart' | 'classes' | 'bounds' | 'checkAddress' | 'onDeparture'
  >;
  /** Path of the health check of a service's upstreams; undefined if they have none. */
  readonly healthPath: (service: string) => string | undefined;
  readonly dialect: UpstreamDialect;
  readonly retries: RetryBudget;
  readonly freeMoves: number;
  /** Whether callers of the forwarder give calls up when their time is up. */
  readonly signalsEndInTime: boolean;
  readonly routeOf: (head: RequestHead) => CallRoute | undefined;
  /** The calls that a run of the route makes, as far as is known. */
  readonly callsOf: (route: CallRoute) => readonly Pick<CallRoute, 'name' | 'service'>[];
  /** How long a try is remembered, ms. */
  readonly memoryMs: () => number;
  readonly isCut: (address: string) => boolean;
  /** The turns of this process, shared with what callers ask of it. */
  readonly turns: WorkTurns;
  /** Keeps what is known of requests under which upstreams end. */
  readonly quarantineTable: QuarantineTable;
  /** Service of the upstream beside this daemon; empty for any. */
  readonly service: string;
  /** Serves a call that is meant for this daemon as the home of its id. */
  readonly atHome: CallHandler;
  readonly configuration: (request: ConfigurationRequest) => ConfigurationAnswer;
  /** How lately the configuration was the newest, where that is of use. */
  readonly freshness?: Freshness;
  readonly quotas?: QuotaHandlers;
  /** A peer, by its inner address, says which configuration it has. */
  readonly onConfiguration: (configuration: KnownConfiguration, peer: string) => void;
}

/** The parts that all daemons share, wired together. */
export class Core implements AsyncDisposable {
  readonly journal: Journal;
  readonly membership: Membership;
  readonly upstreams: Upstreams;
  readonly directory = new Directory();
  readonly tries: TryMemory;
  readonly running = new RunningCalls();
  readonly quarantine: Quarantine;
  readonly peers: Peers;
  readonly router: Router;
  readonly upstreamSide: UpstreamSide;
  readonly forwarder: Forwarder;
  private readonly levels = new Map<string, { readonly at: number; readonly level: number }>();
  private readonly cutOff = new Map<string, { readonly at: number; readonly isCutOff: boolean }>();

  private constructor(
    private readonly options: CoreOptions,
    private readonly inner: InnerServer,
    private readonly datagrams: UdpDatagrams,
    /** ip:port of the inner protocol, which names the daemon. */
    readonly self: string,
  ) {
    const { place, clock, random, log, isCut } = options;
    const membershipLog = log.child({ part: 'membership' });
    const upstreamsLog = log.child({ part: 'upstreams' });
    const quarantineLog = log.child({ part: 'quarantine' });
    this.quarantine = new Quarantine({
      clock,
      random,
      table: options.quarantineTable,
      service: options.service,
      spread: finding => this.membership.spread(finding),
      log: (message, facts) => quarantineLog.warn(facts, `Quarantine: ${message}`),
    });
    this.membership = new Membership({
      clock,
      random,
      datagrams,
      seeds: place.seeds,
      isCut,
      self: {
        address: self,
        gossipAddress: datagrams.address,
        operatorAddress: '',
        failureDomain: place.failureDomain,
        epoch: clock.date().getTime(),
      },
      findings: {
        digest: () => this.quarantine.digest,
        verdicts: () => this.quarantine.findings,
        heard: finding => this.quarantine.heard(finding),
      },
      ...(options.quotas && { quotas: options.quotas }),
      ...(options.freshness && { proofs: proofsOf(options.freshness) }),
      onConfiguration: (configuration, from) => this.heardConfiguration(configuration, from),
      onChange: member => {
        const { address, state, epoch, incarnation } = member;
        membershipLog.info({ address, state, epoch, incarnation }, 'Membership: A member changed.');
        this.memberChanged(member);
      },
    });
    this.upstreams = new Upstreams({
      ...options.upstreams,
      clock,
      random,
      onChange: list => this.announceUpstreams(list),
      askNotice: (service, address) => this.askNotice(service, address),
      log: (message, facts) => upstreamsLog.info(facts, `Upstreams: ${message}`),
    });
    const requests = new DecisionLog(clock, log.child({ part: 'requests' }));
    this.journal = new Journal(clock, requests.write);
    this.tries = new TryMemory(clock, options.memoryMs);
    this.peers = new Peers(clock, isCut);
    this.router = new Router({
      clock,
      random,
      directory: this.directory,
      self,
      failureDomain: place.failureDomain,
      contactOf: candidate => this.contactOf(candidate),
    });
    this.upstreamSide = new UpstreamSide({
      clock,
      epoch: () => this.membership.me.epoch,
      routeOf: options.routeOf,
      dialect: options.dialect,
      upstream: service => this.upstreams.get(service),
      told: (service, notice) => this.upstreams.told(service, notice),
      levelBelow: route => this.levelBelow(route),
      tries: this.tries,
      running: this.running,
      ends: new UpstreamEnds({ clock, running: this.running, onEnd: end => this.upstreamEnded(end) }),
      quarantine: this.quarantine,
      journal: this.journal,
    });
    this.forwarder = new Forwarder({
      clock,
      random,
      router: this.router,
      peers: this.peers,
      retries: options.retries,
      freeMoves: options.freeMoves,
      signalsEndInTime: options.signalsEndInTime,
      quarantine: this.quarantine,
      journal: this.journal,
      self,
      local: (head, body, signal) => this.upstreamSide.handle(head, body, signal),
    });
  }

  /** Listens for peers; `membership.start` joins them. */
  static async start(options: CoreOptions): Promise<Core> {
    const { ip, innerPort, gossipPort } = options.place;
    const datagrams = await UdpDatagrams.bind(ip, gossipPort);
    const started: { core?: Core } = {};
    const inner = new InnerServer({
      clock: options.clock,
      exchange: (head, body, signal) => serving(started).exchange(head, body, signal),
      seal: request => serving(started).upstreamSide.seal(request),
      configuration: options.configuration,
      turns: options.turns,
    });
    const port = await inner.listen(ip, innerPort);
    started.core = new Core(options, inner, datagrams, `${ip}:${String(port)}`);
    return started.core;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.inner[Symbol.asyncDispose]();
    await this.quarantine[Symbol.asyncDispose]();
    await this.membership[Symbol.asyncDispose]();
    await this.datagrams[Symbol.asyncDispose]();
    this.peers[Symbol.dispose]();
    await this.upstreams[Symbol.asyncDispose]();
  }

  private upstreamEnded({ start, requests }: UpstreamEnd): Promise<void> {
    const shown = requests.slice(-SHOWN_REQUESTS);
    this.options.log.warn({ part: 'upstreams', start, running: requests.length, requests: shown }, ENDED);
    return this.quarantine.upstreamEnded(start, requests);
  }

  private exchange(head: RequestHead, body: CallBody, signal: CancelSignal): Promise<CallAnswer> {
    const isToHome = head.context?.toHome === true;
    return isToHome ? this.options.atHome(head, body, signal) : this.upstreamSide.handle(head, body, signal);
  }

  private async askNotice(service: string, address: string): Promise<AnswerNotice | undefined> {
    const path = this.options.healthPath(service);
    if (path === undefined) return undefined;
    return this.options.dialect.noticeOf((await askHealth(address, path)).headers);
  }

  private contactOf({ address, failureDomain }: Candidate): Contact {
    if (address === this.self) return 'good';
    const own = this.peers.contact(address);
    if (own !== 'good' || failureDomain === this.options.place.failureDomain) return own;
    return this.isCutOff(failureDomain) ? 'silent' : 'good';
  }

  /** Whether a failure domain seems to be cut off; looked at anew every few ms, since each choice asks. */
  private isCutOff(failureDomain: string): boolean {
    const now = this.options.clock.now();
    const known = this.cutOff.get(failureDomain);
    if (known && now - known.at < CUT_OFF_HOLDS_MS) return known.isCutOff;
    const members = [...this.membership.table.all()].filter(m => m.failureDomain === failureDomain);
    const isCutOff = this.peers.areCutOff(members.map(m => m.address));
    this.cutOff.set(failureDomain, { at: now, isCutOff });
    return isCutOff;
  }

  private announceUpstreams(list: ReturnType<Upstreams['list']>): void {
    this.membership.setUpstreams(list);
    this.directory.update(this.membership.me);
  }

  private memberChanged(member: Member): void {
    this.directory.update(member);
    const isGone = member.state === 'DEAD' || member.state === 'LEFT';
    if (isGone) this.options.clock.after(FORGET_PEER_MS, () => this.forgetPeer(member));
  }

  private forgetPeer({ address, epoch }: Member): void {
    const now = this.membership.table.get(address);
    if (now?.epoch !== epoch || now.state === 'ALIVE' || now.state === 'SUSPECT') return;
    this.peers.forget(address);
    this.router.forget(address);
    this.forwarder.notices.forget(address);
  }

  private heardConfiguration(configuration: KnownConfiguration, from: string): void {
    const peer = this.membership.table.atGossip(from)?.address;
    if (peer !== undefined) this.options.onConfiguration(configuration, peer);
  }

  /** The lowest level of what a run of the route calls; looked at anew every few ms, since each answer tells it. */
  private levelBelow(route: CallRoute): number {
    const now = this.options.clock.now();
    const known = this.levels.get(route.name);
    if (known && now - known.at < LEVEL_HOLDS_MS) return known.level;
    const levels = this.options
      .callsOf(route)
      .map(({ service, name }) => this.router.levelFor(service, name));
    const level = Math.min(Number.MAX_VALUE, ...levels);
    this.levels.set(route.name, { at: now, level });
    return level;
  }
}

function proofsOf(freshness: Freshness): Proofs<Moment> {
  return {
    ageMs: () => freshness.ageMs,
    asking: () => freshness.moment(),
    heard: (proof, asked) => freshness.heard(proof, asked),
  };
}

function serving({ core }: { core?: Core }): Core {
  if (core) return core;
  throw new Error('The daemon is still starting.');
}
