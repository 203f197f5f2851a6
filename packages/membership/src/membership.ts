/** The gossip itself: probes, suspicion, refutation, spreading, and anti-entropy. */
import { type Timer } from '@cleatquay/clock';
import {
  type Ack,
  Finding,
  Gossip,
  Member,
  type Ping,
  type QuotaAnswer,
  type QuotaQuestion,
  type Sync,
  type Upstream,
  isAddress,
  isUsableMember,
} from '@cleatquay/protocol';
import { BroadcastQueue } from './broadcastQueue.js';
import { LocalHealth } from './localHealth.js';
import { MemberTable } from './memberTable.js';
import { type KnownConfiguration, type MembershipOptions } from './membershipOptions.js';
import { Probes } from './probes.js';

const PROBE_INTERVAL_MS = 1000;
const ACK_TIMEOUT_MS = 300;
const INDIRECT_PROBES = 3;
const SUSPICION_PERIODS = 4;
const SYNC_INTERVAL_ROUNDS = 30;
const SYNC_WITH_GONE_PROBABILITY = 0.2;
const FORGET_AFTER_MS = 2 * 3_600_000;
const FANOUT = 3;
const BROADCAST_DELAY_MS = 20;
const SECOND_BROADCAST_DELAY_MS = 200;
const SECOND_SYNC_DELAY_MS = 1000;
const MAX_BULK_BROADCASTS = 30;
const MAX_DATAGRAM_BYTES = 1100;
/** Part of a datagram that findings take, bytes: one of an end with 64 requests, and some more. */
const MAX_FINDINGS_BYTES = 700;
/** A member that knows other verdicts is told all of ours at most so often, ms. */
const VERDICTS_INTERVAL_MS = 500;
/**
 * How often a daemon passes a piece of news on: at least so often, and so many times the binary logarithm of the fleet's size. More
 * often costs far more bytes and reaches hardly anybody else.
 */
const MIN_TRANSMISSIONS = 8;
const TRANSMISSIONS_FACTOR = 0.75;
/**
 * Up to so many daemons that were learned of are all met at once. Each answers with all that it knows, so that a fleet of hundreds that met
 * everybody would, at a start, exchange its table by the square of its size.
 */
const MAX_JOINS = 16;
/**
 * Of more than that, so many at random. If none of them answers, the table is read again within about a second.
 */
const SAMPLED_JOINS = 3;

/** This daemon's view of the fleet. */
export class Membership<Asked = unknown> implements AsyncDisposable {
  readonly table = new MemberTable();
  readonly health = new LocalHealth();
  readonly traffic = { sentBytes: 0, receivedBytes: 0, sentDatagrams: 0, invalid: 0 };
  private self: Member;
  private configuration: KnownConfiguration = { generation: 0, shortDigest: 0 };
  private receivedAt: number;
  private readonly probes: Probes<Asked | undefined>;
  private readonly suspicions = new Map<string, Timer>();
  private readonly goneSince = new Map<string, number>();
  private readonly memberBroadcasts = new BroadcastQueue<Member>({
    keyOf: member => member.address,
    sizeOf: member => Member.encode(member).finish().length,
  });
  private readonly findingBroadcasts = new BroadcastQueue<Finding>({
    keyOf: finding => Buffer.from(Finding.encode(finding).finish()).toString('base64'),
    sizeOf: finding => Finding.encode(finding).finish().length,
  });
  /** When each member was last told all verdicts, clock ms. */
  private readonly verdictsSentAt = new Map<string, number>();
  private readonly stopped = new AbortController();
  private probeOrder: string[] = [];
  private broadcastTimer: Timer | undefined;
  private secondBroadcastTimer: Timer | undefined;
  private secondSyncTimer: Timer | undefined;
  private running: Promise<void> = Promise.resolve();

  constructor(private readonly options: MembershipOptions<Asked>) {
    this.self = { ...options.self, incarnation: 1, state: 'ALIVE', upstreams: [], isPlatformLost: false };
    this.table.put(this.self);
    this.receivedAt = options.clock.now();
    this.probes = new Probes(options.clock, options.random, () => options.proofs?.asking());
    options.datagrams.receive(bytes => this.receive(bytes));
  }

  /** This daemon's own record. */
  get me(): Member {
    return this.self;
  }

  /** Completes this daemon's record; to be called before `start`. */
  setOperatorAddress(operatorAddress: string): void {
    this.assertSelf({ operatorAddress });
  }

