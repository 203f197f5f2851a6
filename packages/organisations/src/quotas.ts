/**
 * Fleet-wide quotas as one daemon enforces them: it requests tokens from the coordinator of the organisation's
 * shard in its failure domain, and leases its own share of the quota to that coordinator.
 */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { type QuotaAnswer, type QuotaGrant, type QuotaQuestion } from '@cleatquay/protocol';
import { type Organisation, type Quota } from './organisation.js';
import { CoordinatorDirectory, type CoordinatorDirectoryOptions } from './coordinatorDirectory.js';
import { QuotaCoordinator, type QuotaCoordinatorOptions } from './quotaCoordinator.js';
import { QuotaQueue, type QuotaDecision } from './quotaQueue.js';
import { ShareLessor } from './shareLessor.js';
import { ShareChanges, type ShareReport, roundedShares } from './shareReport.js';
import { LEASE_MS } from './shareLeases.js';
import { SHARD_COUNT, shardOf } from './shards.js';

/** Interval of lease renewals: a lease survives two lost datagrams in a row. */
const LEASE_RENEWAL_MS = 250;
/** A request without a response is sent again after this long, which is many round trips within a failure domain. */
const RESEND_AFTER_MS = 50;
/** Later responses are ignored: the granted requests would run in another window than the one they were counted in. */
const MAX_RESPONSE_AGE_MS = 200;
/** A daemon that doesn't respond for this long is regarded as failed. */
const RESPONSE_TIMEOUT_MS = 350;
/** Maximum wait for a decision: by then the next coordinator has the leases of the other daemons. */
const MAX_WAIT_MS = 1100;
/** Tokens of a request that was never run may be used by the organisation's next request within this time. */
const REFUND_LIFETIME_MS = 150;
/** An exhausted quota is not requested again for this long. */
const EXHAUSTED_CACHE_MS = 50;
/** Minimum interval between transfer requests to other failure domains, per organisation. */
const TRANSFER_INTERVAL_MS = 100;
const MAX_FIRST_NUMBER = 2 ** 31;

/** Dependencies of the quotas. */
export interface QuotasOptions
  extends CoordinatorDirectoryOptions, Pick<QuotaCoordinatorOptions, 'now' | 'division'> {
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Number of shares into which this failure domain's quotas are split, counting failed daemons that may only
   * be partitioned; undefined while unknown.
   */
  readonly shareCount: () => number | undefined;
  /** Called with changes of the shares that this daemon holds, and of its own, a few times a second at most. */
  readonly onShares?: (report: ShareReport) => void;
  readonly sendRequest: (to: string, request: QuotaQuestion) => void;
  readonly sendResponse: (to: string, response: QuotaAnswer) => void;
}

interface PendingRequest {
  readonly to: string;
  readonly sentAt: number;
  readonly shard: number;
  /** Requests by organisation; fractions of tokens for a transfer. */
  readonly requests: ReadonlyMap<string, number>;
  readonly isTransfer: boolean;
}

interface Shard {
  readonly queue: QuotaQueue;
  readonly lessor: ShareLessor;
  lastSentAt: number;
}

/** Obtains tokens for the requests of one daemon. */
export class Quotas implements Disposable {
  readonly coordinator: QuotaCoordinator;
  /** Decisions by kind: granted, refused, and undecided because no coordinator responded. */
  readonly counts = { taken: 0, over: 0, unknown: 0 };
  private quotas: ReadonlyMap<string, Quota> = new Map();
  private organisations = new Set<string>();
  private readonly shards: readonly Shard[];
  private readonly pending = new Map<number, PendingRequest>();
  private readonly directory: CoordinatorDirectory;
  private readonly exhausted = new Map<string, { readonly until: number; readonly retryAt: number }>();
  private readonly refunds = new Map<string, number[]>();
  private readonly nextTransferAt = new Map<string, number>();
  private lastNumber: number;
  private isFlushScheduled = false;
  private timer: Timer | undefined;
  private isIdleTickScheduled = false;
  private isClosed = false;
  private readonly shareChanges: ShareChanges;

