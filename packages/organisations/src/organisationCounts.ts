/** Counts each organisation's requests at one daemon by how they ended, so that operators can tell why requests are refused. */

/** How a request ended. */
export type RequestDisposition = 'answered' | 'over-quota' | 'refused' | 'failed';

/** Counts since the daemon started, by disposition. */
export type DispositionCounts = Record<RequestDisposition, number>;

/** Counts for the organisations of the active configuration. */
export class OrganisationCounts {
  private readonly counts = new Map<string, DispositionCounts>();

  /** Counts one request of the organisation. */
  record(organisation: string, disposition: RequestDisposition): void {
    let counts = this.counts.get(organisation);
    if (!counts) this.counts.set(organisation, (counts = zeroCounts()));
    counts[disposition]++;
  }

  /** Removes other organisations, so that there are never more entries than the configuration has. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.counts.keys()) if (!names.has(name)) this.counts.delete(name);
  }

  /** Counts by organisation. */
  get report(): Record<string, DispositionCounts> {
    return Object.fromEntries(this.counts);
  }
}

function zeroCounts(): DispositionCounts {
  return { answered: 0, 'over-quota': 0, refused: 0, failed: 0 };
}
