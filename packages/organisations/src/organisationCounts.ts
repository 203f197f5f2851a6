/** Counts each organisation's requests at one daemon by outcome, so that operators can tell why requests are refused. */

/** The outcome of a request. */
export type RequestEnd = 'answered' | 'over-quota' | 'refused' | 'failed';

/** Counts since the daemon started, by outcome. */
export type EndCounts = Record<RequestEnd, number>;

/** Counts for the organisations of the active configuration. */
export class OrganisationCounts {
  private readonly counts = new Map<string, EndCounts>();

  /** Counts one request of the organisation. */
  ended(organisation: string, end: RequestEnd): void {
    let counts = this.counts.get(organisation);
    if (!counts) this.counts.set(organisation, (counts = zeroCounts()));
    counts[end]++;
  }

  /** Removes other organisations, so that there are never more entries than the configuration has. */
  keepOnly(names: ReadonlySet<string>): void {
    for (const name of this.counts.keys()) if (!names.has(name)) this.counts.delete(name);
  }

  /** Counts by organisation. */
  get report(): Record<string, EndCounts> {
    return Object.fromEntries(this.counts);
  }
}

function zeroCounts(): EndCounts {
  return { answered: 0, 'over-quota': 0, refused: 0, failed: 0 };
}