  constructor(private readonly options: QuotasOptions) {
    const { clock, random } = options;
    this.lastNumber = Math.floor(random() * MAX_FIRST_NUMBER);
    this.directory = new CoordinatorDirectory(options);
    this.shareChanges = new ShareChanges(report => options.onShares?.(report));
    this.coordinator = new QuotaCoordinator({
      ...options,
      quotaOf: name => this.quotas.get(name) ?? (this.organisations.has(name) ? 'none' : undefined),
      isInSameDomain: daemon => this.directory.isInSameDomain(daemon),
    });
    this.shards = Array.from({ length: SHARD_COUNT }, () => ({
      queue: new QuotaQueue(),
      lessor: new ShareLessor(clock.now()),
      lastSentAt: Number.NEGATIVE_INFINITY,
    }));
  }

  /** Adopts the organisations of a configuration. */
  adopt(organisations: readonly Organisation[]): void {
    this.organisations = new Set(organisations.map(({ name }) => name));
    this.quotas = new Map(
      organisations.flatMap(({ name, quota }) => (quota ? [[name, quota] as const] : [])),
    );
    this.coordinator.setQuotas(this.quotas);
    if (this.quotas.size > 0) this.scheduleTick();
  }

  /** Who holds which shares of this failure domain's quotas, as this daemon sees it. */
  get shareReport(): ShareReport {
    const now = this.options.clock.now();
    const shards = this.shards.map((_, index) => ({
      coordinator: this.directory.inSameDomain(index, now),
      held: roundedShares(this.coordinator.heldShares(index)),
    }));
    return { shareCount: this.options.shareCount(), shards };
  }

  /** Decides on one request, synchronously if this daemon is the coordinator. */
  acquire(organisation: string, quota: Quota): QuotaDecision | Promise<QuotaDecision> {
    const now = this.options.clock.now();
    if (this.takeRefund(organisation, now)) return this.count({ kind: 'taken', at: now });
    const exhausted = this.exhausted.get(organisation);
    if (exhausted && now < exhausted.until)
      return this.count({ kind: 'over', retryAfterMs: this.jitter(exhausted.retryAt - now) });
    const shard = shardOf(organisation);
    const isCoordinator = this.directory.inSameDomain(shard, now) === this.options.self;
    return (
      (isCoordinator ? this.acquireLocally(organisation, quota, now) : undefined) ??
      this.enqueue(shard, organisation, now)
    );
  }

  private enqueue(shard: number, organisation: string, now: number): Promise<QuotaDecision> {
    this.scheduleFlush();
    this.scheduleResendTick();
    return this.shardAt(shard)
      .queue.enqueue(organisation, now)
      .then(decision => this.count(decision));
  }

  /** Returns the token of a request that was never run. */
  refund(organisation: string, takenAt: number): void {
    const until = takenAt + REFUND_LIFETIME_MS;
    if (this.options.clock.now() >= until) return;
    const refunds = this.refunds.get(organisation);
    if (refunds) refunds.push(until);
    else this.refunds.set(organisation, [until]);
  }

  /** Handles a quota request of another daemon. */
  handleRequest(request: QuotaQuestion, from: string): void {
    if (request.shard >= SHARD_COUNT) return;
    this.options.sendResponse(from, this.coordinator.handleRequest(request, from));
    if (request.isTransfer) return;
    const now = this.options.clock.now();
    for (const { organisation } of request.asks) {
      const quota = this.quotas.get(organisation);
      if (quota) this.requestTransfers(organisation, quota, now);
    }
  }

  /** Handles a coordinator's response. */
  handleResponse(response: QuotaAnswer, from: string): void {
    const now = this.options.clock.now();
    const request = this.pending.get(response.number);
    this.pending.delete(response.number);
    if (request?.to !== from || now - request.sentAt > MAX_RESPONSE_AGE_MS) return;
    this.directory.recordResponse(from, now);
    for (const grant of response.grants) {
      const requests = request.requests.get(grant.organisation);
      if (requests === undefined) continue;
      if (request.isTransfer)
        this.coordinator.transferIn(grant.organisation, Math.min(grant.requests, requests));
      else this.applyGrant(request.shard, grant, requests, now);
    }
    if (!request.isTransfer && response.offer)
      this.shards[request.shard]?.lessor.recordOffer(from, response.offer, now);
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    this.timer?.[Symbol.dispose]();
    for (const { queue } of this.shards) queue.expire(Number.POSITIVE_INFINITY);
  }