  /** Joins by the seeds and starts to probe. */
  start(): void {
    for (const seed of this.options.seeds) this.sendSync(seed, true);
    this.running = this.probeForever();
  }

  /** Gets in touch with daemons that were learned of by other means than gossip; of many, with some, who know the others. */
  meet(gossipAddresses: readonly string[]): void {
    const unknown = gossipAddresses.filter(address => this.table.atGossip(address)?.state !== 'ALIVE');
    const met = unknown.length > MAX_JOINS ? this.shuffle(unknown).slice(0, SAMPLED_JOINS) : unknown;
    for (const address of met) this.sendSync(address, true);
  }

  /** Other members that are thought to be up. */
  aliveCount(): number {
    return [...this.table.all()].filter(m => isUp(m) && m.address !== this.self.address).length;
  }

  /** Daemons of a failure domain, this one among them: those that are up, and those that were found gone so lately that they may be cut off only. */
  countLately(failureDomain: string, withinMs: number): number {
    const since = this.options.clock.now() - withinMs;
    return [...this.table.all()].filter(
      m =>
        m.failureDomain === failureDomain &&
        (isUp(m) || (m.state === 'DEAD' && (this.goneSince.get(m.address) ?? 0) > since)),
    ).length;
  }

  /** Clock time at which another member was last heard, ms; before the first, the start. */
  get lastHeardAt(): number {
    return this.receivedAt;
  }

  /** Tells the fleet of this daemon's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.assertSelf({ upstreams: [...upstreams] });
  }

  /** Tells the fleet which configuration this daemon has. */
  setConfiguration({ generation, shortDigest }: KnownConfiguration): void {
    this.configuration = { generation, shortDigest };
    this.scheduleBroadcast();
  }

  /**
   * Tells the fleet what this daemon found out. What speaks against a request goes to a few members in this moment, and from there on at once:
   * callers whose requests failed come again within some ms, at other daemons.
   */
  spread(finding: Finding): void {
    this.findingBroadcasts.add(finding);
    if (finding.kind !== 'ENDED_WELL') this.sendBroadcast();
    this.scheduleBroadcast();
  }

  /** Tells the fleet whether this daemon's reads of the platform fail. */
  setPlatformLost(isPlatformLost: boolean): void {
    if (isPlatformLost !== this.self.isPlatformLost) this.assertSelf({ isPlatformLost });
  }

  /** Says goodbye, so that nobody has to find out. */
  leave(): void {
    this.assertSelf({ state: 'LEFT' });
    for (const peer of this.randomAlive(FANOUT * 2)) this.send(peer.gossipAddress, {});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopped.abort();
    this.broadcastTimer?.[Symbol.dispose]();
    this.secondBroadcastTimer?.[Symbol.dispose]();
    this.secondSyncTimer?.[Symbol.dispose]();
    this.probes[Symbol.dispose]();
    for (const timer of this.suspicions.values()) timer[Symbol.dispose]();
    await this.running;
  }

  /** The whole state, for a dump. */
  dump(): object {
    return {
      self: this.self,
      configuration: this.configuration,
      healthScore: this.health.score,
      queuedChanges: this.memberBroadcasts.size,
      traffic: this.traffic,
      members: [...this.table.all()],
    };
  }

  private async probeForever(): Promise<void> {
    const { clock } = this.options;
    for (let round = 1; !this.stopped.signal.aborted; round++) {
      const start = clock.now();
      const target = this.nextTarget();
      if (target) await this.probe(target);
      if (round % SYNC_INTERVAL_ROUNDS === 0) this.syncWithRandomMember();
      if (this.isAlone()) for (const seed of this.options.seeds) this.sendSync(seed, true);
      this.removeExpired();
      await clock.sleep(Math.max(0, PROBE_INTERVAL_MS - (clock.now() - start)), this.stopped.signal);
    }
  }

  /** One probe: directly, then by others; no answer at all makes the member suspect. */
  private async probe(target: Member): Promise<void> {
    const { clock } = this.options;
    const start = clock.now();
    const timeout = ACK_TIMEOUT_MS * this.health.multiplier;
    if (await this.ping(target.gossipAddress, timeout)) return this.health.recordSuccess();
    const helpers = this.randomAlive(INDIRECT_PROBES, target.address);
    const answered = this.probes.start(timeout, sequence => {
      const ping = { sequence, target: target.gossipAddress };
      for (const helper of helpers) this.send(helper.gossipAddress, { ping });
    });
    if (await answered) return this.health.recordSuccess();
    this.health.recordFailure();
    const overslept = clock.now() - start > 2 * timeout + PROBE_INTERVAL_MS;
    if (!overslept) this.suspect(target);
  }

