/**
 * The quotas of the whole fleet as one daemon keeps them: for each request it takes room from whoever gives out its organisation's quota in this failure
 * domain, and lends its own share to them.
 */
import { type Clock, type Random, type Timer } from '@cleatquay/clock';
import { type QuotaAnswer, type QuotaGrant, type QuotaQuestion } from '@cleatquay/protocol';
import { type Organisation, type Quota } from './organisation.js';
import { Holders, type HoldersOptions } from './holders.js';
import { QuotaHolder, type QuotaHolderOptions } from './quotaHolder.js';
import { QuotaQueue, type Taken } from './quotaQueue.js';
import { ShareLender } from './shareLender.js';
import { LOAN_MS } from './shareLoans.js';
import { SHARDS, shardOf } from './shards.js';

/** Shares are lent again so often, ms: two questions in a row may be lost. */
const RENEW_MS = 250;
/** A question that got no answer is asked again after so long, ms: many round trips within a failure domain. */
const ASK_AGAIN_MS = 50;
/** An answer that comes later is not taken: what it grants would run in another window than it was counted in, ms. */
const LATEST_ANSWER_MS = 200;
/** A daemon that answered nothing for so long is taken for lost, ms. */
const SILENT_AFTER_MS = 350;
/** A request waits so long for room at most, ms: until the next daemon that gives out has the others' shares. */
const PATIENCE_MS = 1100;
/** What a request leaves that ran nowhere is for the next one, if there is one so soon, ms. */
const RETURN_MS = 150;
/** An organisation that has no room is not asked for again at once, ms. */
const OVER_FOR_MS = 50;
/** Other failure domains are asked for room so often, ms. */
const TRANSFER_EVERY_MS = 100;
const HIGHEST_FIRST_NUMBER = 2 ** 31;

/** What the quotas need of their daemon. */
export interface QuotasOptions
  extends HoldersOptions, Pick<QuotaHolderOptions, 'now' | 'epoch' | 'division'> {
  readonly clock: Clock;
  readonly random: Random;
  /** Daemons among which the quotas of this failure domain are shared, gone ones included that may be cut off only; undefined while not known. */
  readonly sharers: () => number | undefined;
  readonly ask: (to: string, question: QuotaQuestion) => void;
  readonly answer: (to: string, answer: QuotaAnswer) => void;
}

interface Asked {
  readonly to: string;
  readonly at: number;
  readonly shard: number;
  /** Requests by organisation; of a transfer, with fractions. */
  readonly requests: ReadonlyMap<string, number>;
  readonly isTransfer: boolean;
}

interface Shard {
  readonly queue: QuotaQueue;
  readonly lender: ShareLender;
  lastAsked: number;
}

/** Takes room in quotas for the requests of one daemon. */
export class Quotas implements Disposable {
  readonly holder: QuotaHolder;
  /** Requests that found room, that found none, and for which nobody could be asked. */
  readonly counts = { taken: 0, over: 0, unknown: 0 };
  private quotas: ReadonlyMap<string, Quota> = new Map();
  private organisations = new Set<string>();
  private readonly shards: readonly Shard[];
  private readonly asked = new Map<number, Asked>();
  private readonly holders: Holders;
  private readonly overUntil = new Map<string, { readonly until: number; readonly retryAt: number }>();
  private readonly returned = new Map<string, number[]>();
  private readonly transferAt = new Map<string, number>();
  private number: number;
  private isFlushing = false;
  private timer: Timer | undefined;
  private isTickingSlowly = false;
  private isClosed = false;

  constructor(private readonly options: QuotasOptions) {
    const { clock, random } = options;
    this.number = Math.floor(random() * HIGHEST_FIRST_NUMBER);
    this.holders = new Holders(options);
    this.holder = new QuotaHolder({
      ...options,
      quotaOf: name => this.quotas.get(name) ?? (this.organisations.has(name) ? 'none' : undefined),
      isNear: daemon => this.holders.isNear(daemon),
    });
    this.shards = Array.from({ length: SHARDS }, () => ({
      queue: new QuotaQueue(),
      lender: new ShareLender(clock.now()),
      lastAsked: Number.NEGATIVE_INFINITY,
    }));
  }

  /** Takes over the organisations of a configuration. */
  adopt(organisations: readonly Organisation[]): void {
    this.organisations = new Set(organisations.map(({ name }) => name));
    this.quotas = new Map(
      organisations.flatMap(({ name, quota }) => (quota ? [[name, quota] as const] : [])),
    );
    this.holder.keep(this.quotas);
    if (this.quotas.size > 0) this.keepTicking();
  }

