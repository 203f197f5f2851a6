/** What each organisation sent to one daemon, and how that ended. For operators who are asked why requests are refused. */

/** How a request ended. */
export type RequestEnd = 'answered' | 'over-quota' | 'refused' | 'failed';

/** Counts since the start of the daemon, by end. */
export type EndCounts = Record<RequestEnd, number>;

/** Counts of the organisations of the configuration in force. */
export class OrganisationCounts {
  private readonly counts = new Map<string, EndCounts>();

  /** A request of the organisation ended. */
  ended(organisation: string, end: RequestEnd): void {
    let counts = this.counts.get(organisation);
    if (!counts) this.counts.set(organisation, (counts = none()));
    counts[end]++;
  }

  /** Forgets organisations that are no more, so that there are never more than the configuration has. */
  keepOnly(names: ReadonlySet<string>): void {
    for (const name of this.counts.keys()) if (!names.has(name)) this.counts.delete(name);
  }

  /** By organisation. */
  get report(): Record<string, EndCounts> {
    return Object.fromEntries(this.counts);
  }
}

function none(): EndCounts {
  return { answered: 0, 'over-quota': 0, refused: 0, failed: 0 };
}