  /** Asks a member how lately its configuration was the newest; the answer goes where those to all probes go. */
  ask(gossipAddress: string): void {
    void this.ping(gossipAddress, ACK_TIMEOUT_MS);
  }

  /** Asks a member, by its gossip address, for room in quotas. */
  askForQuota(to: string, quotaQuestion: QuotaQuestion): void {
    this.send(to, { quotaQuestion });
  }

  /** Answers such a question. */
  answerForQuota(to: string, quotaAnswer: QuotaAnswer): void {
    this.send(to, { quotaAnswer });
  }

  private ping(to: string, timeout: number): Promise<boolean> {
    return this.probes.start(timeout, sequence => this.send(to, { ping: { sequence, target: '' } }));
  }

  private suspect(target: Member): void {
    const known = this.table.get(target.address);
    if (known?.state === 'ALIVE') this.accept({ ...known, state: 'SUSPECT' });
  }

  /** Takes a record if it is news, and passes it on. */
  private accept(member: Member, isBulk = false): void {
    if (member.address === this.self.address) return this.refute(member);
    if (!this.table.put(member)) return;
    this.passOn(member, isBulk);
    this.suspicions.get(member.address)?.[Symbol.dispose]();
    this.suspicions.delete(member.address);
    if (member.state === 'SUSPECT') this.startSuspicion(member);
    if (member.state === 'DEAD' || member.state === 'LEFT')
      this.goneSince.set(member.address, this.options.clock.now());
    else this.goneSince.delete(member.address);
    this.options.onChange(member);
  }

  /**
   * News is passed on by rumour; a whole table that came by a sync isn't, beyond a few members: when many start or two
   * regions heal, rumours of everybody to everybody would fill the network for minutes. They sync again soon instead.
   */
  private passOn(member: Member, isBulk: boolean): void {
    if (isBulk)
      this.secondSyncTimer ??= this.options.clock.after(SECOND_SYNC_DELAY_MS, () => this.syncSoon());
    if (isBulk && this.memberBroadcasts.size >= MAX_BULK_BROADCASTS) return;
    this.memberBroadcasts.add(member);
    this.scheduleBroadcast();
  }

  private syncSoon(): void {
    this.secondSyncTimer = undefined;
    this.syncWithRandomMember();
  }

  private startSuspicion(member: Member): void {
    const scale = Math.max(1, Math.log10(this.table.size));
    const ms = SUSPICION_PERIODS * scale * PROBE_INTERVAL_MS * this.health.multiplier;
    const expire = () => this.accept({ ...member, state: 'DEAD' });
    this.suspicions.set(member.address, this.options.clock.after(ms, expire));
  }

  /** Answers a record of this daemon by others: a worse state, or a process that was here before. */
  private refute(claim: Member): void {
    if (claim.epoch > this.self.epoch) return this.assertSelf({ epoch: claim.epoch + 1 });
    const accused = claim.epoch === this.self.epoch && claim.state !== 'ALIVE' && this.self.state === 'ALIVE';
    if (!accused || claim.incarnation < this.self.incarnation) return;
    this.health.recordFailure();
    this.assertSelf({ incarnation: claim.incarnation });
  }

  private assertSelf(change: Partial<Member>): void {
    const incarnation = Math.max(this.self.incarnation, change.incarnation ?? 0) + 1;
    this.self = { ...this.self, ...change, incarnation };
    this.table.put(this.self);
    this.memberBroadcasts.add(this.self);
    this.scheduleBroadcast();
  }

  /**
   * News goes to a few members at once, so that it is everywhere long before probes would carry it. One round misses some; a second one, a little
   * later, leaves hardly any to the probes.
   */
  private scheduleBroadcast(): void {
    if (this.broadcastTimer || this.stopped.signal.aborted) return;
    const { clock } = this.options;
    this.broadcastTimer = clock.after(BROADCAST_DELAY_MS, () => {
      this.broadcastTimer = undefined;
      this.sendBroadcast();
      this.secondBroadcastTimer?.[Symbol.dispose]();
      this.secondBroadcastTimer = clock.after(SECOND_BROADCAST_DELAY_MS, () => this.sendBroadcast());
    });
  }