  /** Room for one request, at once where this daemon gives out itself. */
  take(organisation: string, quota: Quota): Taken | Promise<Taken> {
    const now = this.options.clock.now();
    if (this.takeReturned(organisation, now)) return this.counted({ kind: 'taken', at: now });
    const over = this.overUntil.get(organisation);
    if (over && now < over.until)
      return this.counted({ kind: 'over', retryAfterMs: this.spread(over.retryAt - now) });
    const shard = shardOf(organisation);
    const isHere = this.holders.near(shard, now) === this.options.self;
    return (
      (isHere ? this.takeHere(organisation, quota, now) : undefined) ?? this.wait(shard, organisation, now)
    );
  }

  private wait(shard: number, organisation: string, now: number): Promise<Taken> {
    this.flushSoon();
    this.tickSoon();
    return this.shardAt(shard)
      .queue.enter(organisation, now)
      .then(taken => this.counted(taken));
  }

  /** A request for which room was taken then has run nowhere. */
  giveBack(organisation: string, takenAt: number): void {
    const until = takenAt + RETURN_MS;
    if (this.options.clock.now() >= until) return;
    const known = this.returned.get(organisation);
    if (known) known.push(until);
    else this.returned.set(organisation, [until]);
  }

  /** Another daemon asks this one. */
  heardQuestion(question: QuotaQuestion, from: string): void {
    if (question.shard >= SHARDS) return;
    this.options.answer(from, this.holder.answer(question, from));
    if (question.isTransfer) return;
    const now = this.options.clock.now();
    for (const { organisation } of question.asks) {
      const quota = this.quotas.get(organisation);
      if (quota) this.balance(organisation, quota, now);
    }
  }

  /** Another daemon answers. */
  heardAnswer(answer: QuotaAnswer, from: string): void {
    const now = this.options.clock.now();
    const asked = this.asked.get(answer.number);
    this.asked.delete(answer.number);
    if (asked?.to !== from || now - asked.at > LATEST_ANSWER_MS) return;
    this.holders.heard(from, now);
    for (const grant of answer.grants) {
      const requests = asked.requests.get(grant.organisation);
      if (requests === undefined) continue;
      if (asked.isTransfer) this.holder.receive(grant.organisation, Math.min(grant.requests, requests));
      else this.settle(asked.shard, grant, requests, now);
    }
    if (!asked.isTransfer && answer.offer) this.shards[asked.shard]?.lender.offered(from, answer.offer, now);
  }

  [Symbol.dispose](): void {
    this.isClosed = true;
    this.timer?.[Symbol.dispose]();
    for (const { queue } of this.shards) queue.giveUp(Number.POSITIVE_INFINITY);
  }

  /** Those that are told in one moment don't come back in one. */
  private spread(ms: number): number {
    return ms * (0.5 + this.options.random());
  }

  private counted(taken: Taken): Taken {
    this.counts[taken.kind]++;
    return taken;
  }

  private takeReturned(organisation: string, now: number): boolean {
    const returned = this.returned.get(organisation);
    if (!returned) return false;
    const usable = returned.filter(until => until > now);
    const isThere = usable.pop() !== undefined;
    if (usable.length > 0) this.returned.set(organisation, usable);
    else this.returned.delete(organisation);
    return isThere;
  }

  /** Undefined where this daemon can't say yet. */
  private takeHere(organisation: string, quota: Quota, now: number): Taken | Promise<Taken> | undefined {
    this.lendToSelf(shardOf(organisation), now);
    const { requests, delayMs, retryAfterMs, unknown } = this.holder.ask(organisation, 1);
    this.balance(organisation, quota, now);
    if (requests === 0 && unknown) return undefined;
    if (requests === 0) return this.counted({ kind: 'over', retryAfterMs: this.spread(retryAfterMs) });
    const taken = this.counted({ kind: 'taken', at: now + delayMs });
    return delayMs > 0 ? this.options.clock.sleep(delayMs).then(() => taken) : taken;
  }

  private settle(shard: number, grant: QuotaGrant, asked: number, now: number): void {
    const { organisation, unknown, delayMs, retryAfterMs } = grant;
    const granted = Math.min(asked, Math.floor(grant.requests));
    this.letGo(shard, organisation, granted, Math.min(delayMs, LATEST_ANSWER_MS));
    if (granted >= asked || unknown) return;
    const refused = this.shards[shard]?.queue.leave(organisation, asked - granted) ?? [];
    for (const refuse of refused) refuse({ kind: 'over', retryAfterMs: this.spread(retryAfterMs) });
    this.overUntil.set(organisation, {
      until: now + Math.min(OVER_FOR_MS, retryAfterMs),
      retryAt: now + retryAfterMs,
    });
  }