  /** Randomised, so that requests refused together aren't retried together. */
  private jitter(ms: number): number {
    return ms * (0.5 + this.options.random());
  }

  private count(decision: QuotaDecision): QuotaDecision {
    this.counts[decision.kind]++;
    return decision;
  }

  private takeRefund(organisation: string, now: number): boolean {
    const refunds = this.refunds.get(organisation);
    if (!refunds) return false;
    const usable = refunds.filter(until => until > now);
    const hasRefund = usable.pop() !== undefined;
    if (usable.length > 0) this.refunds.set(organisation, usable);
    else this.refunds.delete(organisation);
    return hasRefund;
  }

  /** Undefined if this daemon's share is still too small for a decision. */
  private acquireLocally(
    organisation: string,
    quota: Quota,
    now: number,
  ): QuotaDecision | Promise<QuotaDecision> | undefined {
    this.leaseToSelf(shardOf(organisation), now);
    const { requests, delayMs, retryAfterMs, unknown } = this.coordinator.grant(organisation, 1);
    this.requestTransfers(organisation, quota, now);
    if (requests === 0 && unknown) return undefined;
    if (requests === 0) return this.count({ kind: 'over', retryAfterMs: this.jitter(retryAfterMs) });
    const decision = this.count({ kind: 'taken', at: now + delayMs });
    return delayMs > 0 ? this.options.clock.sleep(delayMs).then(() => decision) : decision;
  }

  private applyGrant(shard: number, grant: QuotaGrant, requested: number, now: number): void {
    const { organisation, unknown, delayMs, retryAfterMs } = grant;
    const granted = Math.min(requested, Math.floor(grant.requests));
    this.admitWaiting(shard, organisation, granted, Math.min(delayMs, MAX_RESPONSE_AGE_MS));
    if (granted >= requested || unknown) return;
    const refused = this.shards[shard]?.queue.dequeue(organisation, requested - granted) ?? [];
    for (const refuse of refused) refuse({ kind: 'over', retryAfterMs: this.jitter(retryAfterMs) });
    this.exhausted.set(organisation, {
      until: now + Math.min(EXHAUSTED_CACHE_MS, retryAfterMs),
      retryAt: now + retryAfterMs,
    });
  }

  private admitWaiting(shard: number, organisation: string, granted: number, delayMs: number): void {
    const { clock } = this.options;
    const at = clock.now() + delayMs;
    const admitted = this.shards[shard]?.queue.dequeue(organisation, granted) ?? [];
    const admit = () => admitted.forEach(settle => settle({ kind: 'taken', at }));
    if (delayMs > 0) clock.after(delayMs, admit);
    else admit();
    // Tokens were requested twice, since the first response was late.
    for (let i = admitted.length; i < granted; i++) this.refund(organisation, at);
  }

  /** Batches the requests of one event loop iteration into one datagram. */
  private scheduleFlush(): void {
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    setImmediate(() => {
      this.isFlushScheduled = false;
      if (this.isClosed) return;
      for (const shard of this.shards.keys()) this.sendRequests(shard, this.options.clock.now());
    });
  }

  /** An idle daemon wakes up only to renew its lease. */
  private scheduleTick(): void {
    if (this.isClosed) return;
    const isIdle = this.shards.every(({ queue }) => queue.isEmpty);
    this.timer ??= this.options.clock.after(isIdle ? LEASE_RENEWAL_MS : RESEND_AFTER_MS, () => this.tick());
    this.isIdleTickScheduled = isIdle;
  }