  private sendBroadcast(): void {
    for (const peer of this.randomAlive(FANOUT)) this.send(peer.gossipAddress, {});
  }

  private receive(bytes: Uint8Array): void {
    this.traffic.receivedBytes += bytes.length;
    let gossip: Gossip;
    try {
      gossip = Gossip.decode(bytes);
    } catch {
      this.traffic.invalid++;
      return;
    }
    if (!isAddress(gossip.from)) {
      this.traffic.invalid++;
      return;
    }
    if (this.options.isCut?.(gossip.from)) return;
    this.receivedAt = this.options.clock.now();
    for (const member of gossip.members) {
      if (isUsableMember(member)) this.accept(member, gossip.bulk);
      else this.traffic.invalid++;
    }
    this.handleFindings(gossip);
    const { generation, digest: shortDigest, from } = gossip;
    if (generation > 0) this.options.onConfiguration({ generation, shortDigest }, from);
    if (gossip.ack) this.handleAck(gossip.ack, { generation, shortDigest });
    if (gossip.ping) this.handlePing(gossip.ping, gossip.from);
    if (gossip.sync) this.handleSync(gossip.sync, gossip.from);
    if (gossip.quotaQuestion) this.options.quotas?.heardQuestion(gossip.quotaQuestion, gossip.from);
    if (gossip.quotaAnswer) this.options.quotas?.heardAnswer(gossip.quotaAnswer, gossip.from);
  }

  /** What was missed while this daemon or the other stood still, was cut off or was away is made up for: each tells the other its verdicts. */
  private handleFindings({ findings: heard, findingsDigest, from }: Gossip): void {
    const { findings, clock } = this.options;
    if (!findings) return;
    for (const finding of heard) if (findings.heard(finding)) this.spread(finding);
    const now = clock.now();
    if (
      findingsDigest === findings.digest() ||
      now - (this.verdictsSentAt.get(from) ?? -VERDICTS_INTERVAL_MS) < VERDICTS_INTERVAL_MS
    )
      return;
    this.verdictsSentAt.set(from, now);
    const verdicts = [...findings.verdicts()];
    while (verdicts.length > 0) this.send(from, {}, [], verdicts.splice(0, VERDICTS_PER_DATAGRAM));
  }

  private handleAck({ sequence, proofAge }: Ack, configuration: KnownConfiguration): void {
    const asked = this.probes.acknowledge(sequence);
    if (asked !== undefined && proofAge > 0)
      this.options.proofs?.heard({ ...configuration, ageMs: proofAge - 1 }, asked);
  }

  private ackOf(sequence: number): Ack {
    const ageMs = this.options.proofs?.ageMs() ?? Number.POSITIVE_INFINITY;
    return { sequence, proofAge: ageMs < MAX_PROOF_AGE_MS ? Math.ceil(ageMs) + 1 : 0 };
  }

  private handlePing(ping: Ping, from: string): void {
    if (ping.target === '') return this.acknowledgePing(ping, from);
    if (!isAddress(ping.target)) return;
    void this.ping(ping.target, ACK_TIMEOUT_MS).then(answered => {
      if (answered) this.send(from, { ack: this.ackOf(ping.sequence) });
    });
  }

  /** A member thought to be gone hears of it, so that it can refute. */
  private acknowledgePing(ping: Ping, from: string): void {
    const sender = this.table.atGossip(from);
    const news = sender && sender.state !== 'ALIVE' ? [sender] : undefined;
    this.send(from, { ack: this.ackOf(ping.sequence) }, news);
  }

  private handleSync(sync: Sync, from: string): void {
    const members = this.table.differing(sync.digests);
    while (members.length > 0) this.send(from, { bulk: true }, members.splice(0, membersThatFit(members)));
    if (sync.reply) this.sendSync(from, false);
  }

  private syncWithRandomMember(): void {
    const { random, seeds } = this.options;
    const gone = [...this.goneSince.keys()];
    const lost = gone[Math.floor(random() * gone.length)];
    if (lost !== undefined && random() < SYNC_WITH_GONE_PROBABILITY) {
      this.sendSync(this.table.get(lost)?.gossipAddress ?? '', true);
      return;
    }
    const seed = seeds[Math.floor(random() * seeds.length)];
    const peer = this.randomAlive(1)[0]?.gossipAddress;
    const target = random() < SYNC_WITH_GONE_PROBABILITY ? (seed ?? peer) : (peer ?? seed);
    if (target !== undefined) this.sendSync(target, true);
  }