  private letGo(shard: number, organisation: string, granted: number, delayMs: number): void {
    const { clock } = this.options;
    const at = clock.now() + delayMs;
    const leaving = this.shards[shard]?.queue.leave(organisation, granted) ?? [];
    const go = () => leaving.forEach(settle => settle({ kind: 'taken', at }));
    if (delayMs > 0) clock.after(delayMs, go);
    else go();
    // Asked for twice, as after an answer that was late.
    for (let i = leaving.length; i < granted; i++) this.giveBack(organisation, at);
  }

  /** Several requests of one turn are asked for in one question. */
  private flushSoon(): void {
    if (this.isFlushing) return;
    this.isFlushing = true;
    setImmediate(() => {
      this.isFlushing = false;
      if (this.isClosed) return;
      for (const shard of this.shards.keys()) this.askFor(shard, this.options.clock.now());
    });
  }

  /** An idle daemon wakes up only to lend its share again. */
  private keepTicking(): void {
    if (this.isClosed) return;
    const isIdle = this.shards.every(({ queue }) => queue.isEmpty);
    this.timer ??= this.options.clock.after(isIdle ? RENEW_MS : ASK_AGAIN_MS, () => this.tick());
    this.isTickingSlowly = isIdle;
  }

  private tickSoon(): void {
    if (this.timer && !this.isTickingSlowly) return;
    this.timer?.[Symbol.dispose]();
    this.timer = this.options.clock.after(ASK_AGAIN_MS, () => this.tick());
    this.isTickingSlowly = false;
  }

  private tick(): void {
    this.timer = undefined;
    const { clock } = this.options;
    const now = clock.now();
    this.forgetOld(now);
    for (const [shard, { queue, lastAsked }] of this.shards.entries()) {
      queue.giveUp(now - PATIENCE_MS);
      if (!queue.isEmpty || now - lastAsked >= RENEW_MS) this.askFor(shard, now);
    }
    if (this.quotas.size > 0 || this.shards.some(({ queue }) => !queue.isEmpty)) this.keepTicking();
  }

  private forgetOld(now: number): void {
    for (const [number, { to, at, isTransfer }] of this.asked) {
      if (now - at < SILENT_AFTER_MS) continue;
      this.asked.delete(number);
      if (!isTransfer) this.holders.silent(to, at, now);
    }
    for (const [name, { until }] of this.overUntil) if (until <= now) this.overUntil.delete(name);
  }

  /** Asks for all that wait and were not asked for lately, and renews the loan of this daemon's share. */
  private askFor(index: number, now: number): void {
    const shard = this.shardAt(index);
    const to = this.holders.near(index, now);
    if (to === this.options.self) return this.serveSelf(index, now);
    const requests = shard.queue.toAsk(now - ASK_AGAIN_MS, now);
    if (requests.size === 0 && now - shard.lastAsked < RENEW_MS) return;
    shard.lastAsked = now;
    const sharers = this.options.sharers();
    const loan = sharers === undefined ? undefined : shard.lender.loanTo(to, 1 / sharers, now);
    this.send({ to, at: now, shard: index, requests, isTransfer: false }, loan);
  }

  private serveSelf(index: number, now: number): void {
    const shard = this.shardAt(index);
    shard.lastAsked = now;
    this.lendToSelf(index, now);
    for (const [organisation, count] of shard.queue.toAsk(now, now))
      this.settle(index, this.holder.ask(organisation, count), count, now);
  }

  private lendToSelf(index: number, now: number): void {
    const { self, sharers } = this.options;
    const count = sharers();
    if (count === undefined || !this.shardAt(index).lender.lend(self, now, now)) return;
    this.holder.lent(index, self, 1 / count, this.options.now() + LOAN_MS);
  }

  private send(asked: Asked, loan: QuotaQuestion['loan']): void {
    const number = (this.number = (this.number + 1) % 2 ** 32);
    this.asked.set(number, asked);
    const { shard, requests, isTransfer } = asked;
    const asks = [...requests].map(([organisation, count]) => ({ organisation, requests: count }));
    this.options.ask(asked.to, { number, shard, asks, loan, isTransfer });
  }

  /** Has other failure domains fill up a pot that runs low here, before it is empty. */
  private balance(organisation: string, quota: Quota, now: number): void {
    if (now < (this.transferAt.get(organisation) ?? 0)) return;
    const lack = this.holder.lack(organisation, quota);
    if (lack <= 0) return;
    this.transferAt.set(organisation, now + TRANSFER_EVERY_MS);
    const shard = shardOf(organisation);
    const others = this.holders.far(shard);
    // From each a part: what all together hand over beyond what the pot holds would be lost.
    const requests = new Map([[organisation, lack / others.length]]);
    for (const to of others) this.send({ to, at: now, shard, requests, isTransfer: true }, undefined);
  }

  private shardAt(index: number): Shard {
    const shard = this.shards[index];
    if (!shard) throw new Error('No such shard.');
    return shard;
  }
}
