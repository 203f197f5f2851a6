/** Configuration of an organisation. */

/** Limit on an organisation's requests in the whole fleet. */
export interface Quota {
  /** Sustained requests per second. */
  readonly perSecond: number;
  /** Requests beyond the sustained rate that may run at once. */
  readonly burst: number;
}

/** An organisation that sends requests. */
export interface Organisation {
  readonly name: string;
  /** Digests of its API keys, see `digestOfKey`. */
  readonly keyDigests: readonly string[];
  /** 0 is the highest priority; undefined if the priority follows from the route alone. */
  readonly rank: number | undefined;
  /** Undefined for no limit. */
  readonly quota: Quota | undefined;
}