  private scheduleResendTick(): void {
    if (this.timer && !this.isIdleTickScheduled) return;
    this.timer?.[Symbol.dispose]();
    this.timer = this.options.clock.after(RESEND_AFTER_MS, () => this.tick());
    this.isIdleTickScheduled = false;
  }

  private tick(): void {
    this.timer = undefined;
    const { clock } = this.options;
    const now = clock.now();
    this.removeExpired(now);
    for (const [shard, { queue, lastSentAt }] of this.shards.entries()) {
      queue.expire(now - MAX_WAIT_MS);
      if (!queue.isEmpty || now - lastSentAt >= LEASE_RENEWAL_MS) this.sendRequests(shard, now);
    }
    if (this.options.onShares) this.shareChanges.observe(() => this.shareReport, now);
    if (this.quotas.size > 0 || this.shards.some(({ queue }) => !queue.isEmpty)) this.scheduleTick();
  }

  private removeExpired(now: number): void {
    for (const [number, { to, sentAt, isTransfer }] of this.pending) {
      if (now - sentAt < RESPONSE_TIMEOUT_MS) continue;
      this.pending.delete(number);
      if (!isTransfer) this.directory.recordTimeout(to, sentAt, now);
    }
    for (const [name, { until }] of this.exhausted) if (until <= now) this.exhausted.delete(name);
  }

  /** Requests tokens for queued requests that have none pending, and renews the lease of this daemon's share. */
  private sendRequests(index: number, now: number): void {
    const shard = this.shardAt(index);
    const to = this.directory.inSameDomain(index, now);
    if (to === this.options.self) return this.grantToSelf(index, now);
    const requests = shard.queue.takeUnrequested(now - RESEND_AFTER_MS, now);
    if (requests.size === 0 && now - shard.lastSentAt < LEASE_RENEWAL_MS) return;
    shard.lastSentAt = now;
    const shareCount = this.options.shareCount();
    const loan = shareCount === undefined ? undefined : shard.lessor.leaseTo(to, 1 / shareCount, now);
    this.send({ to, sentAt: now, shard: index, requests, isTransfer: false }, loan);
  }

  private grantToSelf(index: number, now: number): void {
    const shard = this.shardAt(index);
    shard.lastSentAt = now;
    this.leaseToSelf(index, now);
    for (const [organisation, count] of shard.queue.takeUnrequested(now, now))
      this.applyGrant(index, this.coordinator.grant(organisation, count), count, now);
  }

  private leaseToSelf(index: number, now: number): void {
    const { self, shareCount: countShares } = this.options;
    const count = countShares();
    if (count === undefined || !this.shardAt(index).lessor.lease(self, now, now)) return;
    this.coordinator.acceptLease(index, self, 1 / count, this.options.now() + LEASE_MS);
  }

  private send(request: PendingRequest, loan: QuotaQuestion['loan']): void {
    const number = (this.lastNumber = (this.lastNumber + 1) % 2 ** 32);
    this.pending.set(number, request);
    const { shard, requests, isTransfer } = request;
    const asks = [...requests].map(([organisation, count]) => ({ organisation, requests: count }));
    this.options.sendRequest(request.to, { number, shard, asks, loan, isTransfer });
  }

  /** Requests tokens from other failure domains when a bucket runs low, before it is empty. */
  private requestTransfers(organisation: string, quota: Quota, now: number): void {
    if (now < (this.nextTransferAt.get(organisation) ?? 0)) return;
    const deficit = this.coordinator.deficit(organisation, quota);
    if (deficit <= 0) return;
    this.nextTransferAt.set(organisation, now + TRANSFER_INTERVAL_MS);
    const shard = shardOf(organisation);
    const coordinators = this.directory.inOtherDomains(shard);
    // Requests an equal part from each domain, since tokens beyond the bucket's capacity would be lost.
    const requests = new Map([[organisation, deficit / coordinators.length]]);
    for (const to of coordinators)
      this.send({ to, sentAt: now, shard, requests, isTransfer: true }, undefined);
  }

  private shardAt(index: number): Shard {
    const shard = this.shards[index];
    if (!shard) throw new Error('Shard index is out of range.');
    return shard;
  }
}
