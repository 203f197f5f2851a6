/** Chooses which of the discovered daemons to contact: a few that know the others, but in the end every one, since most may not exist. */
import { type Random } from '@cleatquay/clock';
import { shuffle } from './memberChoice.js';

/**
 * Up to so many discovered daemons are all joined at once. Each responds with its whole table, so that at the start of a fleet of hundreds
 * the traffic of joining all others would grow with the square of its size.
 */
const MAX_JOINS = 16;
/** Number of daemons joined at first, at random, if more are discovered. If none responds, the discovery table is read again within about a second. */
const SAMPLED_JOINS = 3;
/** By how much the number grows with each round without a response. */
const GROWTH = 4;
const MAX_SAMPLED_JOINS = 256;

/** The choice of one daemon, round by round. */
export class JoinCandidates {
  private readonly tried = new Set<string>();
  private count = SAMPLED_JOINS;

  constructor(private readonly random: Random) {}

  /** Chooses among addresses that are not known to be alive; `isAlone` if no other member is. */
  choose(unknown: readonly string[], isAlone: boolean): readonly string[] {
    if (unknown.length <= MAX_JOINS) return unknown;
    if (!isAlone) this.restart();
    const untried = unknown.filter(address => !this.tried.has(address));
    if (untried.length === 0) this.tried.clear();
    const chosen = shuffle([...(untried.length === 0 ? unknown : untried)], this.random).slice(0, this.count);
    for (const address of chosen) this.tried.add(address);
    this.count = Math.min(MAX_SAMPLED_JOINS, this.count * GROWTH);
    return chosen;
  }

  private restart(): void {
    this.tried.clear();
    this.count = SAMPLED_JOINS;
  }
}