  private sendSync(to: string, reply: boolean): void {
    if (to === this.self.gossipAddress || to === '') return;
    this.send(to, { sync: { digests: this.table.digests(), reply } }, [this.self]);
  }

  private send(to: string, what: GossipFields, members?: Member[], verdicts?: Finding[]): void {
    if (this.options.isCut?.(to)) return;
    const limit = Math.max(
      MIN_TRANSMISSIONS,
      Math.ceil(TRANSMISSIONS_FACTOR * Math.log2(this.table.size + 1)),
    );
    const findings = verdicts ?? (members ? [] : this.findingBroadcasts.take(MAX_FINDINGS_BYTES, limit));
    const left =
      MAX_DATAGRAM_BYTES -
      findings.reduce((sum, finding) => sum + Finding.encode(finding).finish().length, 0);
    const bytes = Gossip.encode({
      from: this.self.gossipAddress,
      ping: what.ping,
      ack: what.ack,
      sync: what.sync,
      bulk: what.bulk ?? false,
      quotaQuestion: what.quotaQuestion,
      quotaAnswer: what.quotaAnswer,
      members: members ?? this.memberBroadcasts.take(left, limit),
      findings,
      findingsDigest: this.options.findings?.digest() ?? 0,
      generation: this.configuration.generation,
      digest: this.configuration.shortDigest,
    }).finish();
    this.traffic.sentBytes += bytes.length;
    this.traffic.sentDatagrams++;
    this.options.datagrams.send(to, bytes);
  }

  /** The next member in an order that is shuffled anew each time around. */
  private nextTarget(): Member | undefined {
    for (let tries = 0; tries < 2; tries++) {
      for (let address = this.probeOrder.pop(); address !== undefined; address = this.probeOrder.pop()) {
        const member = this.table.get(address);
        if (member && isUp(member) && address !== this.self.address) return member;
      }
      this.probeOrder = this.shuffle([...this.table.all()].map(member => member.address));
    }
    return undefined;
  }

  private shuffle(list: string[]): string[] {
    for (let i = list.length - 1; i > 0; i--) {
      const j = Math.floor(this.options.random() * (i + 1));
      [list[i], list[j]] = [list[j] ?? '', list[i] ?? ''];
    }
    return list;
  }

  /** Up to `count` other members that are thought to be up. */
  randomAlive(count: number, except = ''): Member[] {
    const candidates = [...this.table.all()].filter(
      m => isUp(m) && m.address !== this.self.address && m.address !== except,
    );
    const chosen: Member[] = [];
    while (chosen.length < count && candidates.length > 0) {
      chosen.push(...candidates.splice(Math.floor(this.options.random() * candidates.length), 1));
    }
    return chosen;
  }

  private isAlone(): boolean {
    return this.options.seeds.length > 0 && this.randomAlive(1).length === 0;
  }

  private removeExpired(): void {
    const old = this.options.clock.now() - FORGET_AFTER_MS;
    for (const [address, since] of this.goneSince) {
      if (since > old) continue;
      this.verdictsSentAt.delete(this.table.get(address)?.gossipAddress ?? '');
      this.table.remove(address);
      this.goneSince.delete(address);
    }
  }
}

function isUp(member: Member): boolean {
  return member.state === 'ALIVE' || member.state === 'SUSPECT';
}

/** Older proofs say nothing that anybody could use, ms. */
const MAX_PROOF_AGE_MS = 60_000;
/** What one datagram says besides news. */
type GossipFields = Partial<Pick<Gossip, 'ping' | 'ack' | 'sync' | 'bulk' | 'quotaQuestion' | 'quotaAnswer'>>;

const MEMBER_BYTES = 150;
/** A verdict has up to 400 bytes. */
const VERDICTS_PER_DATAGRAM = 2;

function membersThatFit(members: Member[]): number {
  const bytes = (count: number) => members.slice(0, count).reduce((sum, m) => sum + sizeOf(m), 0);
  let count = 1;
  while (count < members.length && bytes(count + 1) <= MAX_DATAGRAM_BYTES) count++;
  return count;
}

function sizeOf(member: Member): number {
  return MEMBER_BYTES + 50 * member.upstreams.length;
}
