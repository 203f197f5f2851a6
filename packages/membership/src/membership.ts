/** The gossip protocol: probes, suspicion, refutation, dissemination and anti-entropy. */
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
  isValidMember,
  isValidQuotaAnswer,
  isValidQuotaQuestion,
} from '@cleatquay/protocol';
import { BroadcastQueue } from './broadcastQueue.js';
import { JoinCandidates } from './joinCandidates.js';
import { LocalHealth } from './localHealth.js';
import { MemberChoice, isUp } from './memberChoice.js';
import { MemberTable } from './memberTable.js';
import { type KnownConfiguration, type MembershipOptions } from './membershipOptions.js';
import { Probes } from './probes.js';

const PROBE_INTERVAL_MS = 1000;
/** Incarnations begin at random: two processes of an address may have the same epoch, and the records of one must supersede those of the other. */
const MAX_FIRST_INCARNATION = 2 ** 20;
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
/** Maximum size of the findings in a datagram, bytes: fits that of a crash with 64 requests in flight, and some more. */
const MAX_FINDINGS_BYTES = 700;
/** Minimum interval at which all verdicts are sent to a member whose digest of verdicts differs, ms. */
const VERDICTS_INTERVAL_MS = 500;
/**
 * Transmissions of each update by a daemon: TRANSMISSIONS_FACTOR times the binary logarithm of the fleet's size, but at least
 * MIN_TRANSMISSIONS. More cost far more bytes and reach hardly any further member.
 */
const MIN_TRANSMISSIONS = 8;
const TRANSMISSIONS_FACTOR = 0.75;

/** This daemon's view of the fleet. */
export class Membership<Context = unknown> implements AsyncDisposable {
  readonly table = new MemberTable();
  readonly health = new LocalHealth();
  readonly traffic = { sentBytes: 0, receivedBytes: 0, sentDatagrams: 0, invalid: 0 };
  private self: Member;
  private configuration: KnownConfiguration = { generation: 0, shortDigest: 0 };
  /** Monotonic time at which a datagram was last received, by gossip address, ms. */
  private readonly heardAt = new Map<string, number>();
  private readonly probes: Probes<Context | undefined>;
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
  /** Monotonic time at which all verdicts were last sent to each gossip address, ms. */
  private readonly verdictsSentAt = new Map<string, number>();
  private readonly stopped = new AbortController();
  readonly choice: MemberChoice;
  private readonly joinCandidates: JoinCandidates;
  private broadcastTimer: Timer | undefined;
  private secondBroadcastTimer: Timer | undefined;
  private secondSyncTimer: Timer | undefined;
  private running: Promise<void> = Promise.resolve();

  constructor(private readonly options: MembershipOptions<Context>) {
    const incarnation = 1 + Math.floor(options.random() * MAX_FIRST_INCARNATION);
    this.self = { ...options.self, incarnation, state: 'ALIVE', upstreams: [], isPlatformLost: false };
    this.table.put(this.self);
    this.choice = new MemberChoice(this.table, options.random, options.self.address);
    this.joinCandidates = new JoinCandidates(options.random);
    this.probes = new Probes(options.clock, options.random, () => options.proofs?.captureContext());
    options.datagrams.receive(bytes => this.receive(bytes));
  }

  /** This daemon's own record. */
  get me(): Member {
    return this.self;
  }

  /** Sets the operator address in this daemon's record; call it before `start`. */
  setOperatorAddress(operatorAddress: string): void {
    this.assertSelf({ operatorAddress });
  }

  /** Joins through the seeds and starts to probe. */
  start(): void {
    for (const seed of this.options.seeds) this.sendSync(seed, true);
    this.running = this.probeForever();
  }

  /** Syncs with daemons that were discovered by other means than gossip; if there are many, with a sample that knows the others. */
  join(gossipAddresses: readonly string[]): void {
    const unknown = gossipAddresses.filter(
      address => this.table.getByGossipAddress(address)?.state !== 'ALIVE',
    );
    const isAlone = this.choice.randomAlive(1).length === 0;
    for (const address of this.joinCandidates.choose(unknown, isAlone)) this.sendSync(address, true);
  }

