/**
 * What one daemon gives out of organisations' quotas for its failure domain: for each organisation a pot that fills at the quota's rate, by as much as
 * this daemon may use of it, and holds as much as the quota allows at once.
 *
 * Answers to: callers of one organisation who press on a few daemons of many. They all draw from one pot, so that nobody is refused while the failure domain's
 * part of the quota has room.
 */
import { type Quota } from './organisation.js';
import { ShareLoans } from './shareLoans.js';

/** A request may run at once or so much later, ms: a wait that serves is better than a refusal, and short beside all timeouts. */
const LONGEST_DELAY_MS = 150;
/** Those that are refused come back one after the other; further away than this they would not wait, ms. */
const LONGEST_RETRY_MS = 5000;
/** Part of a pot that stays where it is when another failure domain asks. */
const KEPT_PART = 1 / 2;
const MS_A_SECOND = 1000;

/** What is granted of what was asked. */
export interface Grant {
  readonly requests: number;
  /** After so many ms. */
  readonly delayMs: number;
  /** When another may come, ms from now; 0 if all were granted. */
  readonly retryAfterMs: number;
}

interface Pot {
  /** Below zero by what was granted ahead. */
  level: number;
  /** What it holds where all may be given out. */
  whole: number;
  /** `wholeMs` of the loans when it was last filled. */
  filledTo: number;
  /** When the last of those that were refused was told to come back. */
  lastReturn: number;
}

/** How quotas are divided. */
export interface QuotaDivision {
  /** Failure domains, each of which gives out an equal part. */
  readonly failureDomains: number;
  /** Requests of an organisation that may run beyond its quota in one window. */
  readonly slack: number;
}

/** The pots of one shard of the organisations. */
export class QuotaPots {
  /** The parts of the quotas that may be given out here. */
  readonly loans = new ShareLoans(current => this.shrink(current));
  private readonly pots = new Map<string, Pot>();

  constructor(private readonly division: QuotaDivision) {}

  /** Has a pot for each organisation with a quota and no others; a new one begins to fill now. */
  keep(quotas: ReadonlyMap<string, Quota>, now: number): void {
    for (const name of this.pots.keys()) if (!quotas.has(name)) this.pots.delete(name);
    for (const [name, quota] of quotas) this.filled(name, quota, now);
  }

  /** Grants as many of the requests as have room. */
  grant(organisation: string, quota: Quota, asked: number, now: number): Grant {
    const pot = this.filled(organisation, quota, now);
    const perMs = this.perMs(quota, now);
    const ahead = perMs * LONGEST_DELAY_MS;
    const requests = Math.max(0, Math.min(asked, Math.floor(pot.level + ahead)));
    pot.level -= requests;
    const delayMs = requests > 0 && pot.level < 0 ? -pot.level / perMs : 0;
    return { requests, delayMs, retryAfterMs: requests < asked ? this.nextReturn(pot, perMs, now) : 0 };
  }

  /** Hands over what another failure domain is short of, with fractions; the half of a full pot stays. */
  handOver(organisation: string, quota: Quota, asked: number, now: number): number {
    const pot = this.filled(organisation, quota, now);
    const spare = Math.max(0, pot.level - this.depth(quota, now) * KEPT_PART);
    const handed = Math.min(asked, spare);
    pot.level -= handed;
    return handed;
  }

  /** Takes what another failure domain handed over; what the pot can't hold is lost. */
  receive(organisation: string, quota: Quota, handed: number, now: number): void {
    if (!(handed > 0)) return;
    const pot = this.filled(organisation, quota, now);
    pot.level = Math.min(this.depth(quota, now), pot.level + handed);
  }

  /** How much the pot lacks, if it holds less than it keeps for itself; else 0. */
  lack(organisation: string, quota: Quota, now: number): number {
    const depth = this.depth(quota, now);
    const { level } = this.filled(organisation, quota, now);
    return level < depth * KEPT_PART ? depth - level : 0;
  }

  /** What was lent elsewhere is in the pots there from now on. */
  private shrink(current: number): void {
    for (const pot of this.pots.values()) pot.level = Math.min(pot.level, pot.whole * current);
  }

  /** A pot is empty at first: a daemon that has just started, or begins to give out, must not give out once more what others have. */
  private filled(organisation: string, quota: Quota, now: number): Pot {
    const wholeMs = this.loans.wholeMs(now);
    let pot = this.pots.get(organisation);
    if (!pot) this.pots.set(organisation, (pot = { level: 0, whole: 0, filledTo: wholeMs, lastReturn: 0 }));
    const gained = ((wholeMs - pot.filledTo) / MS_A_SECOND) * this.rate(quota);
    pot.filledTo = wholeMs;
    pot.whole = this.whole(quota);
    pot.level = Math.min(this.depth(quota, now), pot.level + gained);
    return pot;
  }

  private rate({ perSecond }: Quota): number {
    return perSecond / this.division.failureDomains;
  }

  private perMs(quota: Quota, now: number): number {
    return (this.rate(quota) * this.loans.current(now)) / MS_A_SECOND;
  }

  private depth(quota: Quota, now: number): number {
    return this.whole(quota) * this.loans.current(now);
  }

  private whole({ burst }: Quota): number {
    const { failureDomains, slack } = this.division;
    return (burst + slack * USED_SLACK) / failureDomains;
  }

  private nextReturn(pot: Pot, perMs: number, now: number): number {
    const betweenMs = perMs > 0 ? 1 / perMs : LONGEST_RETRY_MS;
    pot.lastReturn = Math.min(
      now + LONGEST_RETRY_MS,
      Math.max(now + LONGEST_DELAY_MS, pot.lastReturn + betweenMs),
    );
    return pot.lastReturn - now;
  }
}

/** Part of the slack that pots may hold: the rest is for what is on its way between daemons. */
const USED_SLACK = 1 / 2;