  /** Number of other members in state ALIVE or SUSPECT. */
  aliveCount(): number {
    return [...this.table.all()].filter(m => isUp(m) && m.address !== this.self.address).length;
  }

  /** How long ago this daemon learned that the member is dead or has left, ms; infinite if it did not. */
  goneForMs(address: string): number {
    return this.options.clock.now() - (this.goneSince.get(address) ?? Number.NEGATIVE_INFINITY);
  }

  /** Monotonic time at which a datagram of the member was last received, ms; undefined if there was none. */
  lastHeardAt(address: string): number | undefined {
    return this.heardAt.get(this.table.get(address)?.gossipAddress ?? '');
  }

  /** Announces this daemon's upstreams to the fleet. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.assertSelf({ upstreams: [...upstreams] });
  }

  /** Announces to the fleet which configuration this daemon has. */
  setConfiguration({ generation, shortDigest }: KnownConfiguration): void {
    this.configuration = { generation, shortDigest };
    this.scheduleBroadcast();
  }

  /**
   * Broadcasts a finding to the fleet. Unless it only clears a request of crashes, it is sent to a few members immediately, and forwarded by
   * them at once: callers retry failed requests within a few ms, at other daemons.
   */
  broadcast(finding: Finding): void {
    this.findingBroadcasts.add(finding);
    if (finding.kind !== 'ENDED_WELL') this.sendBroadcast();
    this.scheduleBroadcast();
  }

  /** Announces to the fleet whether this daemon's reads of the platform fail. */
  setPlatformLost(isPlatformLost: boolean): void {
    if (isPlatformLost !== this.self.isPlatformLost) this.assertSelf({ isPlatformLost });
  }

  /** Announces that this daemon leaves the fleet, so that the others need not detect it. */
  leave(): void {
    this.assertSelf({ state: 'LEFT' });
    for (const peer of this.choice.randomAlive(FANOUT * 2)) this.send(peer.gossipAddress, {});
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

  /** The full state, for a dump. */
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
      const target = this.choice.nextToProbe();
      if (target) await this.probe(target);
      if (round % SYNC_INTERVAL_ROUNDS === 0) this.syncWithRandomMember();
      if (this.isAlone()) for (const seed of this.options.seeds) this.sendSync(seed, true);
      this.removeExpired();
      await clock.sleep(Math.max(0, PROBE_INTERVAL_MS - (clock.now() - start)), this.stopped.signal);
    }
  }

  /** Probes a member directly, then through others; without any acknowledgement it becomes suspect. */
  private async probe(target: Member): Promise<void> {
    const { clock } = this.options;
    const start = clock.now();
    const timeout = ACK_TIMEOUT_MS * this.health.multiplier;
    if (await this.ping(target.gossipAddress, timeout)) return this.health.recordSuccess();
    const helpers = this.choice.randomAlive(INDIRECT_PROBES, target.address);
    const acknowledged = this.probes.start(timeout, sequence => {
      const ping = { sequence, target: target.gossipAddress };
      for (const helper of helpers) this.send(helper.gossipAddress, { ping });
    });
    if (await acknowledged) return this.health.recordSuccess();
    this.health.recordFailure();
    const wasSuspended = clock.now() - start > 2 * timeout + PROBE_INTERVAL_MS;
    if (!wasSuspended) this.suspect(target);
  }

  /** Requests a freshness proof from a member by a probe; the proof arrives with the acknowledgement. */
  requestProof(gossipAddress: string): void {
    void this.ping(gossipAddress, ACK_TIMEOUT_MS);
  }

  /** Requests quota capacity from the member with a gossip address. */
  sendQuotaRequest(to: string, request: QuotaQuestion): void {
    this.send(to, { quotaQuestion: request });
  }

  /** Responds to a request for quota capacity. */
  sendQuotaResponse(to: string, response: QuotaAnswer): void {
    this.send(to, { quotaAnswer: response });
  }

  private ping(to: string, timeout: number): Promise<boolean> {
    return this.probes.start(timeout, sequence => this.send(to, { ping: { sequence, target: '' } }));
  }

  private suspect(target: Member): void {
    const known = this.table.get(target.address);
    if (known?.state === 'ALIVE') this.accept({ ...known, state: 'SUSPECT' });
  }

  /** Applies a record if it is newer than the known one, and forwards it. */
  private accept(member: Member, isBulk = false): void {
    if (member.address === this.self.address) return this.refute(member);
    if (!this.table.put(member)) return;
    this.forward(member, isBulk);
    this.suspicions.get(member.address)?.[Symbol.dispose]();
    this.suspicions.delete(member.address);
    if (member.state === 'SUSPECT') this.startSuspicion(member);
    if (member.state === 'DEAD' || member.state === 'LEFT')
      this.goneSince.set(member.address, this.options.clock.now());
    else this.goneSince.delete(member.address);
    this.options.onChange(member);
  }

  /**
   * Changes are forwarded as broadcasts. Of the members received in a sync only a few are: when many daemons start, or a partition between two
   * regions heals, broadcasts of all members by all members would saturate the network for minutes. Instead this daemon soon syncs again.
   */
  private forward(member: Member, isBulk: boolean): void {
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

  /** Refutes a record about this daemon from others that has a worse state, or stems from an earlier process at this address. */
  private refute(record: Member): void {
    const isOfOtherProcess =
      record.epoch > this.self.epoch ||
      (record.epoch === this.self.epoch && record.incarnation > this.self.incarnation);
    if (isOfOtherProcess) return this.assertSelf({ epoch: record.epoch + 1 });
    const isAccused =
      record.epoch === this.self.epoch && record.state !== 'ALIVE' && this.self.state === 'ALIVE';
    if (!isAccused || record.incarnation < this.self.incarnation) return;
    this.health.recordFailure();
    this.assertSelf({ incarnation: record.incarnation });
  }

  private assertSelf(change: Partial<Member>): void {
    const incarnation = Math.max(this.self.incarnation, change.incarnation ?? 0) + 1;
    this.self = { ...this.self, ...change, incarnation };
    this.table.put(this.self);
    this.memberBroadcasts.add(this.self);
    this.scheduleBroadcast();
  }

  /**
   * Updates are sent to a few members at once, so that they reach the fleet long before probes would carry them. One round misses some members;
   * after a second one, a little later, hardly any depend on probes.
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
    for (const peer of this.choice.randomAlive(FANOUT)) this.send(peer.gossipAddress, {});
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
    if (this.options.isPartitioned?.(gossip.from)) return;
    this.heardAt.set(gossip.from, this.options.clock.now());
    for (const member of gossip.members) {
      if (isValidMember(member, this.options.clock.date().getTime())) this.accept(member, gossip.bulk);
      else this.traffic.invalid++;
    }
    this.handleFindings(gossip);
    const { generation, digest: shortDigest, from } = gossip;
    if (generation > 0) this.options.onConfiguration({ generation, shortDigest }, from);
    if (gossip.ack) this.handleAck(gossip.ack, { generation, shortDigest });
    if (gossip.ping) this.handlePing(gossip.ping, gossip.from);
    if (gossip.sync) this.handleSync(gossip.sync, gossip.from);
    this.handleQuotas(gossip);
  }

  private handleQuotas({ quotaQuestion: question, quotaAnswer: answer, from }: Gossip): void {
    const { quotas } = this.options;
    if (question && !isValidQuotaQuestion(question)) this.traffic.invalid++;
    else if (question) quotas?.handleRequest(question, from);
    if (answer && !isValidQuotaAnswer(answer)) this.traffic.invalid++;
    else if (answer) quotas?.handleResponse(answer, from);
  }

  /** Repairs what was missed during a suspension, a network partition or a restart: if the digests differ, all verdicts are sent to the other member. */
  private handleFindings({ findings: received, findingsDigest, from }: Gossip): void {
    const { findings, clock } = this.options;
    if (!findings) return;
    for (const finding of received) if (findings.receive(finding)) this.broadcast(finding);
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
    const context = this.probes.acknowledge(sequence);
    if (context !== undefined && proofAge > 0)
      this.options.proofs?.receive({ ...configuration, ageMs: proofAge - 1 }, context);
  }

  private ackOf(sequence: number): Ack {
    const ageMs = this.options.proofs?.ageMs() ?? Number.POSITIVE_INFINITY;
    return { sequence, proofAge: ageMs < MAX_PROOF_AGE_MS ? Math.ceil(ageMs) + 1 : 0 };
  }

  private handlePing(ping: Ping, from: string): void {
    if (ping.target === '') return this.acknowledgePing(ping, from);
    if (!isAddress(ping.target)) return;
    void this.ping(ping.target, ACK_TIMEOUT_MS).then(isAcknowledged => {
      if (isAcknowledged) this.send(from, { ack: this.ackOf(ping.sequence) });
    });
  }

  /** A sender that this daemon takes for suspect, dead or left receives its record, so that it can refute it. */
  private acknowledgePing(ping: Ping, from: string): void {
    const sender = this.table.getByGossipAddress(from);
    const update = sender && sender.state !== 'ALIVE' ? [sender] : undefined;
    this.send(from, { ack: this.ackOf(ping.sequence) }, update);
  }

  private handleSync(sync: Sync, from: string): void {
    const members = this.table.differing(sync.digests);
    while (members.length > 0) this.send(from, { bulk: true }, members.splice(0, membersThatFit(members)));
    if (sync.reply) this.sendSync(from, false);
  }

  private syncWithRandomMember(): void {
    const { random, seeds } = this.options;
    const gone = [...this.goneSince.keys()];
    const goneAddress = gone[Math.floor(random() * gone.length)];
    if (goneAddress !== undefined && random() < SYNC_WITH_GONE_PROBABILITY) {
      this.sendSync(this.table.get(goneAddress)?.gossipAddress ?? '', true);
      return;
    }
    const seed = seeds[Math.floor(random() * seeds.length)];
    const peer = this.choice.randomAlive(1)[0]?.gossipAddress;
    const target = random() < SYNC_WITH_GONE_PROBABILITY ? (seed ?? peer) : (peer ?? seed);
    if (target !== undefined) this.sendSync(target, true);
  }

  private sendSync(to: string, reply: boolean): void {
    if (to === this.self.gossipAddress || to === '') return;
    this.send(to, { sync: { digests: this.table.digests(), reply } }, [this.self]);
  }

  private send(to: string, fields: GossipFields, members?: Member[], verdicts?: Finding[]): void {
    if (this.options.isPartitioned?.(to)) return;
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
      ping: fields.ping,
      ack: fields.ack,
      sync: fields.sync,
      bulk: fields.bulk ?? false,
      quotaQuestion: fields.quotaQuestion,
      quotaAnswer: fields.quotaAnswer,
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

  private isAlone(): boolean {
    return this.options.seeds.length > 0 && this.choice.randomAlive(1).length === 0;
  }

  private removeExpired(): void {
    const old = this.options.clock.now() - FORGET_AFTER_MS;
    for (const [address, since] of this.goneSince) {
      if (since > old) continue;
      const gossipAddress = this.table.get(address)?.gossipAddress ?? '';
      this.verdictsSentAt.delete(gossipAddress);
      this.heardAt.delete(gossipAddress);
      this.table.remove(address);
      this.goneSince.delete(address);
    }
  }
}

/** Proofs of this age or more are not sent, since they are too old to be of use, ms. */
const MAX_PROOF_AGE_MS = 60_000;
/** Optional fields of a datagram besides updates. */
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
